// Package storage keeps the ledger's replicas of one node on disk: a single
// pebble store under the node's data folder, with one key prefix a shard.
//
// Three rules hold:
//
//   - A batch is durable when Commit with Sync returned nil, never before. All
//     shards share one committer, so that concurrent batches share one sync.
//   - The folder has an identity, its incarnation, made when the folder is made.
//     A disk that comes back empty or is discarded has another one, and with it
//     its replicas are others: they can't vote for what the old ones promised.
//   - A torn tail of the write-ahead log is cut off, since nothing in it was
//     acknowledged. Damage anywhere else fails with ErrCorrupt; the folder is
//     then discarded as a whole and its replicas are fetched from their peers.
//     A watermark beside pebble's files tells a torn tail from lost syncs.
//
// When the disk runs full, Full turns true while there is still room for the
// small writes that handing over leadership takes; a disk that fails makes
// every later call fail with ErrFailed.
package storage
