package logstory

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Span sums up what the lines of all processes tell of one stretch of time.
type Span struct {
	From time.Time `json:"from"`
	// Served is the online requests that were answered whole, Late those of
	// them whose first event came after the route's target.
	Served int `json:"served"`
	Late   int `json:"late"`
	// Refused counts the system's own answers by cause.
	Refused map[string]int `json:"refused,omitempty"`
	// HeldMost is the longest time that a request was held before it was refused.
	HeldMost time.Duration `json:"held_most"`
	// Aborted is the streams that were broken off, Left the callers that went
	// before their answer was complete.
	Aborted int `json:"aborted"`
	Left    int `json:"left"`
	// Failed counts attempts that an engine did not answer well.
	Failed int `json:"failed_attempts"`
	// ItemsSent is the runs of items that were started, ItemsCut those that had
	// to make way for online requests.
	ItemsSent int `json:"items_sent"`
	ItemsCut  int `json:"items_cut"`
	// ItemsOpen and ItemsRunning are what the leader of batch work said last.
	ItemsOpen    int `json:"items_open"`
	ItemsRunning int `json:"items_running"`
	// Drained lists the zones that any process whose lines count here took for
	// drained: their engines were out.
	Drained []string `json:"drained_zones,omitempty"`
}

// RefusedTotal is the sum of Refused.
func (s *Span) RefusedTotal() int {
	total := 0
	for _, count := range s.Refused {
		total += count
	}
	return total
}

// spanEvents take a line into a span, by the name of its event.
var spanEvents = map[string]func(*Span, Entry){
	"request-served": func(s *Span, e Entry) {
		s.Served++
		if late, _ := e.Fields["late"].(bool); late {
			s.Late++
		}
	},
	"request-refused":  func(s *Span, e Entry) { s.refuse(e, "cause") },
	"request-rejected": func(s *Span, e Entry) { s.refuse(e, "reason") },
	"stream-aborted":   func(s *Span, _ Entry) { s.Aborted++ },
	"caller-left":      func(s *Span, _ Entry) { s.Left++ },
	"attempt-failed":   func(s *Span, _ Entry) { s.Failed++ },
	"item-sent":        func(s *Span, _ Entry) { s.ItemsSent++ },
	eventZoneDrains:    func(*Span, Entry) {},
	"batch-yielded":    func(s *Span, e Entry) { s.ItemsCut += e.count("cut") },
	"batch-state": func(s *Span, e Entry) {
		s.ItemsOpen, s.ItemsRunning = e.count("open"), e.count("running")
	},
}

func (s *Span) refuse(e Entry, key string) {
	cause, _ := e.Fields[key].(string)
	s.HeldMost = max(s.HeldMost, e.duration("held"))
	if s.Refused == nil {
		s.Refused = map[string]int{}
	}
	s.Refused[cause]++
}

// count reads a field that is a number; 0 if it is none.
func (e Entry) count(key string) int {
	number, _ := e.Fields[key].(float64)
	return int(number)
}

// list reads a field that is a list of words; nil if it is none.
func (e Entry) list(key string) []string {
	values, _ := e.Fields[key].([]any)
	var words []string
	for _, value := range values {
		words = append(words, fmt.Sprint(value))
	}
	return words
}

func (s *Span) drain(zones []string) {
	for _, zone := range zones {
		if at, known := slices.BinarySearch(s.Drained, zone); !known {
			s.Drained = slices.Insert(s.Drained, at, zone)
		}
	}
}

// inOrder returns the entries in order of time.
func inOrder(entries []Entry) []Entry {
	return slices.SortedStableFunc(slices.Values(entries), func(a, b Entry) int { return a.At.Compare(b.At) })
}

// duration reads a field that is a duration as logs write it; 0 if it is none.
func (e Entry) duration(key string) time.Duration {
	written, _ := e.Fields[key].(string)
	length, err := time.ParseDuration(written)
	if err != nil {
		return 0
	}
	return length
}

// Spans sums up the lines from since on and before until, each span of them
// apart; spans without a line of interest are left out. A zero time is no bound.
func Spans(entries []Entry, since, until time.Time, each time.Duration) []Span {
	spans := map[time.Time]*Span{}
	drained := map[string][]string{} // by process
	for _, entry := range inOrder(entries) {
		if entry.Name == eventZoneDrains {
			drained[entry.Process] = entry.list("zones")
		}
		take := spanEvents[entry.Name]
		if take == nil || entry.At.Before(since) || (!until.IsZero() && !entry.At.Before(until)) {
			continue
		}
		from := entry.At.Truncate(each)
		if spans[from] == nil {
			spans[from] = &Span{From: from}
		}
		take(spans[from], entry)
		spans[from].drain(drained[entry.Process])
	}
	var ordered []Span
	for _, from := range slices.SortedFunc(maps.Keys(spans), time.Time.Compare) {
		ordered = append(ordered, *spans[from])
	}
	return ordered
}
