package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// Config says what to run.
type Config struct {
	Nodes          int
	NodesPerZone   int
	ZonesPerRegion int
	EnginesPerNode float64
	// RequestsPerNode is the rate of made-up online requests at each node, a second.
	RequestsPerNode float64
	WarmUp          time.Duration
	Measured        time.Duration
}

// The target size: 490 nodes and 5,700 engines in 13 zones and 6 regions, with
// 61,000 requests a second.
const (
	TargetNodes           = 490
	TargetNodesPerZone    = 38
	TargetZonesPerRegion  = 2
	TargetEnginesPerNode  = 5700.0 / TargetNodes
	TargetRequestsPerNode = 61000.0 / TargetNodes
)

func (c Config) zones() int { return (c.Nodes + c.NodesPerZone - 1) / c.NodesPerZone }

func (c Config) place(index int) (zone, region string) {
	number := index % c.zones()
	return fmt.Sprintf("zone-%02d", number), fmt.Sprintf("region-%d", number/c.ZonesPerRegion)
}

// Result is what a run measured.
type Result struct {
	Nodes   int `json:"nodes"`
	Zones   int `json:"zones"`
	Engines int `json:"engines"`
	// Bytes a second on the wire, sent and received, at the average node and
	// at the one with the most. Polls of engines are not in them.
	MembershipBytes float64 `json:"membership_bytes_per_second"`
	FleetBytes      float64 `json:"fleet_bytes_per_second"`
	MostBytes       float64 `json:"most_bytes_per_second"`
	PollsPerSecond  float64 `json:"polls_per_second"`
	// CorePercent is the processor time a node, in hundredths of a core.
	CorePercent float64 `json:"core_percent"`
	// HeapBytes and Goroutines a node.
	HeapBytes    float64 `json:"heap_bytes"`
	Goroutines   float64 `json:"goroutines"`
	StoreReaders int64   `json:"store_readers"`
	// Ready is the time until every node had its zone's engines, and
	// MembersKnown until it knew all members, from the first node's start on.
	Ready        time.Duration `json:"ready"`
	MembersKnown time.Duration `json:"members_known"`
	// DeathKnown and LeavingKnown are the times until a node's death was known
	// at every node of its zone, and an engine's leaving at every node.
	DeathKnown   time.Duration `json:"death_known"`
	LeavingKnown time.Duration `json:"leaving_known"`
	// Suspicions counts members suspected while all were alive.
	Suspicions uint64 `json:"suspicions"`
}

// fleetRun is a running fleet.
type fleetRun struct {
	config Config
	keys   *transport.Keyring
	store  *store
	made   map[string]*madeEngine // by address
	nodes  []*node
}

// Run starts the fleet, measures it and stops it.
func Run(ctx context.Context, config Config) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &fleetRun{config: config, made: map[string]*madeEngine{}}
	if err := run.prepare(); err != nil {
		return Result{}, err
	}
	heapBefore, routinesBefore := heapInUse(), runtime.NumGoroutine()
	defer run.stopAll()
	began := time.Now()
	if err := run.start(ctx); err != nil {
		return Result{}, err
	}
	result := Result{Nodes: config.Nodes, Zones: config.zones(), Engines: len(run.made)}
	if err := run.await(ctx, config.WarmUp, run.allReady); err != nil {
		return result, trace.Wrap(err, "waiting for the engines' lists")
	}
	result.Ready = time.Since(began)
	if err := run.await(ctx, config.WarmUp, run.allMembersKnown); err != nil {
		return result, trace.Wrap(err, "waiting for the members")
	}
	result.MembersKnown = time.Since(began)
	run.measure(ctx, &result)
	nodes := float64(config.Nodes)
	result.HeapBytes = float64(heapInUse()-heapBefore) / nodes
	result.Goroutines = float64(runtime.NumGoroutine()-routinesBefore) / nodes
	result.StoreReaders = run.store.mostSeen.Load()
	return result, run.bringAboutFaults(ctx, &result)
}

func (f *fleetRun) prepare() error {
	keys, err := transport.NewKeyring([]byte("hollow fleet's shared key, 32 bytes or more"))
	if err != nil {
		return trace.Wrap(err, "keyring")
	}
	f.keys = keys
	count := int(float64(f.config.Nodes)*f.config.EnginesPerNode + 0.5)
	specs := make([]fleet.Spec, 0, count)
	for index := range count {
		zone, region := f.config.place(index)
		spec := fleet.Spec{
			Name: fmt.Sprintf("engine-%04d", index), Address: fmt.Sprintf("10.0.%d.%d:8000", index/250, index%250),
			Zone: zone, Region: region, Models: []string{fmt.Sprintf("model-%d", index%3)},
		}
		specs = append(specs, spec)
		f.made[spec.Address] = &madeEngine{models: spec.Models}
	}
	f.store, err = newStore(specs)
	return err
}

// startGap is the time between two starts: at once, the fleet's start would be
// a measurement of this machine.
const startGap = 40 * time.Millisecond

// seedCount is the number of first nodes through which the others join.
const seedCount = 3

func (f *fleetRun) start(ctx context.Context) error {
	var seeds []transport.Address
	for index := range f.config.Nodes {
		one, err := f.startNode(ctx, index, seeds)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, one)
		time.Sleep(startGap)
		if len(seeds) < seedCount {
			seeds = append(seeds, one.meter.transport.Address())
		}
	}
	return nil
}

func (f *fleetRun) stopAll() {
	var all sync.WaitGroup
	for _, one := range f.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			one.stop()
		}()
	}
	all.Wait()
}

// allReady says whether every node has its zone's engines.
func (f *fleetRun) allReady() bool {
	for _, one := range f.nodes {
		if !one.engines.Ready() {
			return false
		}
	}
	return true
}

// allMembersKnown says whether every node knows all members to be alive.
func (f *fleetRun) allMembersKnown() bool {
	for _, one := range f.nodes {
		live := 0
		for _, member := range one.members.View().Members {
			if member.Live() {
				live++
			}
		}
		if live != f.config.Nodes {
			return false
		}
	}
	return true
}

// pollPeriod is how often a condition is looked at.
const pollPeriod = 20 * time.Millisecond

func (f *fleetRun) await(ctx context.Context, limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return trace.LimitExceeded("not within %v", limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
	return nil
}

// settleTime lets the start's messages end before the measurement.
const settleTime = 12 * time.Second

// measure counts bytes and processor time over the measured period.
func (f *fleetRun) measure(ctx context.Context, result *Result) {
	traffic, stopTraffic := context.WithCancel(ctx)
	var requests sync.WaitGroup
	requests.Add(1)
	go func() {
		defer requests.Done()
		f.requests(traffic)
	}()
	time.Sleep(settleTime)
	before, cpuBefore, pollsBefore, suspicionsBefore := f.counts(), processorTime(), f.polls(), f.suspicions()
	began := time.Now()
	time.Sleep(f.config.Measured)
	seconds := time.Since(began).Seconds()
	nodes := float64(f.config.Nodes)
	after := f.counts()
	for index := range after {
		membershipBytes := float64(after[index][concernMembership]-before[index][concernMembership]) / seconds
		fleetBytes := float64(after[index][concernFleet]-before[index][concernFleet]) / seconds
		result.MembershipBytes += membershipBytes / nodes
		result.FleetBytes += fleetBytes / nodes
		result.MostBytes = max(result.MostBytes, membershipBytes+fleetBytes)
	}
	result.CorePercent = (processorTime() - cpuBefore).Seconds() / seconds / nodes * 100
	result.PollsPerSecond = float64(f.polls()-pollsBefore) / seconds / nodes
	result.Suspicions = f.suspicions() - suspicionsBefore
	stopTraffic()
	requests.Wait()
}

func (f *fleetRun) counts() [][2]int64 {
	counts := make([][2]int64, len(f.nodes))
	for index, one := range f.nodes {
		for concern := range counts[index] {
			counts[index][concern] = one.meter.sent[concern].Load() + one.meter.received[concern].Load()
		}
	}
	return counts
}

func (f *fleetRun) polls() int64 {
	var polls int64
	for _, one := range f.made {
		polls += one.polls.Load()
	}
	return polls
}

func (f *fleetRun) suspicions() uint64 {
	var suspicions uint64
	for _, one := range f.nodes {
		suspicions += one.members.Statistics().Suspicions
	}
	return suspicions
}

// requestPeriod is how often made-up requests are issued.
const requestPeriod = 50 * time.Millisecond

// requests makes online requests up: each node starts and ends its share at
// random engines of its snapshot.
func (f *fleetRun) requests(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 2))
	ticker := time.NewTicker(requestPeriod)
	defer ticker.Stop()
	share, number := 0.0, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		share += f.config.RequestsPerNode * requestPeriod.Seconds()
		whole := int(share)
		share -= float64(whole)
		for _, one := range f.nodes {
			endpoints := one.engines.Snapshot().Endpoints
			for range whole {
				if len(endpoints) == 0 {
					continue
				}
				number++
				endpoint := endpoints[random.IntN(len(endpoints))]
				id := fmt.Sprintf("request-%d", number)
				one.engines.OnlineStarted(endpoint, id, 100)
				time.AfterFunc(time.Second, func() { one.engines.OnlineFinished(endpoint, id) })
			}
		}
	}
}

// faultLimit bounds the wait for a fault to be known.
const faultLimit = 15 * time.Second

// bringAboutFaults drains an engine and stops a node, and measures how soon
// that is known.
func (f *fleetRun) bringAboutFaults(ctx context.Context, result *Result) error {
	addresses := make([]string, 0, len(f.made))
	for address := range f.made {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	victim := addresses[len(addresses)/2]
	began := time.Now()
	f.made[victim].draining.Store(true)
	if err := f.await(ctx, faultLimit, func() bool { return !f.used(victim) }); err != nil {
		return trace.Wrap(err, "an engine's leaving")
	}
	result.LeavingKnown = time.Since(began)

	stopped := f.nodes[len(f.nodes)-1]
	f.nodes = f.nodes[:len(f.nodes)-1]
	self := stopped.members.Self()
	began = time.Now()
	stopped.stop()
	if err := f.await(ctx, faultLimit, func() bool { return f.knownDead(self) }); err != nil {
		return trace.Wrap(err, "a node's death")
	}
	result.DeathKnown = time.Since(began)
	return nil
}

func (f *fleetRun) used(address string) bool {
	for _, one := range f.nodes {
		for _, endpoint := range one.engines.Snapshot().Endpoints {
			if endpoint.Address == address && !endpoint.Leaving {
				return true
			}
		}
	}
	return false
}

func (f *fleetRun) knownDead(dead membership.Member) bool {
	for _, one := range f.nodes {
		if one.members.Self().Zone != dead.Zone {
			continue
		}
		if member, known := one.members.View().Member(dead.Name); known && member.State != membership.StateDead {
			return false
		}
	}
	return true
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// processorTime is the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
