// Package registry holds what a node knows of the fleet's engines, as a pure
// state machine: messages, polls' results and time go in; messages, polls to
// make and events come out.
//
// A node knows all engines of its own zone and a bounded sample of those of
// each other zone. The list of a zone's engines comes from the store by two
// readers a region, and from peers by its revision and hash, which every
// digest carries. Each engine has one home, by rendezvous hashing over the
// live members of its zone; the home polls it and shares its load in digests
// whose interval grows with the zone, so that the bytes a second stay within
// a budget. Marks of leaving engines are shared at once and then with every
// digest. Zones exchange summaries of a constant size by their delegates, and
// pass them on inside the zone along a tree whose shape changes every time.
//
// A node answers with no engine until it has pulled the state of a peer, or
// has read the store itself.
package registry
