package command

import "chutelock.dev/chutelock/internal/telemetry"

var (
	eventApplied     = telemetry.Define(5001, "settings change written", "An operator's change was validated and written to the store.")
	eventSweepFailed = telemetry.Define(5003, "sweep of deleted settings failed", "Expired tombstones could not be removed from the store; the next sweep retries.")
	eventRecovered   = telemetry.Define(5002, "store recovered", "The applied settings were written to a store that had rolled back, under a new epoch.")
)
