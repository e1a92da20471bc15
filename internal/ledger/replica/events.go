package replica

import "chutelock.dev/chutelock/internal/telemetry"

// Events of the replicas: 4150 to 4199.
var (
	eventLeading = telemetry.Define(4150, "shard led here",
		"This node's replica became the shard's leader.")
	eventFollowing = telemetry.Define(4151, "shard no longer led here",
		"This node's replica was the shard's leader and is no more.")
	eventHalted = telemetry.Define(4152, "replica halted",
		"A replica can't go on for a failure of its disk or its state machine.")
	eventNoQuorum = telemetry.Define(4153, "shard without quorum",
		"No leader could be elected for a long time: too many of the shard's replicas are gone. "+
			"Nothing is accepted or read until enough of the listed replicas return with their disks.")
	eventQuorumBack = telemetry.Define(4154, "shard has a quorum again",
		"A leader was elected after the shard had been without quorum.")
	eventBootstrapped = telemetry.Define(4155, "shard bootstrapped",
		"This node holds one of the first replicas of a new shard.")
	eventReplacing = telemetry.Define(4156, "replica change",
		"The leader changes the shard's replica set by one step.")
	eventJoined = telemetry.Define(4157, "replica joined",
		"This node was asked to hold a replica, which starts empty.")
	eventDestroyed = telemetry.Define(4158, "replica destroyed",
		"This node's replica was removed from the shard; its data was deleted.")
	eventSnapshotTaken = telemetry.Define(4159, "snapshot received",
		"A replica that was too far behind received the state from its leader.")
	eventSnapshotFailed = telemetry.Define(4160, "snapshot failed",
		"Receiving the state from the leader failed; it is tried again.")
	eventRejoining = telemetry.Define(4161, "ledger restarts with an empty disk",
		"The ledger folder was corrupt and discarded; its replicas rejoin under new identities.")
	eventDirectoryFailed = telemetry.Define(4162, "shard directory not reached",
		"The platform's store could not be read or written; the ledger goes on without it.")
	eventPlaced = telemetry.Define(4163, "shard placed",
		"This node created the shard's first replica set in the platform's store.")
	eventDrained = telemetry.Define(4164, "leadership handed over",
		"A draining node leads no shard any more.")
	eventRepairFailed = telemetry.Define(4165, "replica change failed",
		"A step of a replacement failed; it is tried again.")
	eventZoneExposed = telemetry.Define(4166, "zone loss not borne",
		"The loss of one more zone would leave the shard without a majority: a zone is away, or the "+
			"data nodes lie in fewer than three zones.")
	eventZoneBorne = telemetry.Define(4167, "zone loss borne again",
		"The shard outlives the loss of any zone again.")
	eventRegionShort = telemetry.Define(4168, "region short of data nodes",
		"A region has too few data nodes for a shard of its own; batch jobs that have to stay in it are refused until there are more.")
	eventMisplaced = telemetry.Define(4169, "replica in another region",
		"The disk holds a replica that has to lie in another region than this node's settings name, or in one of which they don't tell. "+
			"It isn't run and is replaced; with the former settings it would go on.")
)
