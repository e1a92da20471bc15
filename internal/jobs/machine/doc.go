// Package machine is the replicated state machine of batch jobs: one shard's
// input files, jobs, leases and results.
//
// Commands are encoded with Encode, proposed to the shard, and applied by
// Machine.Apply in the same order at every replica. Apply is deterministic:
// each entry carries the time set by the shard's leader, and the machine's clock
// is the latest time seen, so that it never goes back.
//
// Invariants under any order and repetition of commands:
//
//   - A job is accepted when JobSeal is applied, with all of its items, or not
//     at all. A tenant's idempotency key maps to one job and one content.
//   - The first result of an item is stored; later ones are dropped and counted.
//   - A non-repeatable item is started under one lease only, unless it is
//     returned as not run. If that lease ends without a report, the item's
//     result is ItemOutcomeUnknown.
//   - No result is recorded for a job that is cancelled or expired.
//
// Commands tolerate duplicates, because a sender retries when an answer is
// lost.
//
// Leases have no expiry time in the log. The shard's leader (package command)
// proposes ExpireLeases for a dispatcher that stopped renewing.
//
// Memory holds a bounded summary of each open job: two bits per item, and a few
// words per leased item. Everything else is in the store.
package machine
