package engine

import "chutelock.dev/chutelock/internal/telemetry"

// Events of the engine stand-in.
var (
	// EventLoadFailed says that an ordered model or adapter could not be loaded.
	EventLoadFailed = telemetry.Define(8001, "stand-in engine: load failed", "The engine stand-in could not read an ordered model's or adapter's weights; it stays unloaded.")
	// EventRegisterFailed says that the platform did not take the registration.
	EventRegisterFailed = telemetry.Define(8002, "stand-in engine: register failed", "The engine stand-in could not register or update itself in the platform's machine list; it tries again.")
	// EventReady says that the engine serves.
	EventReady = telemetry.Define(8003, "stand-in engine: ready", "The engine stand-in serves at the address given.")
	// EventStopped says that the engine has ended.
	EventStopped = telemetry.Define(8004, "stand-in engine: stopped", "The engine stand-in has stopped.")
)
