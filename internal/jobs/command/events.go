package command

import "chutelock.dev/chutelock/internal/telemetry"

var (
	eventDiscardFailed = telemetry.Define(3001, "file discard failed",
		"The pieces of a refused upload could not be removed; the shard removes them by itself within the hour.")
	eventLeasesExpired = telemetry.Define(3002, "leases expired",
		"A dispatcher stopped renewing its leases; their items are open again.")
	eventKeeperFailed = telemetry.Define(3003, "lease keeper failed",
		"The leader of a shard could not end leases or let deadlines pass; it tries again.")
)
