package dissemination

import (
	"cmp"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// reports holds the reports of children and, at a zone's head, of other zones.
type reports struct {
	next, nextZone time.Time
	children       map[transport.Address]childReport
	zones          map[string]receivedZoneReport
}

type childReport struct {
	report Report
	at     time.Time
}

type receivedZoneReport struct {
	report ZoneReport
	at     time.Time // when the head created it, by this node's clock
}

// expeditedDelay batches several changes into one early report.
const expeditedDelay = 100 * time.Millisecond

// expedite schedules the next reports early after a change.
func (r *reports) expedite(now time.Time) {
	soon := now.Add(expeditedDelay)
	if r.next.After(soon) {
		r.next = soon
	}
	if r.nextZone.After(soon) {
		r.nextZone = soon
	}
}

func newReports() reports {
	return reports{children: make(map[transport.Address]childReport), zones: make(map[string]receivedZoneReport)}
}

// keepChildren drops the reports of nodes that are no longer children.
func (r *reports) keepChildren(children []transport.Address) {
	for address := range r.children {
		if !slices.Contains(children, address) {
			delete(r.children, address)
		}
	}
}

// tickReports sends the subtree's report up, and from the head to other zones.
func (m *Machine) tickReports(now time.Time) {
	if !now.Before(m.reports.next) {
		m.reports.next = now.Add(reportInterval)
		if m.plan.position > 0 {
			m.emit(SendReport{To: m.plan.parent, Report: m.subtree(now)})
		}
	}
	if m.plan.position == 0 && !now.Before(m.reports.nextZone) {
		m.reports.nextZone = now.Add(zoneInterval)
		own := m.ownZone(now)
		for _, head := range m.plan.otherHeads {
			m.emit(SendZoneReport{To: head, Report: own})
		}
	}
}

// subtree merges the reports of this node and its children.
func (m *Machine) subtree(now time.Time) Report {
	sum := m.ownReport(now)
	for _, child := range m.reports.children {
		if now.Sub(child.at) <= reportLifetime {
			sum = mergeReports(sum, child.report)
		}
	}
	return sum
}

func (m *Machine) ownReport(now time.Time) Report {
	own := Report{Nodes: 1, Minimum: m.state.version, Maximum: m.state.version}
	if !m.published {
		return Report{Nodes: 1, Unset: 1}
	}
	if m.Stale(now) {
		own.Stale = 1
	}
	return own
}

// mergeReports adds two reports; nodes without settings don't affect the versions.
func mergeReports(a, b Report) Report {
	sum := Report{Nodes: a.Nodes + b.Nodes, Stale: a.Stale + b.Stale, Unset: a.Unset + b.Unset}
	switch {
	case a.Nodes == a.Unset:
		sum.Minimum, sum.Maximum = b.Minimum, b.Maximum
	case b.Nodes == b.Unset:
		sum.Minimum, sum.Maximum = a.Minimum, a.Maximum
	default:
		sum.Minimum, sum.Maximum = min(a.Minimum, b.Minimum), max(a.Maximum, b.Maximum)
	}
	return sum
}

func (m *Machine) ownZone(now time.Time) ZoneReport {
	return ZoneReport{Zone: m.config.Self.Zone, Region: m.config.Self.Region, Report: m.subtree(now)}
}

// HandleReport stores a child's report.
func (m *Machine) HandleReport(now time.Time, from transport.Address, report *Report) []Action {
	if slices.Contains(m.plan.children, from) {
		if m.reports.children[from].report != *report {
			m.reports.expedite(now)
		}
		m.reports.children[from] = childReport{report: *report, at: now}
	}
	return m.takeActions()
}

// HandleZoneReport stores another zone's report.
func (m *Machine) HandleZoneReport(now time.Time, report *ZoneReport) []Action {
	m.reports.zones[report.Zone] = receivedZoneReport{report: *report, at: now.Add(-report.Age)}
	return m.takeActions()
}

// ZoneStatus is what a zone has in force, as far as this node knows.
type ZoneStatus struct {
	Zone    string           `json:"zone"`
	Region  string           `json:"region"`
	Minimum settings.Version `json:"minimum"`
	Maximum settings.Version `json:"maximum"`
	// Reported counts the nodes that the figures cover, Members the live ones.
	Reported int `json:"reported"`
	Members  int `json:"members"`
	Stale    int `json:"stale"`
	Unset    int `json:"unset"`
	// Known is false when there is no recent report.
	Known bool          `json:"known"`
	Age   time.Duration `json:"age"`
}

// InForceAt reports whether the whole zone has version or a later one in force.
func (z *ZoneStatus) InForceAt(version settings.Version) bool {
	return z.Known && z.Unset == 0 && z.Reported >= z.Members && z.Minimum >= version
}

// Zones returns the zones with live members, by region and name. It is
// complete only at the first nodes of a zone; others query Head.
func (m *Machine) Zones(now time.Time) []ZoneStatus {
	var zones []ZoneStatus
	for name, members := range m.plan.zoneSizes {
		zones = append(zones, m.zoneStatus(now, name, members))
	}
	slices.SortFunc(zones, func(a, b ZoneStatus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return zones
}

func (m *Machine) zoneStatus(now time.Time, name string, members int) ZoneStatus {
	row, known := m.reports.zones[name]
	if name == m.config.Self.Zone && m.plan.position == 0 {
		row, known = receivedZoneReport{report: m.ownZone(now), at: now}, true
	}
	age := now.Sub(row.at)
	report := row.report.Report
	return ZoneStatus{
		Zone: name, Region: row.report.Region, Members: members,
		Minimum: report.Minimum, Maximum: report.Maximum,
		Reported: int(report.Nodes), Stale: int(report.Stale), Unset: int(report.Unset),
		Known: known && age <= zoneLifetime, Age: age,
	}
}

// Head returns the node of this zone that knows all zones, or "" for self.
func (m *Machine) Head() transport.Address {
	if m.plan.position == 0 {
		return ""
	}
	return m.plan.head
}
