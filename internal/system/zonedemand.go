package system

import (
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/loadshare"
	"chutelock.dev/chutelock/internal/transport"
)

// demandReporter sends a front node's demand to its relay and records that of all zones.
type demandReporter struct {
	balancer *balance.Balancer
	sender   transport.Sender

	mutex  sync.Mutex // guards sentAt; a leaf
	sentAt time.Time
}

// sendToRelay sends the demand, at most once in a ReportInterval.
func (r *demandReporter) sendToRelay(to transport.Address) {
	now := clock.Now()
	r.mutex.Lock()
	due := now.Sub(r.sentAt) >= loadshare.ReportInterval
	if due {
		r.sentAt = now
	}
	r.mutex.Unlock()
	if !due {
		return
	}
	if own := r.balancer.OwnDemand(); len(own) > 0 {
		_ = r.sender.Datagram(to, kindZoneDemand, own.Marshal(false))
	}
}

func (r *demandReporter) handle(from transport.Address, payload []byte) {
	total, fromData, err := balance.UnmarshalDemand(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	if fromData {
		r.balancer.SetDemand(total)
	}
}

// demandRelay sums at a data node the demand of front nodes and tells it to data nodes and
// front nodes.
type demandRelay struct {
	sender transport.Sender

	mutex    sync.Mutex // guards exchange; a leaf
	exchange *balance.DemandExchange
}

func newDemandRelay(sender transport.Sender) *demandRelay {
	return &demandRelay{sender: sender, exchange: balance.NewDemandExchange()}
}

func (r *demandRelay) handle(from transport.Address, payload []byte) {
	demand, fromData, err := balance.UnmarshalDemand(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.exchange.Receive(string(from), demand, fromData, clock.Now())
}

// sendToData sends the demand of this node's front nodes to another data node.
func (r *demandRelay) sendToData(to transport.Address) {
	r.mutex.Lock()
	share := r.exchange.Share(clock.Now())
	r.mutex.Unlock()
	r.send(to, share)
}

// sendToFront sends a front node the demand for services that can't serve all requests.
func (r *demandRelay) sendToFront(to transport.Address) {
	r.mutex.Lock()
	total := r.exchange.Total(clock.Now())
	r.mutex.Unlock()
	r.send(to, total.Short())
}

func (r *demandRelay) send(to transport.Address, demand balance.Demand) {
	if len(demand) > 0 {
		_ = r.sender.Datagram(to, kindZoneDemand, demand.Marshal(true))
	}
}
