// Package machine is the replicated state machine of batch jobs: one shard's
// input files, jobs, leases and results.
//
// Commands are encoded with Encode, proposed to the shard, and applied by
// Machine.Apply in the same order at every replica. Apply reads no clock and
// no randomness: time travels in each entry, stamped by the shard's leader, and
// the machine's clock is the largest time seen, so that it never goes back.
//
// Rules that the machine keeps, whatever order or repetition commands come in:
//
//   - A job is accepted when JobSeal is applied, with all of its items, or not
//     at all. One idempotency key of a tenant names one job and one content.
//   - The first result of an item is kept; later ones are dropped and counted.
//   - A non-repeatable item is started under one lease only. If that lease
//     ends without a report, the item's result is ItemOutcomeUnknown.
//   - No result is recorded for a job that is cancelled or expired.
//
// Every command may be applied twice without harm, because its sender repeats
// it when an answer was lost.
//
// Leases carry no expiry in the log. The leader's lease keeper (package
// command) proposes ExpireLeases for a dispatcher that stopped renewing.
//
// Memory holds a bounded summary of each open job: one bit an item for final
// items, and a few words for each leased item. Everything else is in the store.
package machine
