package system

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/loadshare"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Datagrams between nodes about load; see package loadshare.
const (
	kindLoadReport  transport.Kind = transport.KindLoad + iota // a front node's balance.Report
	kindLoadSum                                                // loadshare.Sum
	kindLoadShare                                              // loadshare.Share
	kindLoadAsk                                                // a balance.Report that is answered at once
	kindQuotaReport                                            // a front node's quota.Report; answered at once
	kindQuotaSum                                               // quota.Sum
	kindQuotaShare                                             // quota.Share
)

const (
	// urgentInterval is the least time between two reports of a front node: one
	// that has to take slots back from batch work doesn't wait for the next.
	urgentInterval = loadshare.UrgentInterval
	// answerInterval is the least time between two answers to a front node, and
	// sumInterval between two sums.
	answerInterval = loadshare.ReportInterval / 2
	sumInterval    = loadshare.ReportInterval / 4
	// askTimeout is how long a request waits for the newest sum. Within a zone an
	// answer takes a millisecond or two; it is little of a request's target.
	askTimeout = 15 * time.Millisecond
	// settleTime is how long a new leader waits for load reports: data nodes and
	// front nodes hear of it from their peers, and then within an interval.
	settleTime = 4 * loadshare.ReportInterval
	// pacesMost bounds the peers whose last answers are remembered.
	pacesMost = 4096
	// idleLook is the time between two looks of a front node without requests at whether
	// counts of limits are to be told: several within a window of the limits.
	idleLook = time.Second
	// idleReports is how many reports without work are sent before a front
	// node falls silent.
	idleReports = 3
)

var (
	eventReportsTo  = telemetry.Define(2110, "load-reported-to", "This front node reports its load to another data node from now on.")
	eventShareGone  = telemetry.Define(2111, "load-share-lapsed", "Another data node sent no share of the load for too long; what it said counts no more.")
	eventBadMessage = telemetry.Define(2112, "load-message-unreadable", "A peer's datagram about load could not be decoded and is passed over.")
)

// reportLoad sends this front node's load to a data node: at each interval, and
// at once when batch work has to make way for a request.
func (f *front) reportLoad() {
	ticker := time.NewTicker(loadshare.ReportInterval)
	defer ticker.Stop()
	idle := 0
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		case <-f.balancer.Preemptions():
		}
		f.limits.reportDue()
		own := f.balancer.Own()
		if len(own) == 0 {
			idle++
		} else {
			idle = 0
		}
		if idle > idleReports {
			if !f.awaitChoice() {
				return
			}
			idle = 0
			continue
		}
		f.sendReport(kindLoadReport, own)
		if !f.rest(urgentInterval) {
			return
		}
	}
}

// sendReport sends a report to the data node that takes them, and returns what
// closes with the next sum; nil if no data node is known.
func (f *front) sendReport(kind transport.Kind, own balance.Report) <-chan struct{} {
	leader, _ := f.ledger.Leader(0)
	nodes := f.agent.Nodes()
	f.choiceMutex.Lock()
	defer f.choiceMutex.Unlock()
	to, known := f.pick(nodes, leader)
	if !known {
		return nil
	}
	f.reported = own
	// A report that can't be sent is like a lost one: the choice notes that no
	// sum comes back.
	_ = f.peers.Datagram(to, kind, own.Marshal())
	return f.nextSum
}

// pick chooses the data node that takes reports; the caller holds choiceMutex.
func (f *front) pick(nodes []mirror.Node, leader transport.Address) (transport.Address, bool) {
	to, known := f.choice.Pick(nodes, leader, clock.Now())
	if known && to != f.reportsTo {
		f.reportsTo = to
		eventReportsTo.Info("peer", to, "leads", to == leader)
	}
	return to, known
}

// reportReceiver is the data node that takes reports, chosen if none is yet.
func (f *front) reportReceiver() (transport.Address, bool) {
	leader, _ := f.ledger.Leader(0)
	nodes := f.agent.Nodes()
	f.choiceMutex.Lock()
	defer f.choiceMutex.Unlock()
	if f.reportsTo != "" {
		return f.reportsTo, true
	}
	return f.pick(nodes, leader)
}

// refreshLoad gets the newest sum before an engine is chosen. By sums that are a
// report's interval old, many front nodes take the same engine for the idlest.
func (f *front) refreshLoad(ctx context.Context) {
	summed := f.sendReport(kindLoadAsk, f.balancer.Own())
	if summed == nil {
		return
	}
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case <-summed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitChoice waits until an engine is chosen for a request, or counts of limits are due
// to be told; false if the node stops. A front node without requests sleeps.
func (f *front) awaitChoice() bool {
	ticker := time.NewTicker(idleLook)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return false
		case <-f.chosen:
			return true
		case <-ticker.C:
			f.limits.reportDue()
		}
	}
}

// reportChoice tells of a request right after its engine was chosen, so that the
// next one that asks sees it there.
func (f *front) reportChoice() {
	select {
	case f.chosen <- struct{}{}:
	default:
	}
	f.sendReport(kindLoadReport, f.balancer.Own())
}

// takeLoadSum takes what all nodes have under way.
func (f *front) takeLoadSum(from transport.Address, payload []byte) {
	sum, err := loadshare.UnmarshalSum(payload)
	if err != nil {
		eventBadMessage.Error(err, "peer", from)
		return
	}
	f.choiceMutex.Lock()
	defer f.choiceMutex.Unlock()
	if f.choice.ReceiveSum(from, sum, clock.Now()) {
		f.balancer.PeerLoad("others", sum.Load.Without(f.reported))
	}
	close(f.nextSum)
	f.nextSum = make(chan struct{})
}
