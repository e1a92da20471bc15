package command

import "chutelock.dev/chutelock/internal/telemetry"

var (
	eventDiscardFailed = telemetry.Define(3001, "file discard failed",
		"The chunks of a failed upload could not be removed; the shard removes them within an hour.")
	eventLeasesExpired = telemetry.Define(3002, "leases expired",
		"A dispatcher stopped renewing its leases; their items are open again.")
	eventKeeperFailed = telemetry.Define(3003, "lease keeper failed",
		"The leader of a shard could not expire leases or apply deadlines; it tries again.")
)
