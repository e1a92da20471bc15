// Package operator serves a node's operator port: health, readiness, metrics,
// profiles, and the queries and commands that other packages register.
package operator

import (
	"net/http"
	"net/http/pprof"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Check reports whether a component is ready, and if not, why.
type Check struct {
	Name  string
	Ready func() (bool, string)
}

// Readiness holds checks that must all pass for the node to be ready. It is
// safe for concurrent use.
type Readiness struct {
	mutex    sync.Mutex // guards the fields below
	checks   []Check
	draining bool
}

// Add registers a check.
func (r *Readiness) Add(name string, ready func() (bool, string)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checks = append(r.checks, Check{Name: name, Ready: ready})
}

// Drain makes the node not ready for good, so that it gets no new work.
func (r *Readiness) Drain() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining = true
}

// Missing returns the reasons why the node is not ready, none if it is ready.
func (r *Readiness) Missing() []string {
	r.mutex.Lock()
	checks, draining := r.checks, r.draining
	r.mutex.Unlock()
	var missing []string
	if draining {
		missing = append(missing, "draining")
	}
	for _, check := range checks {
		if ready, reason := check.Ready(); !ready {
			missing = append(missing, check.Name+": "+reason)
		}
	}
	return missing
}

// NewMux returns the operator port's handler; other packages register theirs
// under "/operator/".
func NewMux(readiness *Readiness, gatherer prometheus.Gatherer) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		missing := readiness.Missing()
		if len(missing) == 0 {
			_, _ = writer.Write([]byte("ready\n"))
			return
		}
		http.Error(writer, strings.Join(missing, "\n"), http.StatusServiceUnavailable)
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}
