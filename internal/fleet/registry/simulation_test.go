package registry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/lab/virtualtime"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// simulation runs many registries in virtual time. Membership views come from
// the true state, after a delay like that of package swim.
type simulation struct {
	clock   *virtualtime.Clock
	random  *rand.Rand
	hosts   map[string]*host
	byAddr  map[transport.Address]*host
	engines map[string]*fakeEngine
	names   []string // of hosts, in order

	revision    uint64
	storeDown   bool
	loss        float64
	partitioned func(a, b *host) bool
	// dropWhilePaused makes a paused host lose what is sent to it.
	dropWhilePaused bool
	viewLag         time.Duration
	// listLag is the age of the machine list that readers receive.
	listLag time.Duration

	sent, received map[string]float64 // bytes on the wire by host
}

type host struct {
	member       membership.Member
	registry     *Registry
	up           bool
	incarnation  int
	pausedUntil  time.Time
	started      time.Time
	snapshot     *fleet.Snapshot
	homes        map[string]bool // according to home events
	online       int             // online requests according to home events
	readRevision uint64
}

type fakeEngine struct {
	spec     fleet.Spec
	up       bool
	silent   bool
	draining bool
	leaving  bool // on the machine list; listedAt is the time it was put there
	listedAt time.Time
	running  int
}

const (
	wireOverhead     = 28 + 3 + 16 // IP and UDP, the transport's header and MAC
	callOverhead     = 2 * (40 + 60)
	simulatedViewLag = 1500 * time.Millisecond
	joinLag          = 200 * time.Millisecond
)

func newSimulation(seed uint64, zones, nodes, engines int) *simulation {
	s := &simulation{
		clock:    virtualtime.New(time.Unix(1_000_000, 0)),
		random:   rand.New(rand.NewPCG(seed, 2)),
		hosts:    map[string]*host{},
		byAddr:   map[transport.Address]*host{},
		engines:  map[string]*fakeEngine{},
		revision: 1,
		viewLag:  simulatedViewLag,
		listLag:  5 * time.Second,
		sent:     map[string]float64{},
		received: map[string]float64{},
	}
	for zone := range zones {
		zoneName, region := fmt.Sprintf("zone-%02d", zone), fmt.Sprintf("region-%d", zone/2)
		for index := range engines {
			name := fmt.Sprintf("engine-%02d-%03d", zone, index)
			s.engines[name] = &fakeEngine{up: true, running: index % 30, spec: fleet.Spec{
				Name: name, Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+zone, index/250, index%250),
				Zone: zoneName, Region: region, Models: []string{"model-a", "model-b"}[:1+index%2],
			}}
		}
		for index := range nodes {
			h := &host{member: membership.Member{
				Name: fmt.Sprintf("node-%02d-%03d", zone, index), Zone: zoneName, Region: region,
				Address: transport.Address(fmt.Sprintf("10.%d.0.%d:7000", zone, index+1)),
			}}
			s.hosts[h.member.Name] = h
			s.byAddr[h.member.Address] = h
			s.names = append(s.names, h.member.Name)
		}
	}
	sort.Strings(s.names)
	for _, name := range s.names {
		s.boot(s.hosts[name])
	}
	return s
}

func (s *simulation) boot(h *host) {
	h.incarnation++
	h.up, h.pausedUntil, h.started, h.readRevision = true, time.Time{}, s.clock.Now(), 0
	h.homes, h.online = map[string]bool{}, 0
	h.registry = New(Config{Self: h.member, Seed: s.random.Uint64()}, s.clock.Now())
	h.snapshot = &fleet.Snapshot{}
	s.membersChanged()
	s.clock.After(joinLag, func() { // as if learned from a seed node
		s.execute(h, h.registry.SetView(s.clock.Now(), s.view()))
	})
	s.tickLater(h, h.incarnation, s.randomDuration(0, 50*time.Millisecond))
}

func (s *simulation) stop(h *host) {
	h.up = false
	s.membersChanged()
}

// membersChanged delivers the current view to all nodes after viewLag.
func (s *simulation) membersChanged() {
	s.clock.After(s.viewLag, func() {
		view := s.view()
		for _, name := range s.names {
			if h := s.hosts[name]; h.up {
				s.execute(h, h.registry.SetView(s.clock.Now(), view))
			}
		}
	})
}

func (s *simulation) view() *membership.View {
	view := &membership.View{}
	for _, name := range s.names {
		member := s.hosts[name].member
		if !s.hosts[name].up {
			member.State = membership.StateDead
		}
		view.Members = append(view.Members, member)
	}
	return view
}

func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) tickLater(h *host, incarnation int, delay time.Duration) {
	s.clock.After(delay, func() {
		if !h.up || h.incarnation != incarnation {
			return
		}
		if now := s.clock.Now(); now.Before(h.pausedUntil) {
			s.tickLater(h, incarnation, h.pausedUntil.Sub(now)+time.Millisecond)
			return
		}
		s.readStore(h)
		s.execute(h, h.registry.Tick(s.clock.Now()))
		s.tickLater(h, incarnation, 50*time.Millisecond)
	})
}

// readStore reads store and machine list on readers, like package tracker.
func (s *simulation) readStore(h *host) {
	now := s.clock.Now()
	if s.storeDown || now.Sub(h.started) < 2*time.Second {
		return
	}
	readers := membership.Elect(ReaderRole(h.member.Region), h.registry.view.LiveInRegion(h.member.Region), Readers)
	for rank, reader := range readers {
		if reader.Name != h.member.Name {
			continue
		}
		if h.readRevision != s.revision {
			h.readRevision = s.revision
			s.execute(h, h.registry.HandleStore(now, s.revision, s.specs()))
		}
		if rank == 0 && now.UnixMilli()%2000 < 50 {
			s.execute(h, h.registry.SetMachinesLeaving(now, s.leavingMachines()))
		}
	}
}

func (s *simulation) specs() []fleet.Spec {
	var specs []fleet.Spec
	for _, e := range s.engines {
		specs = append(specs, e.spec)
	}
	return specs
}

func (s *simulation) leavingMachines() []string {
	var names []string
	for name, e := range s.engines {
		if e.leaving && s.clock.Now().Sub(e.listedAt) >= s.listLag {
			names = append(names, name)
		}
	}
	return names
}

func (s *simulation) delay(a, b *host) time.Duration {
	if a.member.Zone == b.member.Zone {
		return s.randomDuration(500*time.Microsecond, 3*time.Millisecond)
	}
	return s.randomDuration(time.Millisecond, 40*time.Millisecond)
}

func (s *simulation) deliver(h *host, incarnation int, delay time.Duration, run func()) {
	s.clock.After(delay, func() {
		if !h.up || h.incarnation != incarnation {
			return
		}
		if now := s.clock.Now(); now.Before(h.pausedUntil) {
			if s.dropWhilePaused {
				return
			}
			s.deliver(h, incarnation, h.pausedUntil.Sub(now), run)
			return
		}
		run()
	})
}

func (s *simulation) connected(a, b *host) bool { return s.partitioned == nil || !s.partitioned(a, b) }

// execute carries out a registry's output.
func (s *simulation) execute(h *host, output Output) {
	for _, datagram := range output.Datagrams {
		s.datagram(h, datagram)
	}
	for _, pull := range output.Pulls {
		s.pull(h, pull)
	}
	for _, poll := range output.Polls {
		s.poll(h, poll.Endpoint)
	}
	for _, event := range output.HomeEvents {
		switch event.Kind {
		case fleet.HomeGained:
			h.homes[event.Endpoint.Name] = true
		case fleet.HomeLost:
			delete(h.homes, event.Endpoint.Name)
		case fleet.HomeOnlineStarted:
			h.online++
		case fleet.HomeOnlineFinished:
			h.online--
		}
	}
	if snapshot := h.registry.Snapshot(s.clock.Now()); snapshot != nil {
		h.snapshot = snapshot
	}
}

func (s *simulation) datagram(from *host, datagram Datagram) {
	size := float64(len(datagram.Payload) + wireOverhead)
	s.sent[from.member.Name] += size
	to, exists := s.byAddr[datagram.To]
	if !exists || !s.connected(from, to) || s.random.Float64() < s.loss {
		return
	}
	s.received[to.member.Name] += size
	s.deliver(to, to.incarnation, s.delay(from, to), func() {
		output, err := to.registry.HandleDatagram(s.clock.Now(), from.member.Address, datagram.Payload)
		if err != nil {
			panic(err)
		}
		s.execute(to, output)
	})
}

func (s *simulation) pull(from *host, pull Pull) {
	to, exists := s.byAddr[pull.To]
	if !exists || !s.connected(from, to) {
		return
	}
	incarnation := from.incarnation
	s.deliver(to, to.incarnation, s.delay(from, to), func() {
		answer, err := to.registry.HandlePull(s.clock.Now(), pull.Payload)
		if err != nil || !s.connected(to, from) {
			return
		}
		size := float64(len(answer) + callOverhead)
		s.sent[to.member.Name] += size
		s.received[from.member.Name] += size
		s.deliver(from, incarnation, s.delay(to, from), func() {
			output, err := from.registry.HandlePullAnswer(s.clock.Now(), pull.To, answer)
			if err != nil {
				panic(err)
			}
			s.execute(from, output)
		})
	})
}

var errTimeout = errors.New("deadline exceeded")

func (s *simulation) poll(h *host, endpoint *fleet.Endpoint) {
	incarnation := h.incarnation
	target := s.engines[endpoint.Name]
	if target == nil || target.silent {
		s.deliver(h, incarnation, 600*time.Millisecond, func() {
			s.execute(h, h.registry.HandleLoad(s.clock.Now(), endpoint.Name, engine.Load{}, errTimeout))
		})
		return
	}
	s.deliver(h, incarnation, s.randomDuration(time.Millisecond, 3*time.Millisecond), func() {
		now := s.clock.Now()
		if !target.up {
			s.execute(h, h.registry.HandleLoad(now, endpoint.Name, engine.Load{}, syscall.ECONNREFUSED))
			return
		}
		load := engine.Load{
			Running: target.running + s.random.IntN(5), Draining: target.draining, Models: target.spec.Models,
			StepTime: 20 * time.Millisecond, TokensPerStep: 30, FencingToken: 3,
		}
		s.execute(h, h.registry.HandleLoad(now, endpoint.Name, load, nil))
	})
}

func (s *simulation) run(duration time.Duration) { s.clock.Run(duration) }

// reportFailures makes each node's own traffic see the failed engines.
func (s *simulation) reportFailures() {
	for _, name := range s.names {
		h := s.hosts[name]
		for _, endpoint := range h.snapshot.Endpoints {
			if actual := s.engines[endpoint.Name]; h.up && !endpoint.Leaving && (actual.silent || !actual.up) {
				s.execute(h, h.registry.EngineFailed(s.clock.Now(), endpoint.Name))
			}
		}
	}
}

// unavailable reports whether the engine must get no new work.
func (e *fakeEngine) unavailable() bool { return !e.up || e.silent || e.draining || e.leaving }

// usable reports whether a node would send new work to an engine.
func (h *host) usable(name string) bool {
	for _, endpoint := range h.snapshot.Endpoints {
		if endpoint.Name == name {
			return !endpoint.Leaving
		}
	}
	return false
}

// checkViews returns an error for the first difference between a live node's
// view and the true state: all engines of its zone are known with the right
// leaving state and home, each engine has one home that knows of it, and no
// leaving engine of another zone is in the sample as available.
func (s *simulation) checkViews() error {
	view := s.view()
	homes := map[string]int{}
	for _, name := range s.names {
		h := s.hosts[name]
		if !h.up {
			continue
		}
		for engineName := range h.homes {
			homes[engineName]++
		}
		known := 0
		for _, endpoint := range h.snapshot.Endpoints {
			actual := s.engines[endpoint.Name]
			if actual == nil {
				return fmt.Errorf("%s knows %s, which is not listed", name, endpoint.Name)
			}
			own := endpoint.Zone == h.member.Zone
			if own {
				known++
			}
			if endpoint.Leaving != actual.unavailable() && (own || actual.unavailable()) {
				return fmt.Errorf("%s has %s leaving: %v, want %v (silent %v, up %v, draining %v, listed %v)", name,
					endpoint.Name, endpoint.Leaving, actual.unavailable(), actual.silent, actual.up, actual.draining, actual.leaving)
			}
			owner, _ := membership.Owner("engine/"+endpoint.Name, view.LiveInZone(endpoint.Zone))
			if own && endpoint.Home != owner.Name {
				return fmt.Errorf("%s has home of %s: %q, want %q", name, endpoint.Name, endpoint.Home, owner.Name)
			}
		}
		if wanted := s.enginesIn(h.member.Zone); known != wanted {
			return fmt.Errorf("%s knows %d engines of its zone, want %d (ready %v)", name, known, wanted, h.registry.Ready())
		}
	}
	for engineName, e := range s.engines {
		if count := homes[engineName]; count != min(len(view.LiveInZone(e.spec.Zone)), 1) {
			return fmt.Errorf("%s has %d homes", engineName, count)
		}
	}
	return nil
}

func (s *simulation) enginesIn(zone string) int {
	count := 0
	for _, e := range s.engines {
		if e.spec.Zone == zone {
			count++
		}
	}
	return count
}
