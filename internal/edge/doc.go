// Package edge serves callers over HTTP: it reads requests within the limits
// of the configuration, finds their route, and hands them to the forwarder or
// to the batch jobs. How requests and calls are spelled comes from a Dialect.
//
// In: net/http requests, the newest catalog snapshot. Out: one answer each.
// The package decides what is refused before anything runs; it keeps no state
// but whether the node is draining.
package edge
