package routing

import "slices"

// triedFilter drops endpoints that an earlier attempt was sent to.
type triedFilter struct{}

func (triedFilter) Name() string { return "tried" }

func (triedFilter) Keep(view *View, candidate *Candidate) bool {
	return !slices.Contains(view.Request.Tried, candidate.Endpoint.Name)
}

// ownSlotsFilter drops endpoints on which this node's own streams, which are
// never stale, take all slots.
type ownSlotsFilter struct{}

func (ownSlotsFilter) Name() string { return "slots" }

func (ownSlotsFilter) Keep(view *View, candidate *Candidate) bool {
	return view.Request.Slots <= 0 || candidate.InFlight < view.Request.Slots
}

// ejectedFilter drops ejected endpoints. After the ejection time it keeps them
// for one repeatable request at a time, as a probe.
type ejectedFilter struct{}

func (ejectedFilter) Name() string { return "ejected" }

func (ejectedFilter) Keep(view *View, candidate *Candidate) bool {
	state := candidate.state
	if !state.ejected {
		return true
	}
	return !view.Now.Before(state.ejectedUntil) && !state.probing && view.Request.Repeatable && !view.Request.Ready
}

// busyFilter drops endpoints whose Retry-After time has not passed.
type busyFilter struct{}

func (busyFilter) Name() string { return "busy" }

func (busyFilter) Keep(view *View, candidate *Candidate) bool {
	return !view.Now.Before(candidate.state.busyUntil)
}

// stalledFilter drops endpoints whose oldest attempt has waited too long for
// its first token while no other attempt got one.
type stalledFilter struct{ router *Router }

func (stalledFilter) Name() string { return "stalled" }

func (f stalledFilter) Keep(view *View, candidate *Candidate) bool {
	return !candidate.state.stalled(view.Now, f.router.stallLimit())
}

// totalSlotsFilter drops endpoints whose slots are taken by the estimated streams
// of all nodes. A stale or missing report counts as the peers' mean.
type totalSlotsFilter struct{}

func (totalSlotsFilter) Name() string { return "room" }

func (totalSlotsFilter) Keep(view *View, candidate *Candidate) bool {
	return view.Request.Slots <= 0 || candidate.Load < float64(view.Request.Slots)
}

// provenFilter drops, for requests that failed elsewhere, endpoints of which this node's last attempt that
// ended did not finish of late: while a fault is new, others' attempts tell sooner than their failures do.
type provenFilter struct{}

func (provenFilter) Name() string { return "proven" }

func (provenFilter) Keep(view *View, candidate *Candidate) bool {
	state := candidate.state
	return len(view.Request.Tried) == 0 ||
		view.Now.Sub(state.lastFinish) < view.config.Outliers.FailureHalfLife && !state.lastFinish.Before(state.lastFailure)
}
