package storage

import "chutelock.dev/chutelock/internal/telemetry"

// Event numbers 4100 to 4149 are reserved for this package.
var (
	eventCreated = telemetry.Define(4100, "ledger folder created",
		"The data folder held no ledger; this node starts with a new disk incarnation.")
	eventFull = telemetry.Define(4101, "ledger disk full",
		"Free space fell below the reserve; this node takes no new entries until space is freed.")
	eventSpaceRecovered = telemetry.Define(4102, "ledger disk has room again",
		"Free space rose above the reserve; this node takes entries again.")
	eventFailed = telemetry.Define(4103, "ledger disk failed",
		"A write or sync failed; this node's replicas halt until the disk accepts writes again.")
	eventCorrupt = telemetry.Define(4104, "ledger folder corrupt",
		"Durable data is damaged; the folder must be discarded and its replicas fetched from peers.")
	eventDiscarded = telemetry.Define(4105, "ledger folder discarded",
		"The ledger folder was removed; its replicas rejoin under a new disk incarnation.")
	eventLowSpace = telemetry.Define(4107, "ledger disk scarce",
		"Free space fell below the threshold for starting new work on this node, or rose above it again.")
	eventLockKept = telemetry.Define(4108, "ledger lock kept",
		"The lock of a failed store's folder could not be released; the folder can't be opened again before the process restarts.")
	eventAbandoned = telemetry.Define(4109, "ledger not closed",
		"The ledger folder was not closed in order, as its disk hangs; nothing acknowledged is lost, as after a crash.")
	eventSlow = telemetry.Define(4106, "ledger disk slow",
		"A disk operation has been running for longer than the slow-operation threshold.")
)
