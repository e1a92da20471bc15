package logstory

import (
	"maps"
	"slices"
	"strings"
)

// Causes of refusals by rules about tenants, whose lines give no cause.
const (
	causeLimit = "the tenant is at its limit"
	causeShare = "the tenant is over its share"
)

// TenantSpan summarizes the log lines of one tenant's online requests in one interval.
type TenantSpan struct {
	// Asked counts the requests with a known end, retries included: Served, Failed, Left and
	// those refused.
	Asked int `json:"asked"`
	// InShare counts those of Asked that were not refused by OverShare or Limited.
	InShare int `json:"in_share"`
	// Served counts the requests with a complete response, and Late those of them whose first
	// event came after the route's target.
	Served int `json:"served"`
	Late   int `json:"late"`
	// Failed counts the streams that were aborted, and Left the callers that disconnected
	// before their response was complete.
	Failed int `json:"failed"`
	Left   int `json:"left"`
	// OverShare counts the requests that were refused because the tenant asked for more than
	// its share, and Limited those beyond its limit; Refused counts all refusals by cause.
	OverShare int            `json:"over_share"`
	Limited   int            `json:"limited"`
	Refused   map[string]int `json:"refused,omitempty"`
	// Share and Demand are the highest share that a refusal named, in requests a second, and
	// the highest demand of the tenant over all nodes.
	Share  float64 `json:"share"`
	Demand float64 `json:"demand"`
}

// tenantUpdates are the functions that add a line to a tenant's span, by event name.
var tenantUpdates = map[string]func(*TenantSpan, Entry){
	"request-served": func(s *TenantSpan, e Entry) {
		s.Served++
		if late, _ := e.Fields["late"].(bool); late {
			s.Late++
		}
	},
	"stream-aborted": func(s *TenantSpan, _ Entry) { s.Failed++ },
	"caller-left":    func(s *TenantSpan, _ Entry) { s.Left++ },
	"request-refused": func(s *TenantSpan, e Entry) {
		cause, _ := e.Fields["cause"].(string)
		s.refuse(cause)
	},
	"request-limited": func(s *TenantSpan, _ Entry) {
		s.Limited++
		s.refuse(causeLimit)
	},
	"request-over-share": func(s *TenantSpan, e Entry) {
		s.OverShare++
		s.refuse(causeShare)
		share, _ := e.Fields["share"].(float64)
		demand, _ := e.Fields["demand"].(float64)
		s.Share, s.Demand = max(s.Share, share), max(s.Demand, demand)
	},
}

func (s *TenantSpan) refuse(cause string) {
	if s.Refused == nil {
		s.Refused = map[string]int{}
	}
	s.Refused[cause]++
}

// LargestTenants returns the tenants that asked most, at most the given number in descending
// order, and the sum of all others. The sum has no Share and Demand.
func (s *Span) LargestTenants(most int) (largest []string, others *TenantSpan) {
	largest = slices.SortedFunc(maps.Keys(s.Tenants), func(a, b string) int {
		if x, y := s.Tenants[a].Asked, s.Tenants[b].Asked; x != y {
			return y - x
		}
		return strings.Compare(a, b)
	})
	others = &TenantSpan{}
	if len(largest) <= most {
		return largest, others
	}
	for _, tenant := range largest[most:] {
		others.add(s.Tenants[tenant])
	}
	return largest[:most], others
}

// add adds the counts of another tenant.
func (s *TenantSpan) add(other *TenantSpan) {
	s.Asked += other.Asked
	s.InShare += other.InShare
	s.Served += other.Served
	s.Late += other.Late
	s.Failed += other.Failed
	s.Left += other.Left
	s.OverShare += other.OverShare
	s.Limited += other.Limited
	for cause, count := range other.Refused {
		if s.Refused == nil {
			s.Refused = map[string]int{}
		}
		s.Refused[cause] += count
	}
}

// addTenant adds a line to the span of the tenant that it names, if any.
func (s *Span) addTenant(e Entry) {
	update := tenantUpdates[e.Name]
	if update == nil {
		return
	}
	s.Omitted += max(0, e.intField("omitted"))
	tenant, _ := e.Fields["tenant"].(string)
	if tenant == "" {
		return
	}
	if s.Tenants == nil {
		s.Tenants = map[string]*TenantSpan{}
	}
	if s.Tenants[tenant] == nil {
		s.Tenants[tenant] = &TenantSpan{}
	}
	t := s.Tenants[tenant]
	update(t, e)
	t.Asked++
	t.InShare = t.Asked - t.OverShare - t.Limited
}
