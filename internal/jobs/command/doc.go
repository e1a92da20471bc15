// Package command modifies files and jobs from any node: Files stores input
// files, Jobs submits and cancels jobs, and Work leases items and reports
// results. Keeper runs at the leaders of shards and expires leases that are no
// longer renewed.
package command
