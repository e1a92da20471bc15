package platform

import "chutelock.dev/chutelock/internal/telemetry"

// Events of the platform stand-in.
var (
	// EventReady says that the platform serves.
	EventReady = telemetry.Define(8051, "stand-in platform: ready", "The platform stand-in serves at the address given.")
	// EventStopped says that the platform has ended.
	EventStopped = telemetry.Define(8052, "stand-in platform: stopped", "The platform stand-in has stopped.")
)
