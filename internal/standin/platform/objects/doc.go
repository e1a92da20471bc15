// Package objects holds the state of the platform stand-in: objects with
// compare-and-swap and a bounded history for watches, leases with epochs, and a
// delayed machine list. The types do no I/O, read no clock, and are not safe for
// concurrent use.
package objects
