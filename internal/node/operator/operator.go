// Package operator serves a node's operator port: health, readiness, metrics,
// profiles, and the queries and commands that concerns add.
package operator

import (
	"net/http"
	"net/http/pprof"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Check says whether a part of the node is ready, and if not, why.
type Check struct {
	Name  string
	Ready func() (bool, string)
}

// Readiness is the conjunction of checks. It may be used concurrently.
type Readiness struct {
	mutex    sync.Mutex // guards the fields below
	checks   []Check
	draining bool
}

// Add adds a check.
func (r *Readiness) Add(name string, ready func() (bool, string)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checks = append(r.checks, Check{Name: name, Ready: ready})
}

// Drain makes the node unready for good, so that no new work is sent to it.
func (r *Readiness) Drain() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining = true
}

// Missing lists what is not ready yet, empty when the node is ready.
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

// NewMux returns the operator port's handler; concerns add theirs under
// "/operator/".
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
