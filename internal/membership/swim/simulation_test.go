package swim

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/lab/virtualtime"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// simulation runs many nodes in virtual time over a network that loses,
// delays and cuts. Calls are not lost, as TCP repeats, but cut links stop them.
type simulation struct {
	clock  *virtualtime.Clock
	start  time.Time
	random *rand.Rand
	hosts  map[string]*host
	byAddr map[transport.Address]*host
	loss   float64
	cut    func(a, b *host) bool
	adjust func(*Config)
	// forgetful: a paused host loses what is sent to it, as with a full
	// socket buffer; otherwise it gets all when it goes on.
	forgetful bool
	bytes     map[string]uint64 // sent, by host
	sent      uint64
}

// host is a machine with at most one process.
type host struct {
	name, zone, region string
	address            transport.Address
	node               *Node
	up                 bool
	life               int
	pausedUntil        time.Time
	leaving            bool
}

// newSimulation starts zones×perZone nodes; each region holds two zones.
func newSimulation(seed uint64, zones, perZone int, adjust func(*Config)) *simulation {
	s := &simulation{
		clock:  virtualtime.New(time.Unix(1_000_000, 0)),
		random: rand.New(rand.NewPCG(seed, 1)),
		hosts:  map[string]*host{},
		byAddr: map[transport.Address]*host{},
		adjust: adjust,
		bytes:  map[string]uint64{},
	}
	s.start = s.clock.Now()
	for zone := range zones {
		for index := range perZone {
			h := &host{
				name:    fmt.Sprintf("node-%d-%02d", zone, index),
				zone:    fmt.Sprintf("zone-%d", zone),
				region:  fmt.Sprintf("region-%d", zone/2),
				address: transport.Address(fmt.Sprintf("10.0.%d.%d:7000", zone, index+1)),
			}
			s.hosts[h.name] = h
			s.byAddr[h.address] = h
			s.boot(h)
		}
	}
	return s
}

func (s *simulation) names() []string {
	names := make([]string, 0, len(s.hosts))
	for name := range s.hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *simulation) boot(h *host) {
	h.up, h.leaving, h.pausedUntil = true, false, time.Time{}
	h.life++
	config := Config{
		Self: membership.Member{
			Name: h.name, Address: h.address, Zone: h.zone, Region: h.region,
			Incarnation: uint64(s.clock.Now().UnixMilli()),
		},
		Seeds: []transport.Address{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.1.1:7000"},
		Seed:  s.random.Uint64(),
	}
	if s.adjust != nil {
		s.adjust(&config)
	}
	h.node = New(config, s.clock.Now())
	h.node.SetContacts(s.machineList())
	s.tickLater(h, h.life, s.between(0, TickInterval))
}

// machineList is the platform's, which names stopped machines too. Without it
// a node whose seeds are all stopped could find nobody.
func (s *simulation) machineList() []transport.Address {
	var addresses []transport.Address
	for _, name := range s.names() {
		addresses = append(addresses, s.hosts[name].address)
	}
	return addresses
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) tickLater(h *host, life int, delay time.Duration) {
	s.clock.After(delay, func() {
		if !h.up || h.life != life {
			return
		}
		if s.clock.Now().Before(h.pausedUntil) {
			s.tickLater(h, life, h.pausedUntil.Sub(s.clock.Now())+time.Millisecond)
			return
		}
		s.send(h, h.node.Tick(s.clock.Now()))
		s.tickLater(h, life, TickInterval)
	})
}

func (s *simulation) linked(a, b *host) bool { return s.cut == nil || !s.cut(a, b) }

func (s *simulation) delay(a, b *host) time.Duration {
	if a.zone == b.zone {
		return s.between(500*time.Microsecond, 3*time.Millisecond)
	}
	return s.between(time.Millisecond, 40*time.Millisecond)
}

// deliver runs at a host that is up, as soon as it is not paused.
func (s *simulation) deliver(h *host, life int, delay time.Duration, run func()) {
	s.clock.After(delay, func() {
		if !h.up || h.life != life {
			return
		}
		if s.clock.Now().Before(h.pausedUntil) {
			if s.forgetful {
				return
			}
			s.deliver(h, life, h.pausedUntil.Sub(s.clock.Now()), run)
			return
		}
		run()
	})
}

func (s *simulation) send(from *host, outputs []Output) {
	for _, output := range outputs {
		s.bytes[from.name] += uint64(len(output.Payload))
		s.sent++
		to, exists := s.byAddr[output.To]
		if !exists || !s.linked(from, to) {
			continue
		}
		if output.Call {
			s.call(from, to, output.Payload)
			continue
		}
		if s.random.Float64() < s.loss {
			continue
		}
		s.deliver(to, to.life, s.delay(from, to), func() {
			outputs, err := to.node.HandleDatagram(s.clock.Now(), from.address, output.Payload)
			if err != nil {
				panic(err)
			}
			s.send(to, outputs)
		})
	}
}

func (s *simulation) call(from, to *host, payload []byte) {
	life := from.life
	s.deliver(to, to.life, s.delay(from, to), func() {
		answer, outputs, err := to.node.HandleSync(s.clock.Now(), payload)
		if err != nil {
			panic(err)
		}
		s.send(to, outputs)
		if !s.linked(to, from) {
			return
		}
		s.deliver(from, life, s.delay(to, from), func() {
			outputs, err := from.node.HandleSyncAnswer(s.clock.Now(), answer)
			if err != nil {
				panic(err)
			}
			s.send(from, outputs)
		})
	})
}

// run lets virtual time pass.
func (s *simulation) run(duration time.Duration) { s.clock.Run(duration) }

// believes returns what one host thinks of another.
func (s *simulation) believes(observer, subject *host) (membership.State, bool) {
	if known, exists := observer.node.table.entries[subject.name]; exists {
		return known.member.State, true
	}
	return membership.StateDead, false
}

// disagreement compares all views with the truth and tells the first fault:
// every live node must be alive, every stopped one dead or forgotten. Of a
// zone without a live node nobody can tell.
func (s *simulation) disagreement() error {
	liveZones := map[string]bool{}
	for _, h := range s.hosts {
		liveZones[h.zone] = liveZones[h.zone] || h.up
	}
	for _, observerName := range s.names() {
		observer := s.hosts[observerName]
		if !observer.up {
			continue
		}
		for _, subjectName := range s.names() {
			subject := s.hosts[subjectName]
			if subject == observer || !liveZones[subject.zone] {
				continue
			}
			state, _ := s.believes(observer, subject)
			wanted := membership.StateDead
			if subject.up {
				wanted = membership.StateAlive
				if subject.leaving {
					wanted = membership.StateLeaving
				}
			}
			if state != wanted {
				return fmt.Errorf("after %v %s believes %s %v, and it is %v",
					s.clock.Now().Sub(s.start), observerName, subjectName, state, wanted)
			}
		}
	}
	return nil
}

func (s *simulation) total(pick func(Statistics) uint64) uint64 {
	var sum uint64
	for _, h := range s.hosts {
		sum += pick(h.node.Statistics())
	}
	return sum
}
