package system

import (
	"sync"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/enginespeed"
	"chutelock.dev/chutelock/internal/transport"
)

// speedExchange sends what this node observed of engines' speeds beside its load messages:
// front nodes to their relay, relays to each other, and relays to their front nodes. Nothing
// is sent where choices don't follow the speeds. A lost datagram isn't repeated, as the next
// reports replace its content.
type speedExchange struct {
	balancer *balance.Balancer
	sender   transport.Sender

	mutex   sync.Mutex                   // guards cursors; acquired before the balancer's
	cursors map[transport.Address]uint64 // of what each peer was sent
}

func newSpeedExchange(balancer *balance.Balancer, sender transport.Sender) *speedExchange {
	return &speedExchange{balancer: balancer, sender: sender, cursors: map[transport.Address]uint64{}}
}

// sendToRelay sends a front node's own observations.
func (s *speedExchange) sendToRelay(to transport.Address) {
	s.send(to, false, func(source enginespeed.Source) bool { return source.Peer == "" })
}

// sendToFront sends a relay's observations to a front node, except those that it sent.
func (s *speedExchange) sendToFront(to transport.Address) {
	s.send(to, true, func(source enginespeed.Source) bool { return source.Peer != string(to) })
}

// sendToData sends a data node's own observations and those of its front nodes to another
// data node.
func (s *speedExchange) sendToData(to transport.Address) {
	s.send(to, true, func(source enginespeed.Source) bool { return !source.Relayed })
}

func (s *speedExchange) send(to transport.Address, relayed bool, include func(enginespeed.Source) bool) {
	if !s.balancer.FollowsSpeeds() {
		return
	}
	s.mutex.Lock()
	if len(s.cursors) > maxTrackedPeers {
		s.cursors = map[transport.Address]uint64{}
	}
	update, next := s.balancer.SpeedsSince(s.cursors[to], include)
	s.cursors[to] = next
	s.mutex.Unlock()
	if update.Empty() {
		return
	}
	update.Relayed = relayed
	_ = s.sender.Datagram(to, kindEngineSpeeds, update.Marshal())
}

// handle records a peer's observations.
func (s *speedExchange) handle(from transport.Address, payload []byte) {
	update, err := enginespeed.UnmarshalUpdate(payload)
	if err != nil {
		eventMessageInvalid.Error(err, "peer", from)
		return
	}
	s.balancer.ApplySpeeds(string(from), update)
}
