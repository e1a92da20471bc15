package tracker

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/fleet/registry"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/platform"
)

const (
	// electionGrace is the delay after a start before this node reads the
	// store, so that nodes that start together learn of each other first;
	// aloneGrace is the delay while it knows no other node of its region.
	electionGrace = 1500 * time.Millisecond
	aloneGrace    = 3 * time.Second
	// electionInterval is the maximum interval between elections; a changed
	// view triggers one at once.
	electionInterval = 500 * time.Millisecond
	// applyDelay batches the events of a watch into one change.
	applyDelay = 200 * time.Millisecond
	// machinesInterval is the minimum interval between reads of the machine
	// list. The interval grows with the list, assuming machinesBytes per
	// machine and machinesBudget bytes per second.
	machinesInterval = 2 * time.Second
	machinesBytes    = 100
	machinesBudget   = 4096
	maxBackoff       = 5 * time.Second
)

// reader reads the store's engines while this node is elected, as are at most
// registry.Readers nodes per region. The first of them also reads the machine
// list.
type reader struct {
	tracker       *Tracker
	started       time.Time
	next          time.Time        // time of the next election
	electedView   *membership.View // view of the last election
	running       atomic.Bool
	readsMachines atomic.Bool

	// cancel and done are used by the goroutine of Run only.
	cancel context.CancelFunc
	done   sync.WaitGroup

	// objects is used by the goroutine of readEngines only.
	objects map[string]fleet.Spec
}

// elect starts or stops reading by the election among the view's members.
func (r *reader) elect(ctx context.Context, now time.Time, view *membership.View) {
	if r.tracker.config.Store == nil || view == nil {
		return
	}
	if r.started.IsZero() {
		r.started = now
	}
	if view == r.electedView && now.Before(r.next) {
		return
	}
	r.electedView, r.next = view, now.Add(electionInterval)
	self := r.tracker.config.Registry.Self
	candidates := view.LiveInRegion(self.Region)
	grace := electionGrace
	if len(candidates) <= 1 {
		grace = aloneGrace
	}
	if now.Sub(r.started) < grace {
		return
	}
	elected := membership.Elect(registry.ReaderRole(self.Region), candidates, registry.Readers)
	chosen := false
	for rank, member := range elected {
		if member.Name == self.Name {
			chosen = true
			r.readsMachines.Store(rank == 0)
		}
	}
	switch {
	case chosen && r.cancel == nil:
		r.start(ctx)
	case !chosen && r.cancel != nil:
		r.stop()
		r.tracker.mutex.Lock()
		r.tracker.registry.StopReading()
		r.tracker.mutex.Unlock()
		eventReaderEnded.Info("region", self.Region)
	}
}

func (r *reader) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.running.Store(true)
	eventReaderBegan.Info("region", r.tracker.config.Registry.Self.Region)
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		r.readEngines(ctx)
	}()
	if r.tracker.config.Machines != nil {
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			r.readMachines(ctx)
		}()
	}
}

func (r *reader) stop() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	r.done.Wait()
	r.cancel = nil
	r.running.Store(false)
}

// readEngines lists and then watches the engines until ctx ends.
func (r *reader) readEngines(ctx context.Context) {
	waits := backoff.NewExponentialBackOff()
	waits.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		revision, err := r.list(ctx)
		if err == nil {
			waits.Reset()
			err = r.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil && !errors.Is(err, platform.ErrCompacted) {
			eventStoreFailed.Error(err, "step", "engines")
		}
		sleep(ctx, waits.NextBackOff())
	}
}

func (r *reader) list(ctx context.Context) (uint64, error) {
	objects, revision, err := r.tracker.config.Store.List(ctx, platform.KindEngine)
	if err != nil {
		return 0, trace.Wrap(err, "listing engines")
	}
	r.objects = make(map[string]fleet.Spec, len(objects))
	for _, object := range objects {
		r.put(object)
	}
	r.apply(ctx, revision)
	return revision, nil
}

func (r *reader) put(object platform.Object) {
	spec := fleet.Spec{}
	if err := json.Unmarshal(object.Spec, &spec); err != nil || spec.Address == "" || spec.Zone == "" {
		eventBadEngine.Error(err, "engine", object.Name)
		delete(r.objects, object.Name)
		return
	}
	spec.Name = object.Name
	if spec.Region == "" {
		spec.Region = r.tracker.config.Registry.Self.Region
	}
	r.objects[object.Name] = spec
}

func (r *reader) apply(ctx context.Context, revision uint64) {
	specs := make([]fleet.Spec, 0, len(r.objects))
	for _, spec := range r.objects {
		specs = append(specs, spec)
	}
	r.tracker.step(ctx, func(now time.Time) registry.Output {
		return r.tracker.registry.HandleStore(now, revision, specs)
	})
}

// watch applies changes after a revision, batched over applyDelay.
func (r *reader) watch(ctx context.Context, revision uint64) error {
	events := make(chan platform.Event)
	failed := make(chan error, 1)
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		failed <- r.tracker.config.Store.Watch(watching, platform.KindEngine, revision, func(event platform.Event) error {
			select {
			case events <- event:
				return nil
			case <-watching.Done():
				return watching.Err()
			}
		})
	}()
	var due <-chan time.Time
	for {
		select {
		case event := <-events:
			revision = max(revision, event.Object.Revision)
			r.applyEvent(event)
			if due == nil {
				due = time.After(applyDelay)
			}
		case <-due:
			due = nil
			r.apply(ctx, revision)
		case err := <-failed:
			return trace.Wrap(err, "watching engines")
		}
	}
}

func (r *reader) applyEvent(event platform.Event) {
	switch event.Type {
	case platform.EventAdded, platform.EventModified:
		r.put(event.Object)
	case platform.EventDeleted:
		delete(r.objects, event.Object.Name)
	}
}

// readMachines polls the machine list, at an interval by its size.
func (r *reader) readMachines(ctx context.Context) {
	interval := machinesInterval
	for ctx.Err() == nil {
		if r.readsMachines.Load() {
			interval = r.machinesOnce(ctx)
		}
		sleep(ctx, interval/2+rand.N(interval))
	}
}

func (r *reader) machinesOnce(ctx context.Context) time.Duration {
	machines, err := r.tracker.config.Machines.Machines(ctx)
	if err != nil {
		if ctx.Err() == nil {
			eventStoreFailed.Error(err, "step", "machines")
		}
		return maxBackoff
	}
	var leaving []string
	for _, machine := range machines {
		if machine.Leaving && machine.Role == "engine" {
			leaving = append(leaving, machine.Name, machine.Address)
		}
	}
	r.tracker.step(ctx, func(now time.Time) registry.Output {
		return r.tracker.registry.SetMachinesLeaving(now, leaving)
	})
	if r.tracker.config.OnMachines != nil {
		r.tracker.config.OnMachines(machines)
	}
	paced := time.Duration(len(machines)) * machinesBytes * time.Second / machinesBudget
	return max(machinesInterval, paced)
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
