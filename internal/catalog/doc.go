// Package catalog holds a node's view of the configuration (routes, services,
// tenants, limits) and of the engines of each service.
//
// A Snapshot answers which route a request takes and which engines may serve
// it. It is immutable once published and replaced as a whole. The package does
// no I/O and reads no clock.
package catalog
