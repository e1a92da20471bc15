package system

import (
	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/loadshare"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

// takeLoadReport takes a front node's report and answers it now and then.
func (d *data) takeLoadReport(from transport.Address, payload []byte) {
	if d.takeReport(from, payload) && d.answers.due(from, clock.Now()) {
		_ = d.peers.Datagram(from, kindLoadSum, d.sum.get(clock.Now(), d.loadSum))
	}
}

// takeLoadAsk takes a front node's report and answers it with the newest sum.
func (d *data) takeLoadAsk(from transport.Address, payload []byte) {
	if d.takeReport(from, payload) {
		_ = d.peers.Datagram(from, kindLoadSum, d.loadSum())
	}
}

func (d *data) takeReport(from transport.Address, payload []byte) bool {
	report, err := balance.UnmarshalReport(payload)
	if err != nil {
		eventBadMessage.Error(err, "peer", from)
		return false
	}
	d.exchangeMutex.Lock()
	d.exchange.Report(from, report, clock.Now())
	d.exchangeMutex.Unlock()
	d.takeLoad(from, report)
	return true
}

// takeLoadShare takes what another data node knows of front nodes, or runs.
func (d *data) takeLoadShare(from transport.Address, payload []byte) {
	share, err := loadshare.UnmarshalShare(payload)
	if err != nil {
		eventBadMessage.Error(err, "peer", from)
		return
	}
	d.exchangeMutex.Lock()
	d.exchange.Share(from, share, clock.Now())
	d.exchangeMutex.Unlock()
	d.takeLoad(from, share.Load)
}

// takeLoad counts a peer's load, and lets batch work make way for it.
func (d *data) takeLoad(from transport.Address, load balance.Report) {
	d.balancer.PeerLoad(string(from), load)
	d.yield()
	select {
	case d.shareDue <- struct{}{}:
	default:
	}
}

// loadSum encodes the answer to front nodes' reports.
func (d *data) loadSum() []byte {
	now := clock.Now()
	d.exchangeMutex.Lock()
	sum := loadshare.Sum{Fronts: d.exchange.Fronts(now), Complete: d.exchange.Complete(now)}
	d.exchangeMutex.Unlock()
	sum.Load = d.balancer.All()
	return sum.Marshal()
}

// shareLoad sends this data node's share to those who need it, whenever there is
// news of load.
func (d *data) shareLoad() {
	for {
		select {
		case <-d.stop:
			return
		case <-d.shareDue:
		}
		d.sendShares()
		if !d.rest(loadshare.UrgentInterval) {
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
	share := d.exchange.OwnShare(d.balancer.Own(), now)
	d.exchange.SetRegionLeaders(regional)
	receivers := d.exchange.Due(nodes, leader, urgent, now)
	lapsed := d.exchange.Lapsed(now)
	d.exchangeMutex.Unlock()
	for _, peer := range lapsed {
		d.balancer.PeerGone(string(peer))
		eventShareGone.Info("peer", peer)
	}
	if len(receivers) == 0 {
		return
	}
	encoded := share.Marshal()
	zones := zonesOf(nodes)
	for _, receiver := range receivers {
		// A share that can't be sent is like a lost one; the next is due soon.
		_ = d.peers.Datagram(receiver, kindLoadShare, encoded)
		d.quotas.share(receiver, zones[receiver])
	}
}

func zonesOf(nodes []mirror.Node) map[transport.Address]string {
	zones := make(map[transport.Address]string, len(nodes))
	for _, node := range nodes {
		zones[node.Address] = node.Zone
	}
	return zones
}
