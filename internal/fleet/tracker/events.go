package tracker

import (
	"chutelock.dev/chutelock/internal/fleet/registry"
	"chutelock.dev/chutelock/internal/telemetry"
)

// Events of the fleet.
var (
	eventReaderBegan = telemetry.Define(7020, "store reader began", "this node was elected to read the engines' list for its region")
	eventReaderEnded = telemetry.Define(7021, "store reader ended", "another node reads the engines' list now")
	eventStoreFailed = telemetry.Define(7022, "engine list unavailable", "the store's list of engines could not be read; the last one stays in use")
	eventBadMessage  = telemetry.Define(7023, "bad fleet message", "a peer's fleet message could not be decoded and was dropped")
	eventBadEngine   = telemetry.Define(7024, "bad engine object", "an object of kind engines in the store could not be read and was left out")
)

// decisionEvents maps the registry's decisions to log events.
var decisionEvents = map[registry.DecisionKind]telemetry.Event{
	registry.DecidedHome:         telemetry.Define(7001, "home gained", "this node became the home of the engine by rendezvous hashing over the zone's live members"),
	registry.DecidedLostHome:     telemetry.Define(7002, "home lost", "the engine has another home, or left the list"),
	registry.DecidedLeaving:      telemetry.Define(7003, "engine leaving", "the engine gets no new work; the sources say why"),
	registry.DecidedBack:         telemetry.Define(7004, "engine back", "no source reports the engine as leaving any more"),
	registry.DecidedList:         telemetry.Define(7005, "engine list in force", "a newer list of the zone's engines is in use"),
	registry.DecidedListRefused:  telemetry.Define(7006, "engine list refused", "the store's list has a lower revision than the one in use: the store holds an old copy"),
	registry.DecidedReady:        telemetry.Define(7007, "fleet view whole", "this node knows the zone's engines and may route"),
	registry.DecidedStale:        telemetry.Define(7008, "fleet view stale", "this node was paused; it routes nothing until it has pulled a peer's view"),
	registry.DecidedLocalFault:   telemetry.Define(7009, "engines silent together", "all engines of this home time out at once; the home suspects its own network and does not report them as failed"),
	registry.DecidedZoneExpired:  telemetry.Define(7010, "zone silent", "no summary of another zone arrived in time; its engines get no work from this node"),
	registry.DecidedNotConfirmed: telemetry.Define(7011, "failure not confirmed", "a gateway reported that an engine failed, and a poll by its home succeeded"),
}
