// Package replication implements the consensus protocol that replicates one
// shard's log: a Raft-like log with terms, elections and single-replica
// configuration changes. It starts no goroutines and uses no clock, network or
// files: its caller supplies the time, the messages and the storage.
//
// # Usage
//
// A Replica must be used by one goroutine or under one mutex. The caller calls:
//
//   - Tick with the current time, about every tenth of the election timeout,
//     and before any other method after a pause;
//   - Step with each message received from another replica;
//   - Propose, ProposeConfig, ReadIndex and TransferLeadership to serve requests.
//
// After these calls, if HasReady returns true, the caller calls Ready and then,
// in this order:
//
//  1. sends Ready.Immediate (this may run concurrently with the next step);
//  2. writes Ready.Snapshot, Ready.Entries and Ready.HardState to disk
//     atomically, with one sync if Ready.MustSync is set. Entries replace the
//     log from the index of the first one on; a snapshot replaces the whole
//     log and the applied state with the data that was staged before the
//     MessageSnapshot was passed to Step;
//  3. sends Ready.Messages, which depend on the write of step 2;
//  4. applies Ready.CommittedEntries in order, each exactly once, stores the
//     applied index and Configuration with the applied state, and answers each
//     of Ready.ReadStates once the applied index has reached its Index;
//  5. calls Advance.
//
// All other methods may be called between Ready and Advance, which allows
// group commit, but Ready must not be called again. The messages that
// Immediate returns then may be sent at once. After a crash at any point, New
// resumes correctly from the persisted state.
//
// # Replica IDs
//
// A ReplicaID identifies one incarnation of a node's disk, not the node. If a
// disk is empty after a restart, or has lost any synced data, its replica must
// take a new ID (NewReplicaID with a new incarnation), start with an empty log
// and no configuration, and wait to be added as a learner. The old ID remains
// in the configuration, inactive, until it is removed. A replica that lost its
// votes or entries thus never votes again under its old ID. A torn log tail
// that was never synced may be truncated under the same ID.
//
// # Bootstrap
//
// The initial replicas of a shard all start from the same BootstrapMarker,
// stored as snapshot and applied state, with BootstrapState as hard state.
// Replicas added later start empty.
//
// # Snapshots
//
// A Message of type MessageSnapshot carries only the marker. The callers
// transfer the data in chunks, started by either side. The receiver passes the
// message to Step only after it has staged the data, with Message.Snapshot set
// to the marker of the staged data. The leader resends the message every
// Config.SnapshotRetry until the follower responds; ReportSnapshot ends the
// wait early.
//
// # Configuration changes
//
// A configuration becomes active on a replica as soon as its entry is in that
// replica's log. A replica is replaced by AddLearner, PromoteLearner (rejected
// until the learner has caught up) and RemoveReplica; NextChange returns these
// steps.
package replication
