package catalog

import (
	"strconv"
	"strings"
	"time"
)

// startSeparator separates the instance name from the start time in an engine's ID.
const startSeparator = "@"

// EngineID returns the ID of one incarnation of an engine: its instance name and, if known,
// its start time. State kept by ID thus does not carry over to a restarted engine.
func EngineID(instance string, started time.Time) string {
	if started.IsZero() && !strings.Contains(instance, startSeparator) {
		return instance
	}
	start := int64(0)
	if !started.IsZero() {
		start = started.UnixMilli()
	}
	return instance + startSeparator + strconv.FormatInt(start, 10)
}

// Instance returns the instance name in an engine's ID.
func Instance(id string) string {
	if at := strings.LastIndex(id, startSeparator); at >= 0 {
		return id[:at]
	}
	return id
}
