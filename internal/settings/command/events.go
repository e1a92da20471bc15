package command

import "chutelock.dev/chutelock/internal/telemetry"

var (
	eventApplied     = telemetry.Define(5001, "settings change written", "An operator's change was checked and written to the store.")
	eventSweepFailed = telemetry.Define(5003, "sweep of deleted settings failed", "Old traces of deletions could not be removed from the store; it is tried again later.")
	eventRecovered   = telemetry.Define(5002, "store recovered", "What is in force was written to a store that had gone back, under a new epoch.")
)
