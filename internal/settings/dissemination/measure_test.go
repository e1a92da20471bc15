package dissemination

import (
	"encoding/csv"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings"
)

// The measured deployment: six regions with 13 zones, 24,000 changes a day.
const (
	measureRegions  = 6
	measureZones    = 13
	measureInterval = 3600 * time.Millisecond
	measureTime     = 4 * time.Minute
	measureWarmUp   = 15 * time.Second
	measureRestart  = 2 * time.Second // between two restarts
	measureDown     = time.Second     // of a restarted node
	measureSpec     = 250             // bytes of a changed node
)

// measurement records the latency of the changes of one run.
type measurement struct {
	*sim
	writes []measuredWrite
	next   map[*simNode]int // first write that a node lacks
	byKind map[string]*hdrhistogram.Histogram
}

type measuredWrite struct {
	version settings.Version
	at      time.Time
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func newMeasurement(nodes int, seed uint64) *measurement {
	m := &measurement{sim: emptySim(seed), next: make(map[*simNode]int)}
	for i := range nodes {
		zone := i % measureZones
		m.addNode(zone%measureRegions, zone, i)
	}
	m.begin()
	m.byKind = map[string]*hdrhistogram.Histogram{"near": newHistogram(), "cut off": newHistogram()}
	m.onPublish = m.observe
	return m
}

// observe records the latency of the changes that are new to a node.
func (m *measurement) observe(node *simNode, version settings.Version) {
	for ; m.next[node] < len(m.writes) && m.writes[m.next[node]].version <= version; m.next[node]++ {
		write := m.writes[m.next[node]]
		if node.startTime.After(write.at) || m.next[node] == 0 {
			continue // the node was down, or the fleet was starting
		}
		kind := "near"
		if node.member.Region == m.store.unreachable {
			kind = "cut off"
		}
		latency := m.now.Sub(write.at).Microseconds()
		if err := m.byKind[kind].RecordValue(max(latency, 1)); err != nil {
			m.addViolation("latency: %v", err)
		}
	}
}

func (m *measurement) write(number int) {
	name := fmt.Sprintf("fleet.region-%d.team-%d.tenant-%05d", number%measureRegions, number%97, number%500)
	m.writes = append(m.writes, measuredWrite{version: settings.Version(m.store.revision + 1), at: m.now})
	m.store.put(name, false, fmt.Appendf(nil, "%s %d", strings.Repeat("x", measureSpec), number))
}

func (m *measurement) restartOne() {
	node := m.nodes[m.random.IntN(len(m.nodes))]
	if node.up {
		node.stop()
		m.at(measureDown, node.start)
	}
}

// traffic returns the mean and maximum bytes per second that a node sent.
func (m *measurement) traffic(since map[*simNode]int, duration time.Duration) (mean, greatest float64) {
	for _, node := range m.nodes {
		rate := float64(node.sentBytes-since[node]) / duration.Seconds()
		mean += rate / float64(len(m.nodes))
		greatest = max(greatest, rate)
	}
	return mean, greatest
}

func (m *measurement) sent() map[*simNode]int {
	sent := make(map[*simNode]int)
	for _, node := range m.nodes {
		sent[node] = node.sentBytes
	}
	return sent
}

// TestMeasure writes a table of in-force times and costs to the file that
// CHUTELOCK_MEASURE names.
func TestMeasure(t *testing.T) {
	path := os.Getenv("CHUTELOCK_MEASURE")
	if path == "" {
		t.Skip("CHUTELOCK_MEASURE names no file")
	}
	g := gomega.NewWithT(t)
	file, err := os.Create(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	table := csv.NewWriter(file)
	g.Expect(table.Write([]string{
		"nodes", "changes", "p50 ms", "p99 ms", "max ms", "cut-off region p50 ms", "p99 ms", "max ms",
		"idle bytes/s node mean", "max", "busy bytes/s node mean", "max", "bytes/change node", "open watches", "store requests/s",
	})).To(gomega.Succeed())
	for _, nodes := range []int{13, 50, 150, 490} {
		g.Expect(table.Write(measure(g, nodes))).To(gomega.Succeed())
		table.Flush()
	}
	g.Expect(table.Error()).To(gomega.Succeed())
	g.Expect(file.Close()).To(gomega.Succeed())
}

func measure(g *gomega.WithT, nodes int) []string {
	m := newMeasurement(nodes, uint64(nodes))
	m.write(0)
	m.run(measureWarmUp)
	before := m.sent()
	m.run(time.Minute)
	idleMean, idleMax := m.traffic(before, time.Minute)

	m.loss = 0.05
	m.store.unreachable = "region-5"
	m.store.closeRegion("region-5")
	m.run(20 * time.Second)
	before, requests := m.sent(), m.store.requests
	began, nextRestart := m.now, m.now
	changes := 0
	for m.now.Sub(began) < measureTime {
		m.write(changes + 1)
		changes++
		for end := m.now.Add(measureInterval); m.now.Before(end); {
			if !m.now.Before(nextRestart) {
				m.restartOne()
				nextRestart = m.now.Add(measureRestart)
			}
			m.run(min(end.Sub(m.now), 100*time.Millisecond))
		}
	}
	busyMean, busyMax := m.traffic(before, m.now.Sub(began))
	perSecond := float64(m.store.requests-requests) / m.now.Sub(began).Seconds()
	m.loss = 0
	m.run(20 * time.Second)
	g.Expect(m.violations).To(gomega.BeEmpty())
	for _, node := range m.nodes {
		g.Expect(node.published).To(gomega.Equal(m.store.version()), node.member.Name)
	}
	row := []string{fmt.Sprint(nodes), fmt.Sprint(changes)}
	for _, kind := range []string{"near", "cut off"} {
		histogram := m.byKind[kind]
		for _, value := range []int64{histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99), histogram.Max()} {
			row = append(row, fmt.Sprintf("%.1f", float64(value)/1000))
		}
	}
	perChange := (busyMean - idleMean) * m.now.Sub(began).Seconds() / float64(changes)
	for _, value := range []float64{idleMean, idleMax, busyMean, busyMax, perChange} {
		row = append(row, fmt.Sprintf("%.0f", value))
	}
	return append(row, fmt.Sprint(m.store.maxOpen), fmt.Sprintf("%.2f", perSecond))
}
