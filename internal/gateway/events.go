package gateway

import "chutelock.dev/chutelock/internal/telemetry"

// Events of the gateway, 2000 to 2099.
var (
	eventEndpointEjected  = telemetry.Define(2001, "endpoint set aside", "routing sends an engine no new requests for a while, because it fails, doesn't answer or is slower than its peers")
	eventEndpointRestored = telemetry.Define(2002, "endpoint taken back", "a probe of an engine that was set aside succeeded")
	eventAttemptFailed    = telemetry.Define(2003, "attempt failed", "an engine failed an online request; the fate says whether it may have run")
	eventStreamResumed    = telemetry.Define(2004, "stream resumed", "a stream that broke off goes on at another engine")
	eventAnswerGivenUp    = telemetry.Define(2005, "request given up", "an online request got an error as its final answer after an attempt")
	eventDrainStarted     = telemetry.Define(2006, "gateway drain started", "the node takes no new online requests and lets those in progress end")
	eventDrainEnded       = telemetry.Define(2007, "gateway drain ended", "no online request is in progress any more, or the drain's time passed")
	eventHandlerPanicked  = telemetry.Define(2008, "handler panicked", "a fault in the program ended one request; the node goes on")
)
