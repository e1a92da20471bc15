package logstory

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Span summarizes the log lines of all processes in one interval.
type Span struct {
	From time.Time `json:"from"`
	// Served counts the online requests with a complete response, and Late those
	// of them whose first event came after the route's target.
	Served int `json:"served"`
	Late   int `json:"late"`
	// Refused counts the requests that the system itself refused, by cause.
	Refused map[string]int `json:"refused,omitempty"`
	// MaxHeld is the maximum time that a refused request was held; its JSON key and
	// that of ItemsPreempted are part of the output format.
	MaxHeld time.Duration `json:"held_most"`
	// Aborted counts the streams that were aborted, and Left the callers that
	// disconnected before their response was complete.
	Aborted int `json:"aborted"`
	Left    int `json:"left"`
	// Failed counts the failed attempts at engines.
	Failed int `json:"failed_attempts"`
	// ItemsSent counts the runs of items that were started, and ItemsPreempted those
	// preempted by online requests.
	ItemsSent      int `json:"items_sent"`
	ItemsPreempted int `json:"items_cut"`
	// ItemsOpen and ItemsRunning are the last values logged by the batch leader.
	ItemsOpen    int `json:"items_open"`
	ItemsRunning int `json:"items_running"`
	// Drained lists the zones that a process with counted lines in the span had last
	// reported as drained.
	Drained []string `json:"drained_zones,omitempty"`
	// Tenants summarizes the online requests of each tenant that lines name.
	Tenants map[string]*TenantSpan `json:"tenants,omitempty"`
	// Omitted counts the lines about ends of requests that the rate limit of logs left out, as
	// told by the next line of the same event. They are in no other count.
	Omitted int `json:"omitted,omitempty"`
}

// RefusedTotal returns the sum of Refused.
func (s *Span) RefusedTotal() int {
	total := 0
	for _, count := range s.Refused {
		total += count
	}
	return total
}

// spanUpdates are the functions that add a line to a span, by event name.
var spanUpdates = map[string]func(*Span, Entry){
	"request-served": func(s *Span, e Entry) {
		s.Served++
		if late, _ := e.Fields["late"].(bool); late {
			s.Late++
		}
	},
	"request-limited":    func(s *Span, _ Entry) { s.countRefusal(causeLimit) },
	"request-over-share": func(s *Span, _ Entry) { s.countRefusal(causeShare) },
	// Requests are refused while being forwarded, and rejected before that.
	"request-refused":  func(s *Span, e Entry) { s.addRefusal(e, "cause") },
	"request-rejected": func(s *Span, e Entry) { s.addRefusal(e, "reason") },
	"stream-aborted":   func(s *Span, _ Entry) { s.Aborted++ },
	"caller-left":      func(s *Span, _ Entry) { s.Left++ },
	"attempt-failed":   func(s *Span, _ Entry) { s.Failed++ },
	"item-sent":        func(s *Span, _ Entry) { s.ItemsSent++ },
	// Counts nothing, but the line's span is listed with its drained zones.
	eventZoneDrains: func(*Span, Entry) {},
	"batch-yielded": func(s *Span, e Entry) { s.ItemsPreempted += e.intField("cut") },
	"batch-state": func(s *Span, e Entry) {
		s.ItemsOpen, s.ItemsRunning = e.intField("open"), e.intField("running")
	},
}

func (s *Span) addRefusal(e Entry, key string) {
	cause, _ := e.Fields[key].(string)
	s.MaxHeld = max(s.MaxHeld, e.durationField("held"))
	s.countRefusal(cause)
}

func (s *Span) countRefusal(cause string) {
	if s.Refused == nil {
		s.Refused = map[string]int{}
	}
	s.Refused[cause]++
}

// intField returns a numeric field as an int, or 0 if it is not a number.
func (e Entry) intField(key string) int {
	number, _ := e.Fields[key].(float64)
	return int(number)
}

// listField returns a list field as strings, or nil if it is not a list.
func (e Entry) listField(key string) []string {
	values, _ := e.Fields[key].([]any)
	var texts []string
	for _, value := range values {
		texts = append(texts, fmt.Sprint(value))
	}
	return texts
}

func (s *Span) addDrained(zones []string) {
	for _, zone := range zones {
		if at, known := slices.BinarySearch(s.Drained, zone); !known {
			s.Drained = slices.Insert(s.Drained, at, zone)
		}
	}
}

// sortByTime returns the entries sorted by time, in a new slice.
func sortByTime(entries []Entry) []Entry {
	return slices.SortedStableFunc(slices.Values(entries), func(a, b Entry) int { return a.At.Compare(b.At) })
}

// durationField returns a field formatted by time.Duration, or 0 if it is none.
func (e Entry) durationField(key string) time.Duration {
	text, _ := e.Fields[key].(string)
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return duration
}

// Spans summarizes the lines from since until before until in spans of the given
// length, and omits spans without counted lines. A zero time means no bound.
func Spans(entries []Entry, since, until time.Time, length time.Duration) []Span {
	spans := map[time.Time]*Span{}
	drained := map[string][]string{} // by process
	for _, entry := range sortByTime(entries) {
		if entry.Name == eventZoneDrains {
			drained[entry.Process] = entry.listField("zones")
		}
		update := spanUpdates[entry.Name]
		if update == nil || entry.At.Before(since) || (!until.IsZero() && !entry.At.Before(until)) {
			continue
		}
		from := entry.At.Truncate(length)
		if spans[from] == nil {
			spans[from] = &Span{From: from}
		}
		update(spans[from], entry)
		spans[from].addTenant(entry)
		spans[from].addDrained(drained[entry.Process])
	}
	var ordered []Span
	for _, from := range slices.SortedFunc(maps.Keys(spans), time.Time.Compare) {
		ordered = append(ordered, *spans[from])
	}
	return ordered
}
