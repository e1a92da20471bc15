// Package telemetry provides numbered log events and the output they are
// written to.
package telemetry

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Event is a numbered kind of log line. Numbers are never reused. Their ranges are
// 1000 node, 2000 gateway and routing, 3000 jobs, 4000 ledger, 5000 settings,
// 6000 membership, 7000 fleet and placement, 8000 test doubles and lab.
type Event struct {
	Number  int
	Name    string
	Meaning string

	limiter *limiter
}

// Record is a logged event, kept in memory for the operators' event listing.
type Record struct {
	At      time.Time
	Number  int
	Name    string
	Error   string `json:",omitempty"`
	Details map[string]string
}

// maxRecent bounds the number of records kept in memory.
const maxRecent = 2048

var (
	catalogueMutex sync.Mutex
	catalogue      = map[int]Event{}

	recentMutex sync.Mutex
	recent      []Record
	recentNext  int
)

// Define adds an event to the catalogue. It panics if the number is in use, so
// call it only to initialize package-level variables.
func Define(number int, name, meaning string) Event {
	catalogueMutex.Lock()
	defer catalogueMutex.Unlock()
	if other, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("telemetry: event %d is %q already", number, other.Name))
	}
	event := Event{Number: number, Name: name, Meaning: meaning, limiter: &limiter{}}
	catalogue[number] = event
	return event
}

// Catalogue returns all defined events in order of number.
func Catalogue() []Event {
	catalogueMutex.Lock()
	defer catalogueMutex.Unlock()
	events := make([]Event, 0, len(catalogue))
	for _, event := range catalogue {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Info logs the event with alternating keys and values.
func (e Event) Info(keysAndValues ...any) {
	keysAndValues, allowed := e.limit(keysAndValues)
	if !allowed {
		return
	}
	klog.InfoSDepth(1, e.Name, append([]any{"event", e.Number}, keysAndValues...)...)
	e.addRecent("", keysAndValues)
}

// Error logs the event as an error with alternating keys and values.
func (e Event) Error(err error, keysAndValues ...any) {
	keysAndValues, allowed := e.limit(keysAndValues)
	if !allowed {
		return
	}
	message := oneLineError{err}
	klog.ErrorSDepth(1, message, e.Name, append([]any{"event", e.Number}, keysAndValues...)...)
	e.addRecent(message.Error(), keysAndValues)
}

// formatErrors replaces errors among the values by one-line messages, in place.
func formatErrors(keysAndValues []any) []any {
	for i := 1; i < len(keysAndValues); i += 2 {
		if err, isError := keysAndValues[i].(error); isError {
			keysAndValues[i] = oneLineError{err}.Error()
		}
	}
	return keysAndValues
}

// limit reports whether the rate limit allows a line, and appends the number of lines
// omitted before it.
func (e Event) limit(keysAndValues []any) ([]any, bool) {
	keysAndValues = formatErrors(keysAndValues)
	if e.limiter == nil {
		return keysAndValues, true
	}
	omitted, allowed := e.limiter.allow(time.Now())
	if omitted > 0 {
		keysAndValues = append(keysAndValues, "omitted", omitted)
	}
	return keysAndValues, allowed
}

// oneLineError formats an error in one line, without the stack that package trace
// adds.
type oneLineError struct{ error }

// Error implements error.
func (p oneLineError) Error() string {
	if p.error == nil {
		return "no error given"
	}
	lines := strings.Split(trace.UserMessage(p.error), "\n")
	for i, line := range lines {
		lines[i] = strings.TrimSpace(line)
	}
	return strings.Join(lines, ": ")
}

func (e Event) addRecent(failure string, keysAndValues []any) {
	details := make(map[string]string, len(keysAndValues)/2)
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		details[fmt.Sprint(keysAndValues[i])] = fmt.Sprint(keysAndValues[i+1])
	}
	record := Record{At: time.Now(), Number: e.Number, Name: e.Name, Error: failure, Details: details}
	recentMutex.Lock()
	defer recentMutex.Unlock()
	if len(recent) < maxRecent {
		recent = append(recent, record)
		return
	}
	recent[recentNext] = record
	recentNext = (recentNext + 1) % maxRecent
}

// Recent returns the most recent records of this process, oldest first.
func Recent() []Record {
	recentMutex.Lock()
	defer recentMutex.Unlock()
	ordered := make([]Record, 0, len(recent))
	ordered = append(ordered, recent[recentNext:]...)
	return append(ordered, recent[:recentNext]...)
}

// Verbose logs an expected error at a klog verbosity level, without rate limit
// and without adding it to the recent records.
func (e Event) Verbose(level klog.Level, err error, keysAndValues ...any) {
	if klog.V(level).Enabled() {
		klog.InfoSDepth(1, e.Name, append([]any{"event", e.Number, "err", oneLineError{err}}, keysAndValues...)...)
	}
}
