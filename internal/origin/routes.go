package origin

import (
	"slices"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// RouteHistory remembers since when each route has led to the service that it leads to, and how long its
// streams may last. The zero value is an empty one. It is not safe for concurrent use.
type RouteHistory struct {
	routes map[routeKey]routeState
}

// routeKey tells which requests a route is for.
type routeKey struct{ host, prefix string }

type routeState struct {
	service string // empty if there are several
	since   time.Time
	// moved says that the route is known to have led elsewhere before since.
	moved   bool
	timeout time.Duration // 0 means none
	earlier []endedTimeout
}

// endedTimeout is a timeout that a route's requests had until a time.
type endedTimeout struct {
	timeout time.Duration
	end     time.Time
}

func newRouteKey(host, prefix string) routeKey { return routeKey{strings.ToLower(host), prefix} }

// soleService returns the only service of a route; empty if there are several.
func soleService(route *catalog.Route) string {
	if services := route.Services(); len(services) == 1 {
		return services[0]
	}
	return ""
}

// Observe records the routes that are in force from now on.
func (h *RouteHistory) Observe(routes []catalog.Route, now time.Time) {
	next := make(map[routeKey]routeState, len(routes))
	for i := range routes {
		key := newRouteKey(routes[i].Host, routes[i].Prefix)
		state := routeState{service: soleService(&routes[i]), since: now, timeout: routes[i].Timeout}
		previous, found := h.routes[key]
		if !found {
			_, previous = cover(h.routes, key)
		}
		if !previous.since.IsZero() {
			state.follow(previous, now)
		}
		next[key] = state
	}
	for key, previous := range h.routes {
		if _, kept := next[key]; !kept {
			inherit(next, key, previous, now)
		}
	}
	h.routes = next
}

// inherit gives the requests of a route that is gone to the route that has them now, if any.
func inherit(routes map[routeKey]routeState, of routeKey, previous routeState, now time.Time) {
	heir, state := cover(routes, of)
	if state.since.IsZero() {
		return
	}
	if state.service != previous.service || previous.since.After(state.since) {
		state.follow(previous, now)
	} else {
		state.endTimeouts(previous, now)
	}
	routes[heir] = state
}

// follow makes the state one of requests that had a previous state until now.
func (s *routeState) follow(previous routeState, now time.Time) {
	s.since, s.moved = previous.since, previous.moved
	if s.service != previous.service {
		s.since, s.moved = now, true
	}
	s.endTimeouts(previous, now)
}

// Miss records that routes may have led elsewhere unseen before now.
func (h *RouteHistory) Miss(now time.Time) {
	for key, state := range h.routes {
		state.since, state.moved = now, false
		h.routes[key] = state
	}
}

// endTimeouts records the timeouts that requests of a previous route have had until now.
func (s *routeState) endTimeouts(previous routeState, now time.Time) {
	for _, ended := range previous.earlier {
		if now.Sub(ended.end) <= historyTTL {
			s.endTimeout(ended)
		}
	}
	if previous.timeout != s.timeout {
		s.endTimeout(endedTimeout{previous.timeout, now})
	}
}

// endTimeout records one timeout that has ended; a later end of the same one counts.
func (s *routeState) endTimeout(ended endedTimeout) {
	others := slices.DeleteFunc(slices.Clone(s.earlier), func(other endedTimeout) bool {
		return other.timeout == ended.timeout && !other.end.After(ended.end)
	})
	s.earlier = append(others, ended)
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

// Sole returns the only service to which a route has led for as long as its streams may last, and that
// time. found is false if there was more than one, if streams may last without bound, or
// if the route wasn't watched for so long; moved tells that there was more than one. leave is how long nodes may
// use engines that are gone, and life how long callers wait for a stream, over all of their requests.
func (h *RouteHistory) Sole(host, prefix string, leave, life time.Duration, now time.Time) (service string, window time.Duration, found, moved bool) {
	state, known := h.routes[newRouteKey(host, prefix)]
	if !known || state.service == "" {
		return "", 0, false, false
	}
	window, bounded := state.streamTime(leave, now)
	if !bounded {
		return "", 0, false, false
	}
	window = max(window, life+leave)
	if now.Sub(state.since) < window {
		return "", 0, false, state.moved
	}
	return state.service, window, true, false
}

// streamTime returns how long ago a stream that is continued now may have run at an engine that has left
// the list since: an attempt begun until then lasts for a timeout, and the caller comes back within another.
func (s *routeState) streamTime(leave time.Duration, now time.Time) (longest time.Duration, bounded bool) {
	longest, bounded = 2*s.timeout+leave, s.timeout > 0
	for _, ended := range s.earlier {
		if ended.timeout == 0 {
			return 0, false
		}
		if life := 2*ended.timeout + leave; now.Sub(ended.end) < life {
			longest = max(longest, life)
		}
	}
	return longest, bounded
}
