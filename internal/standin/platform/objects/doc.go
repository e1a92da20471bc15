// Package objects is the state of the platform stand-in: objects with
// compare-and-swap and a bounded history for watches, leases with epochs, and
// the lagging list of machines. All of it is pure; times are arguments, and
// the caller serialises the calls.
package objects
