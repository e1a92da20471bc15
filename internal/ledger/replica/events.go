package replica

import "chutelock.dev/chutelock/internal/telemetry"

// Replica events use the numbers 4150 to 4199.
var (
	eventLeading = telemetry.Define(4150, "shard led here",
		"This node's replica became the shard's leader.")
	eventFollowing = telemetry.Define(4151, "shard no longer led here",
		"This node's replica is no longer the shard's leader.")
	eventHalted = telemetry.Define(4152, "replica halted",
		"A replica stopped because its disk or its state machine failed.")
	eventNoQuorum = telemetry.Define(4153, "shard without quorum",
		"No leader could be elected for a long time: too many of the shard's replicas are unavailable. "+
			"Proposals and reads fail until enough of the listed replicas return with their disks.")
	eventQuorumBack = telemetry.Define(4154, "shard has a quorum again",
		"A leader was elected after the shard had been without quorum.")
	eventBootstrapped = telemetry.Define(4155, "shard bootstrapped",
		"This node started one of the initial replicas of a new shard.")
	eventReplacing = telemetry.Define(4156, "replica change",
		"The leader proposed one change of the shard's replica set.")
	eventJoined = telemetry.Define(4157, "replica joined",
		"This node started an empty replica at a leader's request.")
	eventDestroyed = telemetry.Define(4158, "replica destroyed",
		"This node's replica was removed from the shard; its data was deleted.")
	eventSnapshotTaken = telemetry.Define(4159, "snapshot received",
		"A replica that was too far behind received the state from its leader.")
	eventSnapshotFailed = telemetry.Define(4160, "snapshot failed",
		"Receiving the state from the leader failed; it is retried.")
	eventRejoining = telemetry.Define(4161, "ledger restarts with an empty disk",
		"The ledger folder was corrupt and discarded; its replicas rejoin under new identities.")
	eventDirectoryFailed = telemetry.Define(4162, "shard directory not reached",
		"The platform's store could not be read or written; the ledger continues without it.")
	eventPlaced = telemetry.Define(4163, "shard placed",
		"This node stored the shard's initial replica set in the platform's store.")
	eventDrained = telemetry.Define(4164, "leadership handed over",
		"A draining node has transferred the leadership of all its shards.")
	eventRepairFailed = telemetry.Define(4165, "replica change failed",
		"A step of a replica replacement failed; it is retried.")
	eventZoneExposed = telemetry.Define(4166, "zone loss not borne",
		"The loss of one more zone would leave the shard without a majority: a zone is unavailable, or the "+
			"data nodes are in fewer than three zones.")
	eventZoneTolerated = telemetry.Define(4167, "zone loss borne again",
		"The shard keeps a majority after the loss of any one zone again.")
	eventRegionShort = telemetry.Define(4168, "region short of data nodes",
		"A region has too few data nodes for its own shard; batch jobs restricted to it are refused until it has more.")
	eventReopened = telemetry.Define(4170, "ledger disk reopened",
		"The disk of a failed ledger accepts writes again; its replicas were restarted.")
	eventReopenFailed = telemetry.Define(4171, "ledger disk not reopened",
		"The ledger could not be closed or opened after a failure of its disk; opening it is retried.")
	eventRestarted = telemetry.Define(4172, "replica restarted",
		"A halted replica was restarted from its state on disk.")
	eventMisplaced = telemetry.Define(4169, "replica in another region",
		"The disk holds a replica of a region that is not this node's, or that is missing from its settings. "+
			"The replica is not started and will be replaced; restoring the previous settings would start it again.")
)
