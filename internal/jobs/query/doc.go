// Package query reads files, jobs and results from any node, through the leaders
// of their shards.
package query
