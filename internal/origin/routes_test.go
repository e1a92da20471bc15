package origin

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// Guards against a service that counts as a route's only one although it got requests for other services
// within the window.
func TestRouteHistoryKnowsOnlySteadyServices(t *testing.T) {
	const timeout, leave, window = 4 * time.Second, 2 * time.Second, 10 * time.Second
	route := func(host, prefix string, services ...string) catalog.Route {
		r := catalog.Route{Host: host, Prefix: prefix, Timeout: timeout}
		for _, service := range services {
			r.Backends = append(r.Backends, catalog.Backend{Service: service, Weight: 1})
		}
		return r
	}
	all, narrow, moved := route("h", "/", "x"), route("h", "/n/", "x"), route("h", "/", "y")
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		versions [][]catalog.Route // one a second
		route    catalog.Route
		// steadyFrom is the version from which on the service is the only one.
		steadyFrom int
	}{
		{"same", [][]catalog.Route{{all}, {all}, {all}}, all, 0},
		{"written otherwise", [][]catalog.Route{{all}, {route("H", "/", "x")}}, all, 0},
		{"moved", [][]catalog.Route{{all}, {moved}}, moved, 1},
		{"moved and back", [][]catalog.Route{{all}, {moved}, {all}}, all, 2},
		{"split and back", [][]catalog.Route{{all}, {route("h", "/", "x", "y")}, {all}}, all, 2},
		{"narrower one added", [][]catalog.Route{{all}, {all, narrow}}, narrow, 0},
		{"narrower one of another service added", [][]catalog.Route{{moved}, {moved, narrow}}, narrow, 1},
		{"narrower one dropped", [][]catalog.Route{{all}, {all, narrow}, {all}}, all, 0},
		{"narrower one of another service dropped", [][]catalog.Route{{moved, narrow}, {moved}}, moved, 1},
		{"dropped and added", [][]catalog.Route{{all}, {}, {all}}, all, 2},
		{"of another host", [][]catalog.Route{{all, route("g", "/", "y")}, {all}}, all, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var h RouteHistory
			for i, routes := range test.versions {
				h.Observe(routes, start.Add(time.Duration(i)*time.Second))
			}
			soleAt := start.Add(time.Duration(test.steadyFrom)*time.Second + window)
			_, _, found, _ := h.Sole(test.route.Host, test.route.Prefix, leave, 0, soleAt.Add(-1))
			g.Expect(found).To(gomega.BeFalse())
			service, watched, found, _ := h.Sole(test.route.Host, test.route.Prefix, leave, 0, soleAt)
			g.Expect(found).To(gomega.BeTrue())
			g.Expect(service).To(gomega.Equal(test.route.Services()[0]))
			g.Expect(watched).To(gomega.Equal(window))
		})
	}
	split := route("h", "/", "x", "y")
	var h RouteHistory
	h.Observe([]catalog.Route{split}, start)
	_, _, found, _ := h.Sole("h", "/", leave, 0, start.Add(time.Hour))
	gomega.NewWithT(t).Expect(found).To(gomega.BeFalse())
}

// Guards against a window that is too short for streams that began by a longer timeout.
func TestRouteHistoryCoversStreamsOfEarlierTimeouts(t *testing.T) {
	const second, leave = time.Second, 2 * time.Second
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * second) }
	for _, test := range []struct {
		name     string
		timeouts map[int]time.Duration // by the second from which on they apply
		asked    int
		window   time.Duration
		found    bool
	}{
		{"constant", map[int]time.Duration{0: 5 * second}, 100, 12 * second, true},
		{"shorter now", map[int]time.Duration{0: 20 * second, 90: second}, 100, 42 * second, true},
		{"shorter for long", map[int]time.Duration{0: 20 * second, 50: second}, 100, 4 * second, true},
		{"longer now", map[int]time.Duration{0: second, 90: 20 * second}, 100, 42 * second, true},
		{"longer for a moment", map[int]time.Duration{0: second, 90: 20 * second, 91: second}, 100, 42 * second, true},
		{"in turn", map[int]time.Duration{0: second, 80: 3 * second, 85: second, 90: 3 * second, 95: second}, 100, 8 * second, true},
		{"without a bound now", map[int]time.Duration{0: second, 90: 0}, 100, 0, false},
		{"without a bound before", map[int]time.Duration{0: 0, 90: second}, 100, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var h RouteHistory
			for i := range test.asked {
				if timeout, changed := test.timeouts[i]; changed {
					h.Observe([]catalog.Route{{Host: "h", Prefix: "/", Timeout: timeout, Backends: []catalog.Backend{{Service: "x", Weight: 1}}}}, at(i))
				}
			}
			_, window, found, _ := h.Sole("h", "/", leave, 0, at(test.asked))
			g.Expect(found).To(gomega.Equal(test.found))
			g.Expect(window).To(gomega.Equal(test.window))
		})
	}
}

// Guards against a window that forgets the longer timeout of streams which ran at another service before.
func TestRouteThatMovesAndShortensItsTimeoutIsWatchedForTheLongerOne(t *testing.T) {
	start := time.Unix(1000, 0)
	route := func(service string, timeout time.Duration) []catalog.Route {
		return []catalog.Route{{Host: "h", Prefix: "/", Timeout: timeout, Backends: []catalog.Backend{{Service: service, Weight: 1}}}}
	}
	var h RouteHistory
	h.Observe(route("x", 20*time.Second), start)
	h.Observe(route("y", time.Second), start.Add(90*time.Second))
	service, window, found, _ := h.Sole("h", "/", 2*time.Second, 0, start.Add(95*time.Second))
	if found {
		t.Errorf("%s counts as the only service within %v, while streams of x may last until 20 s after the move", service, window)
	}
}

// The same where the route leads to several services in between.
func TestRouteThatWasSplitAndShortensItsTimeoutIsWatchedForTheLongerOne(t *testing.T) {
	start := time.Unix(1000, 0)
	split := []catalog.Route{{Host: "h", Prefix: "/", Timeout: 20 * time.Second, Backends: []catalog.Backend{{Service: "x", Weight: 1}, {Service: "y", Weight: 1}}}}
	var h RouteHistory
	h.Observe(split, start)
	h.Observe([]catalog.Route{{Host: "h", Prefix: "/", Timeout: time.Second, Backends: split[0].Backends[1:]}}, start.Add(90*time.Second))
	if service, window, found, _ := h.Sole("h", "/", 2*time.Second, 0, start.Add(95*time.Second)); found {
		t.Errorf("%s counts as the only service within %v", service, window)
	}
}

// Guards against a window that is too short for callers that wait for longer than the route's timeout allows.
func TestRouteIsWatchedForAsLongAsCallersWait(t *testing.T) {
	start := time.Unix(1000, 0)
	var h RouteHistory
	h.Observe([]catalog.Route{{Host: "h", Prefix: "/", Timeout: time.Second, Backends: []catalog.Backend{{Service: "x", Weight: 1}}}}, start)
	for seconds, found := range map[time.Duration]bool{9: false, 10: true} {
		_, window, sole, _ := h.Sole("h", "/", 2*time.Second, 8*time.Second, start.Add(seconds*time.Second))
		if sole != found || found && window != 10*time.Second {
			t.Errorf("after %d s: sole %v within %v", seconds, sole, window)
		}
	}
}
