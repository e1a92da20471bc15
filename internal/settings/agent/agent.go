package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/cache"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/settings/tree"
	"chutelock.dev/chutelock/internal/transport"
)

// Message kinds of settings dissemination.
const (
	KindDelta  = transport.KindSettings + 1 // one-way
	KindDigest = transport.KindSettings + 2 // datagram
	KindPull   = transport.KindSettings + 3 // call
	KindReport = transport.KindSettings + 4 // datagram
	KindZone   = transport.KindSettings + 5 // datagram: a report on one zone
	KindZones  = transport.KindSettings + 6 // call: the status of all zones
)

const (
	inputQueueSize = 1024 // inputs queued for the run loop
	callWorkers    = 4
	callTimeout    = 2 * time.Second
	readTimeout    = 8 * time.Second // for a store probe or listing
	// minNoticeInterval is the minimum time between two events for the same notice.
	minNoticeInterval = 30 * time.Second
)

// Config configures an Agent.
type Config struct {
	Members  membership.Source
	Sender   transport.Sender
	Receiver transport.Receiver
	Store    platform.Store
	// Folder is the directory of the disk cache; empty disables the cache.
	Folder string
	// Seed seeds the random choice of gossip peers; 0 derives it from the clock.
	Seed uint64
	// Protocol sets the state machine's timing; New sets its Self and Seed.
	Protocol dissemination.Config
	Registry prometheus.Registerer
}

// Agent maintains a node's settings. It implements settings.Source. All exported
// methods but Run are safe for concurrent use; Run is called once.
type Agent struct {
	config  Config
	live    *tree.Live
	cache   *cache.Cache
	inputs  chan func(now time.Time)
	calls   pond.Pool
	metrics *metrics
	// version is the version in force plus one; 0 means no version yet.
	version atomic.Uint64

	// The fields below are accessed only by the run loop, except ctx, which Run
	// sets, and stopped, which is closed when Run ends: other goroutines read
	// both.
	machine      *dissemination.Machine
	view         *membership.View
	cancelWatch  context.CancelFunc
	lastNotified map[dissemination.Notice]time.Time
	stale        bool
	ctx          context.Context
	stopped      chan struct{}
}

var _ settings.Source = (*Agent)(nil)

// New returns an agent with its disk cache open and its message handlers
// registered. Run starts it.
func New(config Config) (*Agent, error) {
	if config.Seed == 0 {
		config.Seed = uint64(time.Now().UnixNano())
	}
	agent := &Agent{
		config:       config,
		live:         tree.NewLive(),
		inputs:       make(chan func(time.Time), inputQueueSize),
		calls:        pond.NewPool(callWorkers),
		metrics:      newMetrics(config.Registry),
		lastNotified: make(map[dissemination.Notice]time.Time),
		stopped:      make(chan struct{}),
	}
	restored, err := agent.openCache()
	if err != nil {
		return nil, err
	}
	config.Protocol.Self, config.Protocol.Seed = config.Members.Self(), config.Seed
	agent.machine = dissemination.New(config.Protocol, time.Now(), restored)
	agent.register()
	return agent, nil
}

// openCache opens the disk cache and loads its state. An unreadable cache
// doesn't prevent startup: peers and the store also hold the settings.
func (a *Agent) openCache() (*dissemination.State, error) {
	if a.config.Folder == "" {
		return nil, nil
	}
	opened, err := cache.Open(a.config.Folder, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a.cache = opened
	restored, err := opened.Load()
	if err != nil {
		eventCacheFailed.Error(err, "step", "load", "folder", a.config.Folder)
		return nil, nil
	}
	return restored, nil
}

// Current implements settings.Source.
func (a *Agent) Current() *settings.Snapshot { return a.live.Current() }

// Tree returns the settings tree in force.
func (a *Agent) Tree() *tree.Live { return a.live }

// Version returns the version in force, or false if there is none yet.
func (a *Agent) Version() (settings.Version, bool) {
	version := a.version.Load()
	if version == 0 {
		return 0, false
	}
	return settings.Version(version - 1), true
}

// Run runs the agent until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	ticker := time.NewTicker(dissemination.TickInterval)
	defer ticker.Stop()
	defer a.close()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.tick(now)
		case input := <-a.inputs:
			input(time.Now())
		}
	}
}

func (a *Agent) close() {
	close(a.stopped)
	a.endWatch()
	a.calls.Stop()
	if a.cache == nil {
		return
	}
	if err := a.cache.Close(); err != nil {
		eventCacheFailed.Error(err, "step", "close")
	}
}

func (a *Agent) tick(now time.Time) {
	if view := a.config.Members.View(); view != a.view {
		a.view = view
		a.execute(a.machine.SetView(now, view))
	}
	a.execute(a.machine.Tick(now))
	a.logStaleness(now)
	a.metrics.recordState(a.machine, now)
}

// logStaleness logs transitions between stale settings and settings confirmed
// to be the newest.
func (a *Agent) logStaleness(now time.Time) {
	_, published := a.machine.InForce()
	stale := published && a.machine.Stale(now)
	if stale == a.stale {
		return
	}
	a.stale = stale
	version, _ := a.machine.InForce()
	if stale {
		eventStale.Info("inForce", version)
		return
	}
	eventFresh.Info("inForce", version)
}

// execute performs the state machine's actions in order.
func (a *Agent) execute(actions []dissemination.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dissemination.Persist:
			a.persist(action)
		case dissemination.Publish:
			a.publish(action)
		case dissemination.Notify:
			a.notify(action)
		case dissemination.ProbeStore:
			a.probeStore(action)
		case dissemination.ListStore:
			a.listStore(action)
		case dissemination.WatchStore:
			a.watchStore(action)
		case dissemination.StopWatch:
			a.endWatch()
		default:
			a.send(action)
		}
	}
}

func (a *Agent) persist(action dissemination.Persist) {
	if a.cache == nil {
		return
	}
	if err := a.cache.Write(action.Version, action.Changes, action.Replace); err != nil {
		eventCacheFailed.Error(err, "step", "write", "version", action.Version)
	}
}

func (a *Agent) publish(action dissemination.Publish) {
	updates := make([]tree.Update, 0, len(action.Changes))
	for _, entry := range action.Changes {
		switch {
		case entry.Name == tree.EpochObject:
		case entry.Deleted:
			updates = append(updates, tree.Update{Path: tree.PathOf(entry.Name)})
		default:
			updates = append(updates, tree.UpdateOf(tree.PathOf(entry.Name), entry.Revision, entry.Spec))
		}
	}
	if action.Replace {
		a.live.Replace(action.Version, updates)
		eventFirstSettings.Info("version", action.Version, "nodes", len(updates))
	} else {
		a.live.Apply(action.Version, updates)
	}
	a.version.Store(uint64(action.Version) + 1)
	a.metrics.recordPublish(action)
	if a.live.HasProblems() {
		eventProblems.Info("version", action.Version, "problems", len(a.live.Problems()))
	}
}

// notify logs a notice, at most once per minNoticeInterval and kind.
func (a *Agent) notify(action dissemination.Notify) {
	now := time.Now()
	if now.Sub(a.lastNotified[action.Notice]) < minNoticeInterval {
		return
	}
	a.lastNotified[action.Notice] = now
	noticeEvents[action.Notice].Info("object", action.Name, "inForce", action.InForce, "found", action.Found)
}

// enqueue queues an input for the run loop and blocks while the queue is full.
func (a *Agent) enqueue(input func(now time.Time)) {
	select {
	case a.inputs <- input:
	case <-a.stopped:
	}
}

// tryEnqueue queues an input for the run loop, or drops it if the queue is full.
func (a *Agent) tryEnqueue(input func(now time.Time)) {
	select {
	case a.inputs <- input:
	default:
		a.metrics.dropped.Inc()
	}
}

// runInLoop runs query in the run loop and waits for it to return.
func (a *Agent) runInLoop(ctx context.Context, query func(now time.Time)) error {
	done := make(chan struct{})
	input := func(now time.Time) {
		query(now)
		close(done)
	}
	select {
	case a.inputs <- input:
	case <-a.stopped:
		return trace.ConnectionProblem(nil, "the settings agent has stopped")
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-a.stopped:
		return trace.ConnectionProblem(nil, "the settings agent has stopped")
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}
