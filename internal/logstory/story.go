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

// lineMost bounds a log line, in bytes.
const lineMost = 1 << 20

// contextTime is how long before an entry something must have happened to its
// engine to be told with it.
const contextTime = 3 * time.Second

// Entry is one log line.
type Entry struct {
	At      time.Time
	Process string
	Name    string // of the event
	// Fields are the line's other keys and values.
	Fields map[string]any
	// Context marks a line that doesn't name the identifier itself.
	Context bool
}

// identifierKeys are the fields that name requests, items and jobs.
var identifierKeys = []string{"request", "item", "job"}

// contextEvents tell what a process believes; the last one before an entry
// belongs to its story.
var contextEvents = map[string]bool{
	"configuration-in-force": true, "engines-changed": true, "store-lost": true, "store-back": true,
	"batch-leading": true, "batch-not-leading": true, "stopping": true, eventZoneDrains: true,
}

// engineEvents tell what a process knows of an engine; those shortly before an entry
// that names the engine belong to its story.
var engineEvents = map[string]bool{
	"engine-aside": true, "engine-cold": true, "engine-warm": true, "engine-paced": true,
}

// eventZoneDrains names the line that tells which zones are drained from then on.
const eventZoneDrains = "zone-drains-changed"

// Read reads the lines of one input. A process is named by a prefix before the
// line's object, by the node of its "started" line, or else by name.
func Read(input io.Reader, name string) ([]Entry, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), lineMost)
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
	stamp, _ := entry.Fields["ts"].(string)
	var err error
	if entry.At, err = time.Parse(time.RFC3339Nano, stamp); err != nil {
		return Entry{}, false
	}
	for _, key := range []string{"logger", "ts", "level", "msg"} {
		delete(entry.Fields, key)
	}
	return entry, entry.Name != ""
}

func (e Entry) names(id string) bool {
	for _, key := range identifierKeys {
		if value, found := e.Fields[key]; found && fmt.Sprint(value) == id {
			return true
		}
	}
	return false
}

// Tell returns the entries that name the identifier and their context, in
// order of time. Clocks of processes may differ; each line keeps its own.
func Tell(entries []Entry, id string) []Entry {
	entries = inOrder(entries)
	chosen := map[int]bool{}
	var story []int
	for i := range entries {
		if !entries[i].names(id) {
			continue
		}
		chosen[i] = true
		story = append(story, i)
	}
	for _, i := range story {
		for _, before := range contextOf(entries, i) {
			if !chosen[before] {
				chosen[before] = true
				entries[before].Context = true
			}
		}
	}
	var told []Entry
	for i := range entries {
		if chosen[i] {
			told = append(told, entries[i])
		}
	}
	return told
}

// contextOf finds what the process of an entry believed before it, and what
// happened lately to its engine.
func contextOf(entries []Entry, at int) []int {
	var context []int
	seen := map[string]bool{}
	engine, hasEngine := entries[at].Fields["engine"]
	for i := at - 1; i >= 0; i-- {
		one := entries[i]
		if one.Process != entries[at].Process {
			continue
		}
		if contextEvents[one.Name] && !seen[one.Name] {
			seen[one.Name] = true
			context = append(context, i)
		}
		recent := entries[at].At.Sub(one.At) <= contextTime
		if hasEngine && recent && engineEvents[one.Name] && one.Fields["engine"] == engine {
			context = append(context, i)
		}
	}
	return context
}

// Write writes a story as a table: the time since its first own line, the
// process, the event, and the fields in order. Context stands in brackets.
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
			float64(entry.At.Sub(start).Microseconds())/1000, entry.Process, name, fields(entry.Fields))
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func fields(values map[string]any) string {
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
