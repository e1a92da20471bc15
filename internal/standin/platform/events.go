package platform

import "chutelock.dev/chutelock/internal/telemetry"

// Log events of the platform stand-in.
var (
	// EventReady is logged when the platform accepts requests.
	EventReady = telemetry.Define(8051, "stand-in platform: ready", "The platform stand-in serves at the address given.")
	// EventStopped is logged when the platform has shut down.
	EventStopped = telemetry.Define(8052, "stand-in platform: stopped", "The platform stand-in has stopped.")
)
