package dispatch

import "chutelock.dev/chutelock/internal/telemetry"

var (
	eventLeaseFailed = telemetry.Define(3101, "lease failed",
		"Items could not be leased; the dispatcher tries again.")
	eventRenewFailed = telemetry.Define(3102, "renewal failed",
		"Leases could not be renewed; no item of these jobs is started until a renewal succeeds.")
	eventReportFailed = telemetry.Define(3103, "report failed",
		"Results could not be committed; they are kept and reported again.")
	eventRevoked = telemetry.Define(3104, "jobs revoked",
		"Jobs were cancelled or expired; their items were stopped.")
	eventDrained = telemetry.Define(3105, "dispatcher drained",
		"The dispatcher has stopped; what it held was finished or handed back.")
	eventSuspendFailed = telemetry.Define(3106, "suspend failed",
		"An engine did not suspend a batch stream; the stream was cancelled instead.")
	eventStartFailed = telemetry.Define(3107, "start failed",
		"The start of a non-repeatable item could not be recorded; the item was handed back unsent.")
)
