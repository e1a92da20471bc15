package system

import (
	"time"

	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventInvalidEntry = telemetry.Define(7202, "engine-unreadable", "Entries of the engines' kind in the platform's store have no usable engine, for example those of another writer; gives the number since the last line and the latest of them. All other entries are used.")

// invalidEntryLogInterval is the minimum time between two log lines: another writer may
// change many entries often.
const invalidEntryLogInterval = 10 * time.Second

// invalidEntryLog logs entries without a usable engine, at a bounded rate. The zero value
// is ready for use.
type invalidEntryLog struct {
	loggedAt time.Time
	count    int // since loggedAt
}

func (l *invalidEntryLog) record(entry mirror.Object, cause error, now time.Time) {
	l.count++
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < invalidEntryLogInterval {
		return
	}
	eventInvalidEntry.Error(cause, "engine", entry.Name, "revision", entry.Revision, "entries", l.count)
	l.loggedAt, l.count = now, 0
}
