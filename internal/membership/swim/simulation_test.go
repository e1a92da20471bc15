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

// simulation runs many nodes in virtual time over a network with loss, delays and
// partitions. Loss does not affect sync calls, as TCP retransmits; partitions do.
type simulation struct {
	clock       *virtualtime.Clock
	start       time.Time
	random      *rand.Rand
	hosts       map[string]*host
	byAddr      map[transport.Address]*host
	loss        float64
	partitioned func(a, b *host) bool
	adjust      func(*Config)
	// dropWhilePaused drops messages to a paused host, as a full socket buffer
	// does. Otherwise they are delivered when the pause ends.
	dropWhilePaused bool
	bytes           map[string]uint64 // bytes sent by each host
	sent            uint64
}

// host runs at most one node at a time; generation counts the nodes started.
type host struct {
	name, zone, region string
	address            transport.Address
	node               *Node
	up                 bool
	generation         int
	pausedUntil        time.Time
	leaving            bool
}

// newSimulation starts perZone nodes in each zone. Each region has two zones.
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
			s.startHost(h)
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

func (s *simulation) startHost(h *host) {
	h.up, h.leaving, h.pausedUntil = true, false, time.Time{}
	h.generation++
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
	s.scheduleTick(h, h.generation, s.randomDuration(0, TickInterval))
}

// machineList returns the platform's machine list, which includes stopped hosts. It
// lets a node join whose seeds are all stopped.
func (s *simulation) machineList() []transport.Address {
	var addresses []transport.Address
	for _, name := range s.names() {
		addresses = append(addresses, s.hosts[name].address)
	}
	return addresses
}

func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) scheduleTick(h *host, generation int, delay time.Duration) {
	s.clock.After(delay, func() {
		if !h.up || h.generation != generation {
			return
		}
		if s.clock.Now().Before(h.pausedUntil) {
			s.scheduleTick(h, generation, h.pausedUntil.Sub(s.clock.Now())+time.Millisecond)
			return
		}
		s.send(h, h.node.Tick(s.clock.Now()))
		s.scheduleTick(h, generation, TickInterval)
	})
}

func (s *simulation) connected(a, b *host) bool { return s.partitioned == nil || !s.partitioned(a, b) }

func (s *simulation) delay(a, b *host) time.Duration {
	if a.zone == b.zone {
		return s.randomDuration(500*time.Microsecond, 3*time.Millisecond)
	}
	return s.randomDuration(time.Millisecond, 40*time.Millisecond)
}

// deliver calls run after the delay, and after a pause unless dropWhilePaused is
// set. It does nothing if the host was stopped or restarted.
func (s *simulation) deliver(h *host, generation int, delay time.Duration, run func()) {
	s.clock.After(delay, func() {
		if !h.up || h.generation != generation {
			return
		}
		if s.clock.Now().Before(h.pausedUntil) {
			if s.dropWhilePaused {
				return
			}
			s.deliver(h, generation, h.pausedUntil.Sub(s.clock.Now()), run)
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
		if !exists || !s.connected(from, to) {
			continue
		}
		if output.Call {
			s.call(from, to, output.Payload)
			continue
		}
		if s.random.Float64() < s.loss {
			continue
		}
		s.deliver(to, to.generation, s.delay(from, to), func() {
			outputs, err := to.node.HandleDatagram(s.clock.Now(), from.address, output.Payload)
			if err != nil {
				panic(err)
			}
			s.send(to, outputs)
		})
	}
}

func (s *simulation) call(from, to *host, payload []byte) {
	generation := from.generation
	s.deliver(to, to.generation, s.delay(from, to), func() {
		answer, outputs, err := to.node.HandleSync(s.clock.Now(), payload)
		if err != nil {
			panic(err)
		}
		s.send(to, outputs)
		if !s.connected(to, from) {
			return
		}
		s.deliver(from, generation, s.delay(to, from), func() {
			outputs, err := from.node.HandleSyncAnswer(s.clock.Now(), answer)
			if err != nil {
				panic(err)
			}
			s.send(from, outputs)
		})
	})
}

// run advances virtual time.
func (s *simulation) run(duration time.Duration) { s.clock.Run(duration) }

// observedState returns the state of subject in the observer's table and whether it
// is known.
func (s *simulation) observedState(observer, subject *host) (membership.State, bool) {
	if known, exists := observer.node.table.entries[subject.name]; exists {
		return known.member.State, true
	}
	return membership.StateDead, false
}

// checkViews returns an error for the first view that differs from the actual state:
// running nodes must be alive or leaving, stopped ones dead or unknown. Zones without
// a running node are not checked.
func (s *simulation) checkViews() error {
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
			state, _ := s.observedState(observer, subject)
			wanted := membership.StateDead
			if subject.up {
				wanted = membership.StateAlive
				if subject.leaving {
					wanted = membership.StateLeaving
				}
			}
			if state != wanted {
				return fmt.Errorf("after %v: %s has %s as %v, want %v",
					s.clock.Now().Sub(s.start), observerName, subjectName, state, wanted)
			}
		}
	}
	return nil
}

func (s *simulation) sumStatistics(pick func(Statistics) uint64) uint64 {
	var sum uint64
	for _, h := range s.hosts {
		sum += pick(h.node.Statistics())
	}
	return sum
}
