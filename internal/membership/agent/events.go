package agent

import "chutelock.dev/chutelock/internal/telemetry"

// Events of the membership agent.
var (
	eventJoined     = telemetry.Define(6001, "member joined", "a node became known, or came back with a higher incarnation")
	eventSuspected  = telemetry.Define(6002, "member suspected", "a node of the zone does not answer, nor through others")
	eventLeaving    = telemetry.Define(6003, "member leaving", "a node announced its planned stop")
	eventDied       = telemetry.Define(6004, "member died", "a suspected node did not refute in time, or its zone no longer lists it")
	eventRefuted    = telemetry.Define(6005, "suspicion refuted", "this node was believed suspect or dead and told the others otherwise")
	eventPaused     = telemetry.Define(6006, "pause noticed", "this node did not run for a while and starts its probes afresh")
	eventSuperseded = telemetry.Define(6007, "name taken over", "a later process runs under this node's name; stop one of the two")
	eventBadMessage = telemetry.Define(6008, "bad membership message", "a peer's membership message could not be decoded and was dropped")
)
