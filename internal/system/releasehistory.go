package system

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/origin"
)

// releaseHistory holds what a node has seen of the engines' releases and of the routes. Its methods may be
// called concurrently.
type releaseHistory struct {
	mutex    sync.Mutex // guards the fields below; a leaf
	releases *origin.History
	routes   origin.RouteHistory
	// observed is the revision, by kind of objects, up to which the history has all changes.
	observed map[string]uint64
	advanced chan struct{} // closed and replaced when observed changes
}

func newReleaseHistory() *releaseHistory {
	return &releaseHistory{releases: origin.NewHistory(), observed: map[string]uint64{}, advanced: make(chan struct{})}
}

// observeEngines records the engines that are listed from now on. missed says that others may have come
// and gone since the last call.
func (h *releaseHistory) observeEngines(engines []catalog.Engine, missed bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := clock.Now()
	if missed {
		h.releases.Miss(now)
	}
	h.releases.Observe(engines, now)
}

// observeRoutes records the routes that are in force from now on. missed says that others may have been in
// force unseen since the last call.
func (h *releaseHistory) observeRoutes(routes []catalog.Route, missed bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := clock.Now()
	h.routes.Observe(routes, now)
	if missed {
		h.routes.Miss(now)
	}
}

// setObserved records that the history has all changes of a kind up to a revision.
func (h *releaseHistory) setObserved(kind string, revision uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.observed[kind] == revision {
		return
	}
	h.observed[kind] = revision
	close(h.advanced)
	h.advanced = make(chan struct{})
}

// state returns the revision up to which a kind was observed, and a channel that is closed when a
// revision changes.
func (h *releaseHistory) state(kind string) (revision uint64, advanced <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.observed[kind], h.advanced
}

// ofRoute returns the sole release of a route, or that it had several, for as long as its streams may
// last and their callers wait, as far as this node has seen.
func (h *releaseHistory) ofRoute(host, prefix string, leave, life time.Duration) origin.Answer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := clock.Now()
	service, window, found, moved := h.routes.Sole(host, prefix, leave, life, now)
	switch {
	case moved:
		return origin.Answer{Source: origin.SourceSeveral}
	case !found:
		return origin.Answer{}
	}
	return h.within(service, window, now)
}

// ofService returns the sole release of a service, or that it had several, within a time.
func (h *releaseHistory) ofService(service string, window time.Duration) origin.Answer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.within(service, window, clock.Now())
}

func (h *releaseHistory) within(service string, window time.Duration, now time.Time) origin.Answer {
	if h.releases.Several(service, window, now) {
		return origin.Answer{Source: origin.SourceSeveral}
	}
	if release, found := h.releases.Sole(service, window, now); found {
		return origin.Answer{Source: origin.SourceSole, Release: release}
	}
	return origin.Answer{}
}

// releaseProver proves which release an engine's service must have had. Its methods may be called
// concurrently.
type releaseProver struct {
	history *releaseHistory
	// kinds are the kinds of objects on which the history rests.
	kinds []string
	// leave is how long nodes may use engines that are gone.
	leave time.Duration
	// partial reports whether this node knows a part of the engines only.
	partial func() bool
	// confirm returns once the node has all objects of a kind that the store had at the call.
	confirm func(ctx context.Context, kind string) error
	// isBehind reports whether the node has changes of a kind after a revision.
	isBehind func(kind string, revision uint64) bool
}

func newReleaseProver(c *core) *releaseProver {
	return &releaseProver{
		history: c.catalog.history, kinds: []string{c.adapter.EnginesKind, c.adapter.ConfigurationKind}, leave: c.settings.Platform.Leave,
		partial: func() bool { return c.agent.Partial(c.adapter.EnginesKind) },
		confirm: c.agent.Confirm, isBehind: c.catalog.isBehind,
	}
}

// proveRoute returns the release that a route must have had, up to the call, for as long as its streams may
// last and their callers wait. The answer has no source if that can't be proved until ctx ends.
func (p *releaseProver) proveRoute(ctx context.Context, host, prefix string, life time.Duration) origin.Answer {
	return p.prove(ctx, func() origin.Answer { return p.history.ofRoute(host, prefix, p.leave, life) })
}

// proveService is proveRoute for a service and a time.
func (p *releaseProver) proveService(ctx context.Context, service string, window time.Duration) origin.Answer {
	return p.prove(ctx, func() origin.Answer { return p.history.ofService(service, window) })
}

// prove returns the answer of the history. A sole release counts only by lists that the store has confirmed since the
// call: engines of another one may have joined after the last confirmation.
func (p *releaseProver) prove(ctx context.Context, answer func() origin.Answer) origin.Answer {
	first := answer()
	if first.Source != origin.SourceSole {
		return first
	}
	// A node that knows a part of the engines may miss some that come and go.
	if p.partial() {
		return origin.Answer{}
	}
	var confirmations sync.WaitGroup
	errs := make([]error, len(p.kinds))
	for i, kind := range p.kinds {
		confirmations.Go(func() { errs[i] = p.confirmObserved(ctx, kind) })
	}
	confirmations.Wait()
	if err := errors.Join(errs...); err != nil {
		eventReleaseUnproved.Info("cause", err)
		return origin.Answer{}
	}
	return answer()
}

// confirmObserved returns once the history has all changes of a kind that the store had accepted at
// the call.
func (p *releaseProver) confirmObserved(ctx context.Context, kind string) error {
	if err := p.confirm(ctx, kind); err != nil {
		return err
	}
	for {
		revision, advanced := p.history.state(kind)
		if !p.isBehind(kind, revision) {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "await the history of %s", kind)
		}
	}
}
