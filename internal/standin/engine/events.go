package engine

import "chutelock.dev/chutelock/internal/telemetry"

// Log events of the engine stand-in.
var (
	// EventLoadFailed is logged when the weights of a model or adapter can't be fetched.
	EventLoadFailed = telemetry.Define(8001, "stand-in engine: load failed", "The engine stand-in could not read an ordered model's or adapter's weights; it stays unloaded.")
	// EventRegisterFailed is logged when registering, publishing or deregistering fails.
	EventRegisterFailed = telemetry.Define(8002, "stand-in engine: register failed", "The engine stand-in could not register or update itself in the platform's machine list; it tries again.")
	// EventReady is logged when the engine accepts requests.
	EventReady = telemetry.Define(8003, "stand-in engine: ready", "The engine stand-in serves at the address given.")
	// EventStopped is logged when the engine has shut down.
	EventStopped = telemetry.Define(8004, "stand-in engine: stopped", "The engine stand-in has stopped.")
)
