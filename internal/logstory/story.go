package logstory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maxLineSize bounds a log line, in bytes.
const maxLineSize = 1 << 20

// engineContextTime is how long before an entry the events of its engine are
// included as context.
const engineContextTime = 3 * time.Second

// Entry is one log line.
type Entry struct {
	At      time.Time
	Process string
	Name    string // event name
	// Fields are the remaining keys and values of the line.
	Fields map[string]any
	// Context is set if the line does not contain the identifier itself.
	Context bool
}

// identifierKeys are the fields that hold identifiers of requests, items and jobs, and of the
// request that began the stream which another one continues.
var identifierKeys = []string{"request", "item", "job", "continues"}

// stateEvents log the state of a process; the last one of each before an entry is
// included as context.
var stateEvents = map[string]bool{
	"configuration-in-force": true, "engines-changed": true, "store-lost": true, "store-back": true,
	"batch-leading": true, "batch-not-leading": true, "stopping": true, eventZoneDrains: true,
}

// engineEvents log the state of an engine; those within engineContextTime before an
// entry with the same engine are included as context.
var engineEvents = map[string]bool{
	"engine-aside": true, "engine-cold": true, "engine-warm": true, "engine-paced": true,
}

// eventZoneDrains is the event that lists all drained zones.
const eventZoneDrains = "zone-drains-changed"

// Read returns the entries of one input and skips lines of other formats. The process
// of an entry is the last word before the JSON object; without one, it is the node of
// the preceding "started" line or else name.
func Read(input io.Reader, name string) ([]Entry, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLineSize)
	var entries []Entry
	for scanner.Scan() {
		entry, ok := parse(scanner.Text(), name)
		if !ok {
			continue
		}
		if node, found := entry.Fields["node"].(string); found && entry.Name == "started" && entry.Process == name {
			name, entry.Process = node, node
		}
		entries = append(entries, entry)
	}
	return entries, trace.Wrap(scanner.Err(), "read %s", name)
}

func parse(line, name string) (Entry, bool) {
	brace := strings.IndexByte(line, '{')
	if brace < 0 {
		return Entry{}, false
	}
	entry := Entry{Process: name}
	if json.Unmarshal([]byte(line[brace:]), &entry.Fields) != nil {
		return Entry{}, false
	}
	if words := strings.Fields(line[:brace]); len(words) > 0 {
		entry.Process = words[len(words)-1]
	}
	entry.Name, _ = entry.Fields["msg"].(string)
	timestamp, _ := entry.Fields["ts"].(string)
	var err error
	if entry.At, err = time.Parse(time.RFC3339Nano, timestamp); err != nil {
		return Entry{}, false
	}
	for _, key := range []string{"logger", "ts", "level", "msg"} {
		delete(entry.Fields, key)
	}
	return entry, entry.Name != ""
}

func (e Entry) hasID(id string) bool {
	for _, key := range identifierKeys {
		if value, found := e.Fields[key]; found && fmt.Sprint(value) == id {
			return true
		}
	}
	return false
}

// Select returns the entries with the identifier and their context, sorted by time.
// Clock differences between processes are not corrected.
func Select(entries []Entry, id string) []Entry {
	entries = sortByTime(entries)
	included := map[int]bool{}
	var matches []int
	for i := range entries {
		if !entries[i].hasID(id) {
			continue
		}
		included[i] = true
		matches = append(matches, i)
	}
	for _, i := range matches {
		for _, context := range contextOf(entries, i) {
			if !included[context] {
				included[context] = true
				entries[context].Context = true
			}
		}
	}
	var selected []Entry
	for i := range entries {
		if included[i] {
			selected = append(selected, entries[i])
		}
	}
	return selected
}

// contextOf returns the indices of the state and engine events of the same process
// that are the context of an entry.
func contextOf(entries []Entry, index int) []int {
	var context []int
	seen := map[string]bool{}
	engine, hasEngine := entries[index].Fields["engine"]
	for i := index - 1; i >= 0; i-- {
		other := entries[i]
		if other.Process != entries[index].Process {
			continue
		}
		if stateEvents[other.Name] && !seen[other.Name] {
			seen[other.Name] = true
			context = append(context, i)
		}
		recent := entries[index].At.Sub(other.At) <= engineContextTime
		if hasEngine && recent && engineEvents[other.Name] && other.Fields["engine"] == engine {
			context = append(context, i)
		}
	}
	return context
}

// Write writes the result of Select as a table: the time since the first entry with the
// identifier, the process, the event, and the fields by key. Names of context events
// are in parentheses.
func Write(out io.Writer, story []Entry) error {
	var start time.Time
	for _, entry := range story {
		if !entry.Context {
			start = entry.At
			break
		}
	}
	for _, entry := range story {
		name := entry.Name
		if entry.Context {
			name = "(" + name + ")"
		}
		_, err := fmt.Fprintf(out, "%+11.1f ms  %-24s %-24s %s\n",
			float64(entry.At.Sub(start).Microseconds())/1000, entry.Process, name, formatFields(entry.Fields))
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func formatFields(values map[string]any) string {
	keys := make([]string, 0, len(values))
	for key := range values {
		if key != "event" {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	parts := make([]string, 0, len(keys))
	for _, key := range keys {
		parts = append(parts, fmt.Sprintf("%s=%v", key, values[key]))
	}
	return strings.Join(parts, " ")
}
