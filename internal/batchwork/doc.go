// Package batchwork keeps accepted batch jobs and runs their items.
//
// Machine is the replicated state machine: jobs, items, the text that each
// item has so far, and the results in a fixed order of positions. It reads no
// clock; time travels in commands. Runner (at the leader of the ledger's shard)
// decides which items run at which engines, and commits what they yield. It holds
// some of the streams itself; Executors on other data nodes hold the rest and
// hand their text over. Server answers the calls of other nodes, reads at any
// replica and all others at the leader; Caller makes these calls.
//
// Jobs that have to stay in regions are kept by shards of regions; shard 0 agrees on
// which (claim.go), and a placing (pure) leads a job there. Each shard has a Machine, a
// Runner and a Server of its own; Ports tell their messages apart.
//
// Invariants: a job is accepted whole or not at all, once for each identifier;
// an item has one position at most and its result never changes; text of an
// item only grows by what follows its last committed event; nothing of an
// ended job is committed or sent any more.
package batchwork
