// Package dissemination distributes accepted settings to every node. It is a
// pure state machine: messages, store answers and time are its inputs, actions
// its outputs. It has no clock, goroutine or I/O; package agent drives it.
// The version in force at a node is the one that the node last applied.
//
// Two nodes of each region, chosen by rendezvous hashing over the live
// members, watch the platform's store. Each change becomes a Delta, which goes
// down a tree of the members of each zone of the region. Anti-entropy repairs
// lost deltas: nodes exchange digests with random peers, and the node that is
// behind pulls, first from the peer's log of recent deltas,
// otherwise by comparing bucket digests and copying those that differ.
//
// Invariants:
//
//   - The version in force at a node never decreases. A version is an epoch
//     and a store revision (settings.Version).
//   - A delta is applied only if it is contiguous: it holds every
//     change after From up to To, and From <= in force < To.
//   - A listing is applied only if it holds everything that is in force in the
//     same or a later version (lineage check). Otherwise the store was rolled back
//     or forked: the listing is refused and reported, and the version in force
//     stays until the store matches it again or an operator raises the epoch.
//   - A node persists a change before it publishes it, so that a restart from
//     disk never publishes an older version.
//   - A starting node queries peers before it publishes what its disk or the
//     store holds, and publishes the newest version reported.
//
// The caller must execute the actions that a method returns in their order,
// before it calls the next method, and must not call two methods at once. Tick
// must be called at least every TickInterval.
package dissemination
