// Package replica runs the ledger's replicas of one node: it joins the pure
// protocol (package replication), the disk (package storage) and the network
// (package transport), and finds the leaders of all shards for every node,
// also for one that keeps no replica.
//
// # How a replica works
//
// All shards share one pool of workers. A shard that has something to do is
// worked on by one worker at a time, which takes a Ready from the protocol and
// does, in this order: send what promises nothing, write and sync, send what
// promised that, Advance. Committed entries are applied by a worker of a second
// pool, which answers proposers and readers, so that a slow state machine holds
// up no heartbeat. Proposals that arrive meanwhile gather for the next Ready,
// so that one sync and one message serve many of them; the syncs of several
// shards are shared by the store.
//
// # How replicas find each other
//
// A replica identity is a hash of the node's name and its disk's incarnation.
// The roster, which is replicated with each shard's state, tells which node an
// identity belongs to; membership tells where that node is now. The platform's
// store holds the first replica set of each shard (objects of kind shards) and
// a copy of later ones for operators. It is asked only until a shard exists.
//
// # Repair
//
// The leader of a shard replaces replicas that have been silent for longer
// than Options.ReplaceAfter, and at once those whose node came back with
// another disk: it adds a learner in the best zone, lets it catch up at a
// bounded rate, promotes it and removes the old identity. Without a quorum of
// known identities nothing is done, and the shard says so.
//
// Lock order: Shard.mutex, then Service.mutex, then the others, which are leaves.
package replica
