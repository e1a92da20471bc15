package origin

import (
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// RouteHistory remembers since when each route has led to the service that it leads to. The zero value
// is an empty one. It is not safe for concurrent use.
type RouteHistory struct {
	routes map[routeKey]routeState
}

// routeKey tells which requests a route is for.
type routeKey struct{ host, prefix string }

type routeState struct {
	service string // empty if there are several
	since   time.Time
}

func keyOfRoute(route *catalog.Route) routeKey {
	return routeKey{strings.ToLower(route.Host), route.Prefix}
}

// soleService returns the only service of a route; empty if there are several.
func soleService(route *catalog.Route) string {
	if services := route.Services(); len(services) == 1 {
		return services[0]
	}
	return ""
}

// Observe records the routes that are in force from now on. The first ones count as in force for long: a
// node that has just started would else refuse streams that others began.
func (h *RouteHistory) Observe(routes []catalog.Route, now time.Time) {
	first := h.routes == nil
	next := make(map[routeKey]routeState, len(routes))
	for i := range routes {
		key := keyOfRoute(&routes[i])
		state := routeState{soleService(&routes[i]), now}
		previous, found := h.routes[key]
		if !found {
			_, previous = cover(h.routes, key)
		}
		if first {
			previous = routeState{state.service, now.Add(-historyTTL)}
		}
		if previous.service == state.service && !previous.since.IsZero() {
			state.since = previous.since
		}
		next[key] = state
	}
	for key, previous := range h.routes {
		if _, kept := next[key]; kept {
			continue
		}
		// Another route gets the requests of one that is gone.
		heir, state := cover(next, key)
		switch {
		case state.since.IsZero():
		case state.service != previous.service:
			next[heir] = routeState{state.service, now}
		case previous.since.After(state.since):
			next[heir] = routeState{state.service, previous.since}
		}
	}
	h.routes = next
}

// cover returns the route with the longest prefix that has all requests of a key; a zero state if there is
// none.
func cover(routes map[routeKey]routeState, of routeKey) (best routeKey, state routeState) {
	for key, candidate := range routes {
		if key.host == of.host && strings.HasPrefix(of.prefix, key.prefix) && (state.since.IsZero() || len(key.prefix) > len(best.prefix)) {
			best, state = key, candidate
		}
	}
	return best, state
}

// Steady reports whether a route has one service, and all of its requests in the given time until now went
// there.
func (h *RouteHistory) Steady(route *catalog.Route, window time.Duration, now time.Time) bool {
	state, known := h.routes[keyOfRoute(route)]
	return known && state.service != "" && state.service == soleService(route) && now.Sub(state.since) >= window
}
