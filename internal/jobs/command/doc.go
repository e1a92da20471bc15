// Package command changes files and jobs, from any node: Files stores input,
// Jobs submits and cancels, Work leases items and takes results, and Keeper
// runs at the leaders of shards to end leases that are no longer renewed.
package command
