// Package replica runs a node's ledger replicas. It connects the consensus
// protocol (package replication) to the disk (package storage) and the network
// (package transport). It also locates the leader of every shard, including on
// nodes that hold no replica.
//
// # Processing
//
// All shards share one worker pool. At most one worker processes a shard at a
// time. It takes a Ready from the protocol and, in this order, sends the
// messages that don't depend on the disk, writes and syncs, sends the messages
// that do, and calls Advance. A second pool applies committed entries and
// completes proposals and reads, so a slow state machine doesn't delay
// heartbeats. Proposals that arrive meanwhile are batched into the next Ready;
// the store shares syncs between shards.
//
// # Addressing
//
// A replica ID is a hash of the node's name and its disk's incarnation. The
// roster, replicated with each shard's state, maps a replica ID to its node;
// membership maps the node to its current address. The platform's store holds
// the initial replica set of each shard (objects of kind shards) and a copy of
// the current one for operators. It is read only until a shard exists.
//
// # Repair
//
// The leader of a shard replaces a replica that has been silent for longer than
// Options.ReplaceAfter, or immediately if its node came back with another disk:
// it adds a learner in the best zone, lets it catch up at a limited rate,
// promotes it and removes the old replica ID. Without a quorum of known replicas
// it changes nothing and reports the shard as without quorum.
//
// Lock order: Shard.mutex, then Service.mutex. Under this package's other mutexes,
// no mutex of this package is taken. Options.Members is called with Shard.mutex or
// Service.mutex held, Options.NewMachine with Service.mutex held; both may take
// locks of other packages.
package replica
