package node

import "chutelock.dev/chutelock/internal/telemetry"

// Events of a node's start, stop and configuration.
var (
	EventStarting        = telemetry.Define(1001, "node starting", "The node has read its settings file and opened its ports.")
	EventReady           = telemetry.Define(1002, "node ready", "All parts are ready: the node takes requests and batch work.")
	EventDraining        = telemetry.Define(1003, "node draining", "A planned stop began: no new work is taken, what runs is finished or handed over.")
	EventDrainStep       = telemetry.Define(1004, "drain step failed", "A step of the planned stop did not finish in its time; the stop goes on.")
	EventStopped         = telemetry.Define(1005, "node stopped", "The node has closed everything; the planned stop is complete.")
	EventKeysChanged     = telemetry.Define(1006, "peer keys reloaded", "The file of shared keys changed and the new keys are in use.")
	EventKeysInvalid     = telemetry.Define(1007, "peer keys not usable", "The changed file of shared keys could not be used; the former keys stay in use.")
	EventServeFailed     = telemetry.Define(1008, "port failed", "An HTTP port of the node stopped serving.")
	EventRequestPanicked = telemetry.Define(1010, "request panicked", "The handler of a caller's request panicked; the request is answered as one that may have run, or cut off if its response has begun.")
	EventSettingsGap     = telemetry.Define(1009, "settings feed broken", "The node's source of settings failed and is retried.")
)
