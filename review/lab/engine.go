//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const queued = 64 // requests beyond the slots that an engine takes

// arrival is a request that reached an engine and was not refused by it.
type arrival struct {
	at       time.Time
	id       string
	after    int // Last-Event-Id
	sent     int // the last event sent
	complete bool
}

// engine is a stand-in for a model engine that follows PROTOCOL.md.
type engine struct {
	id, zone, address string
	// events is how many events an answer has; data returns that of one.
	events                 int
	firstEvent, eventPause time.Duration
	data                   func(id string, event int) string
	// breakAfter returns the event after which the answer breaks off; 0 if it doesn't.
	breakAfter func(e *engine, id string, after int) int

	server   *http.Server
	listener net.Listener
	slot     chan struct{}

	mutex    sync.Mutex // guards the fields below
	running  int
	arrivals []*arrival
	leaving  bool
	goneAt   time.Time // when the store acknowledged that the entry is gone
}

func newEngine(id, zone string) *engine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		couldNotRun("%v", err)
	}
	e := &engine{id: id, zone: zone, address: listener.Addr().String(), listener: listener, slot: make(chan struct{}, slots)}
	e.events, e.firstEvent, e.eventPause = 12, 40*time.Millisecond, 15*time.Millisecond
	e.data = func(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

func (e *engine) close() { _ = e.server.Close() }

// entry is the engine's entry in the platform's store.
func (e *engine) entry() map[string]any {
	return map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	}
}

func (e *engine) load() string {
	running, waiting, _ := e.state()
	return fmt.Sprintf("%d,%d,%d", running, waiting, slots)
}

// state returns the requests that run and wait, and whether the engine is leaving.
func (e *engine) state() (running, waiting int, leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return min(e.running, slots), max(0, e.running-slots), e.leaving
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	running, waiting, leaving := e.state()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.URL.Path == "/health":
		e.serveHealth(w)
		return
	case r.URL.Path == "/-/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting": waiting, "running": running, "kvUsed": 0, "kvTotal": 153000, "handles": 0,
		})
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if instance := r.Header.Get("Target-Instance"); instance != "" && instance != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := e.take(id, after)
	if run == nil {
		refuse(w)
		return
	}
	defer e.update(func() { e.running-- })
	ctx := r.Context()
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	select {
	case e.slot <- struct{}{}:
		defer func() { <-e.slot }()
	case <-ctx.Done(): // in the queue
		refuse(w)
		return
	}
	e.stream(ctx, w, run)
}

// serveHealth waits for a slot or is rejected, as a request is. A leaving engine answers 503.
func (e *engine) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Instance-Id", e.id)
	if e.full() {
		refuse(w)
		return
	}
	defer e.update(func() { e.running-- })
	e.slot <- struct{}{}
	defer func() { <-e.slot }()
	w.Header().Set("Server-Load", e.load())
	if _, _, leaving := e.state(); leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// refuse says that the engine did not run the request.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// full reports whether the engine takes no more, and else takes a place in it.
func (e *engine) full() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.running >= slots+queued {
		return true
	}
	e.running++
	return false
}

// take records a request, or returns nil if the engine is full.
func (e *engine) take(id string, after int) *arrival {
	if e.full() {
		return nil
	}
	run := &arrival{at: time.Now(), id: id, after: after}
	e.update(func() { e.arrivals = append(e.arrivals, run) })
	return run
}

func (e *engine) update(change func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change()
}

// stream writes the answer's events. It ends early at the deadline, with 504 before the first event.
func (e *engine) stream(ctx context.Context, w http.ResponseWriter, run *arrival) {
	breakAfter := 0
	if e.breakAfter != nil {
		breakAfter = e.breakAfter(e, run.id, run.after)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", e.id+"."+run.id)
	w.Header().Set("Server-Load", e.load())
	pause := e.firstEvent
	for event := run.after + 1; event <= e.events; event++ {
		select {
		case <-ctx.Done():
			if event > run.after+1 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		case <-time.After(pause):
		}
		pause = e.eventPause
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, e.data(run.id, event)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		e.update(func() { run.sent = event })
		if event == breakAfter {
			reset(w)
			return
		}
	}
	e.update(func() { run.complete = true })
}

// reset breaks an answer off by a reset of its connection, once what was sent has arrived.
func reset(w http.ResponseWriter) {
	time.Sleep(5 * time.Millisecond)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// runs returns copies of all arrivals so far.
func (e *engine) runs() []arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	all := make([]arrival, 0, len(e.arrivals))
	for _, run := range e.arrivals {
		all = append(all, *run)
	}
	return all
}

// recordRuns records what all engines ran.
func (d *deployment) recordRuns(start time.Time) {
	for _, e := range d.engines {
		for _, run := range e.runs() {
			record("%7.3f run %s at %s after event %d: sent up to %d, complete %t", run.at.Sub(start).Seconds(), run.id, e.id, run.after, run.sent, run.complete)
		}
	}
}
