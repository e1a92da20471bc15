package system

import (
	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/loadshare"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

// handleLoadReport records a front node's load and responds with the sum, at a bounded rate.
func (d *data) handleLoadReport(from transport.Address, payload []byte) {
	if d.receiveReport(from, payload) && d.responseLimiter.allow(from, clock.Now()) {
		d.speeds.sendToFront(from)
		_ = d.peers.Datagram(from, kindLoadSum, d.encodedSum.get(clock.Now(), d.loadSum))
	}
}

// handleLoadQuery records a front node's load and responds with the current sum.
func (d *data) handleLoadQuery(from transport.Address, payload []byte) {
	if d.receiveReport(from, payload) {
		d.speeds.sendToFront(from)
		_ = d.peers.Datagram(from, kindLoadSum, d.loadSum())
	}
}

func (d *data) receiveReport(from transport.Address, payload []byte) bool {
	report, err := balance.UnmarshalReport(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return false
	}
	d.exchangeMutex.Lock()
	d.exchange.Report(from, report, clock.Now())
	d.exchangeMutex.Unlock()
	d.updatePeerLoad(from, report)
	return true
}

// handleLoadShare records another data node's share: its own load and that of the
// front nodes that report to it.
func (d *data) handleLoadShare(from transport.Address, payload []byte) {
	share, err := loadshare.UnmarshalShare(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	d.exchangeMutex.Lock()
	d.exchange.Share(from, share, clock.Now())
	d.exchangeMutex.Unlock()
	d.updatePeerLoad(from, share.Load)
}

// updatePeerLoad records a peer's load and preempts batch items if necessary.
func (d *data) updatePeerLoad(from transport.Address, load balance.Report) {
	d.balancer.SetPeerLoad(string(from), load)
	d.yield()
	select {
	case d.shareDue <- struct{}{}:
	default:
	}
}

// loadSum returns the encoded response to front nodes' reports.
func (d *data) loadSum() []byte {
	now := clock.Now()
	d.exchangeMutex.Lock()
	sum := loadshare.Sum{Fronts: d.exchange.Fronts(now), Complete: d.exchange.Complete(now)}
	d.exchangeMutex.Unlock()
	sum.Load = d.balancer.TotalReport()
	return sum.Marshal()
}

// shareLoad sends this data node's share to its receivers whenever the load has
// changed.
func (d *data) shareLoad() {
	for {
		select {
		case <-d.stop:
			return
		case <-d.shareDue:
		}
		d.sendShares()
		if !d.sleep(loadshare.UrgentInterval) {
			return
		}
	}
}

func (d *data) sendShares() {
	now := clock.Now()
	nodes := d.agent.Nodes()
	leader, _ := d.ledger.Leader(0)
	urgent := d.balancer.AnyPreemptionNeeded()
	regional := d.regionLeaders()
	d.exchangeMutex.Lock()
	share := d.exchange.OwnShare(d.balancer.OwnReport(), now)
	d.exchange.SetRegionLeaders(regional)
	receivers := d.exchange.Due(nodes, leader, urgent, now)
	lapsed := d.exchange.Lapsed(now)
	d.exchangeMutex.Unlock()
	for _, peer := range lapsed {
		d.balancer.RemovePeer(string(peer))
		eventShareExpired.Info("peer", peer)
	}
	if len(receivers) == 0 {
		return
	}
	encoded := share.Marshal()
	zones := zonesOf(nodes)
	for _, receiver := range receivers {
		// An unsent share counts as lost; the next one follows soon.
		_ = d.peers.Datagram(receiver, kindLoadShare, encoded)
		d.quotas.sendShare(receiver, zones[receiver])
		d.speeds.sendToData(receiver)
	}
}

func zonesOf(nodes []mirror.Node) map[transport.Address]string {
	zones := make(map[transport.Address]string, len(nodes))
	for _, node := range nodes {
		zones[node.Address] = node.Zone
	}
	return zones
}
