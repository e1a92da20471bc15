package routing

import "slices"

// triedFilter drops endpoints that an earlier attempt was sent to. It reads
// the request only.
type triedFilter struct{}

func (triedFilter) Name() string { return "tried" }

func (triedFilter) Keep(view *View, candidate *Candidate) bool {
	return !slices.Contains(view.Request.Tried, candidate.Endpoint.Name)
}

// slotsFilter drops endpoints that have all the streams that this node may
// send them. It reads this node's own streams, which are never stale.
type slotsFilter struct{}

func (slotsFilter) Name() string { return "slots" }

func (slotsFilter) Keep(view *View, candidate *Candidate) bool {
	return view.Request.Slots <= 0 || candidate.InFlight < view.Request.Slots
}

// ejectedFilter drops endpoints that are set aside, and those under probe but
// for one repeatable request at a time. It reads what this node saw itself.
type ejectedFilter struct{}

func (ejectedFilter) Name() string { return "ejected" }

func (ejectedFilter) Keep(view *View, candidate *Candidate) bool {
	state := candidate.state
	if !state.ejected {
		return true
	}
	return !view.Now.Before(state.ejectedUntil) && !state.probing && view.Request.Repeatable
}

// busyFilter drops endpoints that asked this node to come back later.
type busyFilter struct{}

func (busyFilter) Name() string { return "busy" }

func (busyFilter) Keep(view *View, candidate *Candidate) bool {
	return !view.Now.Before(candidate.state.busyUntil)
}

// stalledFilter drops endpoints whose oldest attempt has waited too long for
// its first token while no other got one.
type stalledFilter struct{ router *Router }

func (stalledFilter) Name() string { return "stalled" }

func (f stalledFilter) Keep(view *View, candidate *Candidate) bool {
	return !candidate.state.stalled(view.Now, f.router.stallLimit())
}

// roomFilter drops endpoints whose slots seem taken by all nodes together. It
// reads Candidate.Load, so that a stale or missing report counts as the peers'
// mean.
type roomFilter struct{}

func (roomFilter) Name() string { return "room" }

func (roomFilter) Keep(view *View, candidate *Candidate) bool {
	return view.Request.Slots <= 0 || candidate.Load < float64(view.Request.Slots)
}
