// Package dissemination brings accepted settings into force at every node, as
// a pure state machine: messages, store answers and time go in, actions come
// out. It has no clock, goroutine or I/O; package agent is its shell.
//
// Two nodes of each region, chosen by rendezvous hashing over the live
// members, watch the platform's store. Each change becomes a Delta, which goes
// down a tree of the members of each zone of the region. What a Delta misses
// is repaired by anti-entropy: nodes exchange short digests with random peers,
// and whoever is behind pulls, first from the peer's log of recent deltas,
// else by comparing bucket digests and taking the buckets that differ.
//
// Invariants:
//
//   - The version in force at a node never goes down. A version is an epoch
//     and a store revision (settings.Version).
//   - A delta is applied only where it joins what is in force: it holds every
//     change after From up to To, and From <= in force < To.
//   - A listing is taken only if it holds everything that is in force in the
//     same or a later version (lineage check). Otherwise the store went back or
//     forked: the listing is refused and reported, and what is in force stays
//     so, until the store is right again or an operator raises the epoch.
//   - A node persists a change before it publishes it, so that a restart from
//     its disk never goes below what it had published.
//   - A node that starts asks peers before it takes its disk's or the store's
//     word, and publishes the highest version that it was told of.
//
// The caller must execute the actions that a method returns in their order,
// before it calls the next method, and must not call two methods at once. Tick
// must be called at least every TickInterval.
package dissemination
