// Package catalog holds what a node knows about its work: the configuration
// (routes, services, limits) and the engines behind each service. A value of
// this package is immutable once published; nodes exchange whole new values.
//
// In: decoded configuration objects and engine entries, with their revisions.
// Out: a Snapshot that answers which route a request takes and which engines
// may serve it. The package does no I/O and reads no clock.
package catalog
