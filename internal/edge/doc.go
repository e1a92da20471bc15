// Package edge serves callers over HTTP: it reads requests within the configured limits,
// finds their route, and passes them to the forwarder or to the batch jobs. A Dialect
// defines the formats of requests and calls.
//
// Each net/http request gets one response by the newest catalog snapshot. The package
// rejects requests before anything runs; its only state are the requests in flight and the
// memory in use.
package edge
