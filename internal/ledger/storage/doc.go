// Package storage stores a node's ledger replicas on disk, in a single pebble
// store in the node's data folder with one key prefix per shard.
//
// It guarantees:
//
//   - A write with sync is durable when it returned nil, not earlier. All
//     shards share one committer, so that concurrent batches share one sync.
//   - The folder has an incarnation, drawn at random when it is created. After
//     the disk was lost or the folder discarded, its replicas have new
//     identities, so that they can't vote in place of the old ones.
//   - A torn tail of the write-ahead log is truncated, since nothing in it was
//     acknowledged. Any other damage is reported as ErrCorrupt; the folder must
//     then be discarded and its replicas fetched from their peers. A watermark
//     file beside pebble's files tells a torn tail from lost synced writes.
//
// Full reports true while there is still space for the small writes that a
// leadership transfer takes. After a disk failure, all writes to the store fail with
// ErrFailed. Once CheckWritable succeeds, the store can be closed and opened again, as after
// a crash of the process.
package storage
