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

// Message kinds of settings.
const (
	KindDelta  = transport.KindSettings + 1 // one-way
	KindDigest = transport.KindSettings + 2 // datagram
	KindPull   = transport.KindSettings + 3 // call
	KindReport = transport.KindSettings + 4 // datagram
	KindZone   = transport.KindSettings + 5 // datagram
	KindZones  = transport.KindSettings + 6 // call
)

const (
	inputQueue  = 1024 // inputs that wait for the loop
	callWorkers = 4
	callTimeout = 2 * time.Second
	readTimeout = 8 * time.Second // of a probe or a listing
	// noticeInterval is the shortest pause between two events of one notice.
	noticeInterval = 30 * time.Second
)

// Config sets an Agent up.
type Config struct {
	Members  membership.Source
	Sender   transport.Sender
	Receiver transport.Receiver
	Store    platform.Store
	// Folder is where the disk cache lives; empty means no cache.
	Folder string
	// Seed feeds the choice of gossip partners; 0 takes one from the clock.
	Seed uint64
	// Protocol sets the machine's times; its Self and Seed are filled in.
	Protocol dissemination.Config
	Registry prometheus.Registerer
}

// Agent keeps a node's settings. It implements settings.Source; all methods
// may be called concurrently.
type Agent struct {
	config  Config
	live    *tree.Live
	cache   *cache.Cache
	inputs  chan func(now time.Time)
	calls   pond.Pool
	metrics *metrics
	// version is the version in force plus one; 0 before the first.
	version atomic.Uint64

	// The fields below belong to the loop.
	machine   *dissemination.Machine
	view      *membership.View
	stopWatch context.CancelFunc
	noticed   map[dissemination.Notice]time.Time
	stale     bool
	ctx       context.Context
	stopped   chan struct{}
}

var _ settings.Source = (*Agent)(nil)

// New opens the disk cache and registers the handlers; Run starts the agent.
func New(config Config) (*Agent, error) {
	if config.Seed == 0 {
		config.Seed = uint64(time.Now().UnixNano())
	}
	agent := &Agent{
		config:  config,
		live:    tree.NewLive(),
		inputs:  make(chan func(time.Time), inputQueue),
		calls:   pond.NewPool(callWorkers),
		metrics: newMetrics(config.Registry),
		noticed: make(map[dissemination.Notice]time.Time),
		stopped: make(chan struct{}),
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

// openCache restores what the disk holds. A cache that can't be read is no
// reason not to start: peers and the store have the settings.
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

// Tree is the tree in force.
func (a *Agent) Tree() *tree.Live { return a.live }

// Version is the version in force; false before the first.
func (a *Agent) Version() (settings.Version, bool) {
	version := a.version.Load()
	if version == 0 {
		return 0, false
	}
	return settings.Version(version - 1), true
}

// Run runs the agent until ctx ends.
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
	a.closeWatch()
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
		a.do(a.machine.SetView(now, view))
	}
	a.do(a.machine.Tick(now))
	a.noteFreshness(now)
	a.metrics.observe(a.machine, now)
}

// noteFreshness tells when the node loses or regains the certainty that its
// settings are the newest.
func (a *Agent) noteFreshness(now time.Time) {
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

// do executes the machine's actions in order.
func (a *Agent) do(actions []dissemination.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dissemination.Persist:
			a.persist(action)
		case dissemination.Publish:
			a.publish(action)
		case dissemination.Notify:
			a.notify(action)
		case dissemination.ProbeStore:
			a.probe(action)
		case dissemination.ListStore:
			a.list(action)
		case dissemination.WatchStore:
			a.watch(action)
		case dissemination.StopWatch:
			a.closeWatch()
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
		eventFirst.Info("version", action.Version, "nodes", len(updates))
	} else {
		a.live.Apply(action.Version, updates)
	}
	a.version.Store(uint64(action.Version) + 1)
	a.metrics.published(action)
	if a.live.Faulty() {
		eventProblems.Info("version", action.Version, "problems", len(a.live.Problems()))
	}
}

// notify writes an event; repeated ones of a kind are thinned out.
func (a *Agent) notify(action dissemination.Notify) {
	now := time.Now()
	if now.Sub(a.noticed[action.Notice]) < noticeInterval {
		return
	}
	a.noticed[action.Notice] = now
	noticeEvents[action.Notice].Info("object", action.Name, "inForce", action.InForce, "found", action.Found)
}

// enqueue hands an input to the loop; it waits while the queue is full.
func (a *Agent) enqueue(input func(now time.Time)) {
	select {
	case a.inputs <- input:
	case <-a.stopped:
	}
}

// offer hands an input to the loop, or drops it while the queue is full.
func (a *Agent) offer(input func(now time.Time)) {
	select {
	case a.inputs <- input:
	default:
		a.metrics.dropped.Inc()
	}
}

// ask runs a question in the loop and waits for it.
func (a *Agent) ask(ctx context.Context, question func(now time.Time)) error {
	done := make(chan struct{})
	input := func(now time.Time) {
		question(now)
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
