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
	route := func(host, prefix string, services ...string) catalog.Route {
		r := catalog.Route{Host: host, Prefix: prefix}
		for _, service := range services {
			r.Backends = append(r.Backends, catalog.Backend{Service: service, Weight: 1})
		}
		return r
	}
	all, narrow, moved := route("h", "/", "x"), route("h", "/n/", "x"), route("h", "/", "y")
	start := time.Unix(1000, 0)
	const window = 10 * time.Second
	for _, test := range []struct {
		name     string
		versions [][]catalog.Route // one a second
		route    catalog.Route
		// steadyFrom is the version from which on the service is the only one; that of the first counts
		// as old.
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
			steadyAt := start.Add(time.Duration(len(test.versions)-1) * time.Second)
			if test.steadyFrom > 0 {
				steadyAt = start.Add(time.Duration(test.steadyFrom)*time.Second + window)
				g.Expect(h.Steady(&test.route, window, steadyAt.Add(-1))).To(gomega.BeFalse())
			}
			g.Expect(h.Steady(&test.route, window, steadyAt)).To(gomega.BeTrue())
		})
	}
	split := route("h", "/", "x", "y")
	var h RouteHistory
	h.Observe([]catalog.Route{split}, start)
	gomega.NewWithT(t).Expect(h.Steady(&split, window, start.Add(time.Hour))).To(gomega.BeFalse())
}
