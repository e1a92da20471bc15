package system

import (
	"time"

	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventBadEngine = telemetry.Define(7202, "engine-unreadable", "Entries among the engines' in the platform's store name no engine to use, as another writer's do; says how many changed so since the last line, and the newest of them. The others hold.")

// unusableInterval is the least time between two lines about entries that name no engine:
// another writer may change many of them, and often.
const unusableInterval = 10 * time.Second

// unusableEntries tells of entries that name no engine, now and then. The zero value is
// ready.
type unusableEntries struct {
	told  time.Time
	count int // since then
}

func (u *unusableEntries) note(entry mirror.Object, cause error, now time.Time) {
	u.count++
	if !u.told.IsZero() && now.Sub(u.told) < unusableInterval {
		return
	}
	eventBadEngine.Error(cause, "engine", entry.Name, "revision", entry.Revision, "entries", u.count)
	u.told, u.count = now, 0
}
