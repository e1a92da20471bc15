// Package query reads files, jobs and results at the leaders of their shards,
// from any node.
package query
