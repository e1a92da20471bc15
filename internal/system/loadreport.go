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

// Datagrams about load and quotas; see packages loadshare and quota.
const (
	kindLoadReport   transport.Kind = transport.KindLoad + iota // a front node's balance.Report
	kindLoadSum                                                 // loadshare.Sum
	kindLoadShare                                               // loadshare.Share
	kindLoadQuery                                               // a front node's balance.Report; answered at once
	kindQuotaReport                                             // a front node's quota.Report; answered at once
	kindQuotaSum                                                // quota.Sum
	kindQuotaShare                                              // quota.Share
	kindEngineSpeeds                                            // enginespeed.Update; unknown to earlier versions, which ignore it
	kindQuotaMemory                                             // quota.Memory; unknown to earlier versions, which ignore it
)

const (
	// urgentInterval is the minimum time between two reports of a front node; one
	// that preempts batch items is not delayed until the next ReportInterval.
	urgentInterval = loadshare.UrgentInterval
	// responseInterval is the minimum time between two responses to a front node's
	// reports, and maxSumAge that between two encodings of the sum.
	responseInterval = loadshare.ReportInterval / 2
	maxSumAge        = loadshare.ReportInterval / 4
	// responseTimeout bounds how long a request waits for a sum or a permit. It is a
	// small part of a request's latency target.
	responseTimeout = 15 * time.Millisecond
	// settleTime is how long a new leader waits for load reports, so that data nodes
	// and front nodes learn of it and report.
	settleTime = 4 * loadshare.ReportInterval
	// maxTrackedPeers bounds the peers of a peerRateLimiter.
	maxTrackedPeers = 4096
	// idlePollInterval is how often a front node without requests checks whether quota
	// counts are due: several times in a quota window.
	idlePollInterval = time.Second
	// maxIdleReports is how many reports without requests a front node sends before
	// it stops reporting.
	maxIdleReports = 3
)

var (
	eventRelayChanged   = telemetry.Define(2110, "load-reported-to", "This front node now reports its load to another data node.")
	eventShareExpired   = telemetry.Define(2111, "load-share-lapsed", "Another data node sent no share of the load for too long; its last share is discarded.")
	eventMessageInvalid = telemetry.Define(2112, "load-message-unreadable", "A peer's datagram about load or quotas could not be decoded and is ignored.")
)

// reportLoad sends this front node's load to its relay: at each interval, and at
// once when a request preempts batch items.
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
		f.quota.reportIfDue()
		own := f.balancer.OwnReport()
		if len(own) == 0 {
			idle++
		} else {
			idle = 0
		}
		if idle > maxIdleReports {
			if !f.sleepUntilActive() {
				return
			}
			idle = 0
			continue
		}
		f.sendReport(kindLoadReport, own)
		if !f.sleep(urgentInterval) {
			return
		}
	}
}

// sendReport sends a report to the relay and returns a channel that is closed when
// the next sum arrives; nil if no data node is known.
func (f *front) sendReport(kind transport.Kind, own balance.Report) <-chan struct{} {
	leader, _ := f.ledger.Leader(0)
	nodes := f.agent.Nodes()
	f.pickerMutex.Lock()
	defer f.pickerMutex.Unlock()
	to, known := f.pickRelay(nodes, leader)
	if !known {
		return nil
	}
	f.lastReport = own
	f.speeds.sendToRelay(to)
	// An unsent report counts as lost: the picker detects the missing sum.
	_ = f.peers.Datagram(to, kind, own.Marshal())
	return f.sumReceived
}

// pickRelay chooses the data node to report to; the caller holds pickerMutex.
func (f *front) pickRelay(nodes []mirror.Node, leader transport.Address) (transport.Address, bool) {
	to, known := f.receiverPicker.Pick(nodes, leader, clock.Now())
	if known && to != f.relay {
		f.relay = to
		eventRelayChanged.Info("peer", to, "leads", to == leader)
	}
	return to, known
}

// currentRelay returns the data node to report to, and chooses one if there is none.
func (f *front) currentRelay() (transport.Address, bool) {
	leader, _ := f.ledger.Leader(0)
	nodes := f.agent.Nodes()
	f.pickerMutex.Lock()
	defer f.pickerMutex.Unlock()
	if f.relay != "" {
		return f.relay, true
	}
	return f.pickRelay(nodes, leader)
}

// refreshLoad gets the current sum before an engine is chosen. With sums as old as
// ReportInterval, many front nodes would choose the same least loaded engine.
func (f *front) refreshLoad(ctx context.Context) {
	received := f.sendReport(kindLoadQuery, f.balancer.OwnReport())
	if received == nil {
		return
	}
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	select {
	case <-received:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sleepUntilActive sends only due quota counts until an engine is chosen for a request;
// it reports whether the node is still running.
func (f *front) sleepUntilActive() bool {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return false
		case <-f.engineChosen:
			return true
		case <-ticker.C:
			f.quota.reportIfDue()
		}
	}
}

// reportEngineChosen reports the load right after an engine was chosen for a request,
// so that the sums of other nodes include it.
func (f *front) reportEngineChosen() {
	select {
	case f.engineChosen <- struct{}{}:
	default:
	}
	f.sendReport(kindLoadReport, f.balancer.OwnReport())
}

// handleLoadSum updates the load of all other nodes and wakes the requests that wait for it.
func (f *front) handleLoadSum(from transport.Address, payload []byte) {
	sum, err := loadshare.UnmarshalSum(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	f.pickerMutex.Lock()
	defer f.pickerMutex.Unlock()
	if f.receiverPicker.ReceiveSum(from, sum, clock.Now()) {
		f.loadShare = loadShare(f.lastReport, sum)
		f.balancer.SetPeerLoad("others", sum.Load.Without(f.lastReport))
	}
	close(f.sumReceived)
	f.sumReceived = make(chan struct{})
}
