// Package replication is the protocol that keeps one shard's log equal on
// several replicas: a majority-replicated log with terms, elections and
// single-step configuration changes. It holds no goroutine, clock, socket or
// file. The package does as it is told by its caller, the shell, which owns
// the disk, the network and the time.
//
// # The contract
//
// One goroutine (or one mutex) owns a Replica. The shell feeds it:
//
//   - Tick with the present time, about every tenth of the election timeout,
//     and first of all after a pause;
//   - Step with each message that arrived from another replica;
//   - Propose, ProposeConfig, ReadIndex and TransferLeadership for its users.
//
// After feeding, the shell asks HasReady, and if so takes Ready and does, in
// this order:
//
//  1. send Ready.Immediate (this may run beside the next step);
//  2. write Ready.Snapshot, Ready.Entries and Ready.HardState to the disk,
//     together, with one sync if Ready.MustSync. Entries replace everything
//     in the log from the first one's index on; a snapshot replaces the whole
//     log and the applied state by the data that was staged before the
//     message was stepped;
//  3. send Ready.Messages: these promise what step 2 wrote;
//  4. apply Ready.CommittedEntries in order, each exactly once, keep the
//     applied index and Configuration with the applied state, and answer
//     Ready.ReadStates once the applied index has reached theirs;
//  5. call Advance.
//
// Tick, Step, Propose and the others may run between Ready and Advance (group
// commit lives from that); a second Ready may not. What Immediate returns
// after them may be sent at once meanwhile. After a crash anywhere in
// between, New on what the disk holds continues correctly.
//
// # Identity
//
// A ReplicaID names one incarnation of one node's disk, never a node. A disk
// that came back empty, or lost anything that was synced, must take a new
// identity (NewReplicaID with a new incarnation), start with an empty log and
// no configuration, and wait to be added as a learner. The old identity stays
// in the configuration, silent, until it is removed. This is what makes a
// lost disk harmless: nobody votes for what it forgot. A torn tail that was
// never synced may be cut off under the same identity.
//
// # Starting
//
// A new shard starts on each of its first replicas from the same
// BootstrapMarker, stored as snapshot and applied state, and BootstrapState
// as hard state. Every later replica starts from nothing.
//
// # Snapshots
//
// A Message of type MessageSnapshot carries only the marker. The shells move
// the data in chunks, on either side's initiative, and step the message at
// the receiver only once the data is staged, with Message.Snapshot set to the
// marker of the very data that was staged. The leader sends the message again
// every Config.SnapshotRetry until the follower answers; ReportSnapshot
// shortens that.
//
// # Configuration changes
//
// A configuration is in force as soon as its entry is in a replica's log.
// Replacement runs AddLearner, PromoteLearner (refused until the learner has
// caught up), RemoveReplica; NextChange plans these steps.
package replication
