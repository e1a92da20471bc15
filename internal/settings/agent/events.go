package agent

import (
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventStoreBehind = telemetry.Define(5101, "settings store went back",
		"The store holds an older state of the settings than the one in force, as after a restore from an old backup. It is refused; see docs/operating/settings.md.")
	eventStoreForked = telemetry.Define(5102, "settings store forked",
		"The store lost or changed settings that are in force. It is refused; see docs/operating/settings.md.")
	eventStoreRecovered = telemetry.Define(5103, "settings store is right again",
		"A refused store holds the settings in force again and is accepted.")
	eventEpochRaised = telemetry.Define(5104, "settings epoch raised",
		"An operator raised the epoch to accept a store that had gone back.")
	eventDivergence = telemetry.Define(5105, "settings diverge",
		"A peer has other settings in force at the same version or accepted a forked store. An operator must decide which one to keep.")
	eventStoreRefusing = telemetry.Define(5106, "settings store refuses readers",
		"The store's limit of watches or requests is reached; this node retries later and gets changes from peers meanwhile.")
	eventFirstSettings = telemetry.Define(5107, "first settings in force",
		"The node has settings in force for the first time since its start.")
	eventProblems = telemetry.Define(5108, "settings with problems",
		"The store holds nodes that can't be resolved as they are; the offending fields inherit instead.")
	eventCacheFailed = telemetry.Define(5109, "settings cache failed",
		"The disk cache of the settings can't be read or written; a restart without the store and peers would lack the newest settings.")
	eventStale = telemetry.Define(5110, "settings stale",
		"The node can't tell whether its settings are the newest; it goes on with them.")
	eventFresh = telemetry.Define(5111, "settings fresh again",
		"The node knows again that its settings are the newest.")
	eventBadMessage = telemetry.Define(5112, "bad settings message",
		"A peer's message could not be decoded; it was dropped.")
)

// noticeEvents maps the state machine's notices to log events.
var noticeEvents = map[dissemination.Notice]telemetry.Event{
	dissemination.NoticeStoreBehind:    eventStoreBehind,
	dissemination.NoticeStoreForked:    eventStoreForked,
	dissemination.NoticeStoreRecovered: eventStoreRecovered,
	dissemination.NoticeEpochRaised:    eventEpochRaised,
	dissemination.NoticeDivergence:     eventDivergence,
	dissemination.NoticeStoreRefusing:  eventStoreRefusing,
}
