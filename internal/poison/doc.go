// Package poison detects poison requests, which crash the engines that run them, and keeps
// them from reaching further engines.
//
// Such a request may return under another id and at another node, so it is identified by
// its Fingerprint: a hash of its sender, target and body. A Record lists the engines that
// crashed while they had the request.
//
// Items of batch jobs are not requests in this sense: they don't crash engines by themselves, so
// they are neither recorded nor held back. Package batchwork paces them.
//
// Table decides from records and the time whether a request is held back, and does no I/O.
// Guard connects a node's table with its peers and the store: a node that sees an engine
// crash reports the engine's requests to the data nodes, which forward the records to all
// other nodes and write them to the platform's store, so that they survive a restart of
// all nodes. Merging records is commutative and idempotent.
//
// A part that requests share in their prompts may crash engines, too, under requests of which no two
// are alike. It has a Record of its own (Record.Part): Table.HoldGuiltyParts decides which part is to
// blame, and an answer to any prompt with it releases it. Docs: design note 034.
//
// Invariants: a node that has the record of a request that crashed crashThreshold engines
// sends it to no engine until the hold expires, whether as a first attempt or a retry. A request that an engine has answered completely is never held
// back; this clears bystanders, which were only at the same engine when it crashed. So that
// they are answered soon, a hold is short until engines crashed under retries as well;
// Table.HeldUntil states when it is long.
package poison
