package catalog

import (
	"strconv"
	"strings"
	"time"
)

// startMark parts an engine's instance name from its start in an ID.
const startMark = "@"

// EngineID is the ID of one start of an engine: its instance name, and when it was born
// where engines tell that. An engine may start anew under the name that it had; all that
// was known of it by its ID is of the former start then.
func EngineID(instance string, born time.Time) string {
	if born.IsZero() && !strings.Contains(instance, startMark) {
		return instance
	}
	start := int64(0)
	if !born.IsZero() {
		start = born.UnixMilli()
	}
	return instance + startMark + strconv.FormatInt(start, 10)
}

// Instance is the name by which the engine of an ID is addressed.
func Instance(id string) string {
	if at := strings.LastIndex(id, startMark); at >= 0 {
		return id[:at]
	}
	return id
}
