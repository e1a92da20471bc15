package agent

import "chutelock.dev/chutelock/internal/telemetry"

// Log events of the membership agent.
var (
	eventJoined     = telemetry.Define(6001, "member joined", "a node was discovered, or returned with a higher incarnation")
	eventSuspected  = telemetry.Define(6002, "member suspected", "a node of this zone answers neither direct nor indirect probes")
	eventLeaving    = telemetry.Define(6003, "member leaving", "a node announced its planned stop")
	eventDied       = telemetry.Define(6004, "member died", "a suspected node did not refute the suspicion in time, or its zone no longer lists it")
	eventRefuted    = telemetry.Define(6005, "suspicion refuted", "other nodes took this node for suspect or dead, and it announced a higher incarnation")
	eventPaused     = telemetry.Define(6006, "pause noticed", "this process did not run for longer than a probe interval and discarded its pending probes")
	eventSuperseded = telemetry.Define(6007, "name taken over", "a process with a higher incarnation uses this node's name at another address; stop one of the two")
	eventBadMessage = telemetry.Define(6008, "bad membership message", "a peer's membership message could not be decoded and was dropped")
)
