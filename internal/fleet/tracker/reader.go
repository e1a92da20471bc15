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
	// electionGrace is the wait after a start before this node reads the
	// store, so that a region that starts as a whole first knows its members;
	// aloneGrace is the wait while it knows no other.
	electionGrace = 1500 * time.Millisecond
	aloneGrace    = 3 * time.Second
	// electionInterval is the longest time between two elections; a changed
	// view brings one at once.
	electionInterval = 500 * time.Millisecond
	// applyDelay collects the events of a watch into one change of the list.
	applyDelay = 200 * time.Millisecond
	// machinesInterval is the least time between two reads of the machine
	// list; machinesBytes a machine at machinesBudget bytes a second stretch it.
	machinesInterval = 2 * time.Second
	machinesBytes    = 100
	machinesBudget   = 4096
	longestBackoff   = 5 * time.Second
)

// reader reads the store's engines and the machine list while this node is
// elected; at most registry.Readers nodes of a region do, and the first of
// them reads the machine list.
type reader struct {
	tracker *Tracker
	started time.Time
	next    time.Time        // of the next election
	elected *membership.View // the view of the last one
	running atomic.Bool
	first   atomic.Bool

	// cancel and done belong to the goroutine of Run.
	cancel context.CancelFunc
	done   sync.WaitGroup

	// objects belongs to the watching goroutine.
	objects map[string]fleet.Spec
}

// elect starts or stops reading as the view says.
func (r *reader) elect(ctx context.Context, now time.Time, view *membership.View) {
	if r.tracker.config.Store == nil || view == nil {
		return
	}
	if r.started.IsZero() {
		r.started = now
	}
	if view == r.elected && now.Before(r.next) {
		return
	}
	r.elected, r.next = view, now.Add(electionInterval)
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
			r.first.Store(rank == 0)
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
	waits.MaxInterval = longestBackoff
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
		r.keep(object)
	}
	r.apply(ctx, revision)
	return revision, nil
}

func (r *reader) keep(object platform.Object) {
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

// watch takes the changes after a revision, collected for applyDelay.
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
			r.take(event)
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

func (r *reader) take(event platform.Event) {
	switch event.Type {
	case platform.EventAdded, platform.EventModified:
		r.keep(event.Object)
	case platform.EventDeleted:
		delete(r.objects, event.Object.Name)
	}
}

// readMachines reads the machine list, at a rate that its size bounds.
func (r *reader) readMachines(ctx context.Context) {
	interval := machinesInterval
	for ctx.Err() == nil {
		if r.first.Load() {
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
		return longestBackoff
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
