// Package batchwork stores accepted batch jobs and runs their items.
//
// Machine is the replicated state machine: jobs, items, the partial text of each item, and
// the results in a fixed order of positions. It reads no clock; commands carry the time.
// Runner, at the leader of the ledger's shard, assigns items to engines and commits their
// output. It reads some of the streams itself; Executors on other data nodes read the rest
// and send their text to it. Server handles calls of other nodes: reads at any replica, all
// other calls at the leader. Caller makes these calls.
//
// Jobs restricted to regions are stored by regional shards. Shard 0 assigns them (claim.go),
// and a placement, which does no I/O, tracks the calls that take a job there. Each shard has
// its own Machine, Runner and Server; Ports routes messages between them.
//
// Messages and records consist of a struct of fixed size, whose type is named fixed..., and
// fields of variable length.
//
// Invariants: a job is accepted whole or not at all, and once per identifier; an item has at
// most one position, and its result never changes; an item's text grows only by what follows
// its last committed event; nothing of an ended job is committed or sent.
package batchwork
