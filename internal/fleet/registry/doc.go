// Package registry tracks the fleet's engines as a deterministic state machine
// without I/O: messages, poll results and time go in; messages, polls to make
// and events come out.
//
// A node knows all engines of its own zone and a bounded sample of those of
// each other zone. Two elected readers per region read the list of engines
// from the store; peers detect a newer list by the revision and hash in every
// digest and pull it. Each engine has one home, by rendezvous hashing over the
// live members of its zone. The home polls the engine and shares its load in
// digests, at an interval that grows with the zone so that the bytes per
// second stay within a budget. Leaving updates are sent at once and repeated
// in every digest. Delegates of the zones exchange summaries of bounded size,
// which are forwarded inside a zone along a tree that differs for each
// summary.
//
// Snapshots are empty until a peer's view has been pulled, or the list of
// engines is known and no peer has a complete view.
package registry
