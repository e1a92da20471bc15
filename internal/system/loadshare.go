package system

import (
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/transport"
)

// Load reports between nodes: front nodes tell the leader of batch work what
// they have under way, and it answers each with what all have. So the leader
// sees all online work, and front nodes see each other's and the batch work, for
// two datagrams a front node and interval. The answer is the same for all front
// nodes, so that the leader adds up and encodes it once for many; each takes out
// what it reported itself.
const (
	kindLoadReport transport.Kind = transport.KindLoad + iota
	kindLoadSum
)

const (
	// loadInterval is the time between two reports of a front node.
	loadInterval = 80 * time.Millisecond
	// pressInterval is the least time between two reports.
	pressInterval = 20 * time.Millisecond
	// answerInterval is the least time between two answers to a front node, and
	// sumInterval between two sums.
	answerInterval = loadInterval / 2
	sumInterval    = loadInterval / 4
	// settleTime is how long a new leader waits for load reports: front nodes
	// hear of it from their peers, and then within an interval.
	settleTime = 4 * loadInterval
	// pacesMost bounds the peers whose last answers are remembered.
	pacesMost = 4096
	// idleReports is how many reports without work are sent before a front
	// node falls silent.
	idleReports = 3
)

// reportLoad sends this front node's load to the leader of batch work: at each
// interval, and at once when batch work has to make way for a request.
func (f *front) reportLoad() {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	idle := 0
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		case <-f.balancer.Pressed():
		}
		own := f.balancer.Own()
		if len(own) == 0 {
			idle++
		} else {
			idle = 0
		}
		if idle > idleReports {
			continue
		}
		f.reported.Store(&own)
		if leader, known := f.ledger.Leader(0); known {
			_ = f.peers.Datagram(leader, kindLoadReport, own.Marshal())
		}
		if !f.rest(pressInterval) {
			return
		}
	}
}

// rest waits; false if the node stops meanwhile.
func (f *front) rest(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-f.stop:
		return false
	case <-timer.C:
		return true
	}
}

// takeLoadSum takes what all nodes have under way.
func (f *front) takeLoadSum(_ transport.Address, payload []byte) {
	sum, err := balance.UnmarshalReport(payload)
	if err != nil {
		return
	}
	if own := f.reported.Load(); own != nil {
		sum = sum.Without(*own)
	}
	f.balancer.PeerLoad("others", sum)
}

// takeLoadReport answers a front node's report, at the leader.
func (d *data) takeLoadReport(from transport.Address, payload []byte) {
	report, err := balance.UnmarshalReport(payload)
	if err != nil || !d.runner.Leading() {
		return
	}
	d.balancer.PeerLoad(string(from), report)
	d.runner.Yield()
	now := time.Now()
	if d.answers.due(from, now) {
		_ = d.peers.Datagram(from, kindLoadSum, d.sum.get(now, func() []byte { return d.balancer.All().Marshal() }))
	}
}
