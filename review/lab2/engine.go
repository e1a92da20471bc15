//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineSlots = 17
	engineQueue = 64
	// streamEvents is the number of events of each caller's stream, and eventPause the time before each.
	streamEvents = 12
	eventPause   = 150 * time.Millisecond
	// itemEvents and itemPause are those of the items of jobs.
	itemEvents = 246
	itemPause  = 60 * time.Millisecond
)

// engine is a stand-in of a model engine, run as a process of its own so that it can crash. Its answers
// carry no length and end with their connection.
type engine struct {
	id      string
	running atomic.Int64
	mutex   sync.Mutex // guards log
	log     *os.File
}

// runEngine serves at an address until the process ends.
func runEngine(address, id, logFile string) int {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return exitNotRun
	}
	e := &engine{id: id, log: log}
	if err := http.ListenAndServe(address, e); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return exitNotRun
}

func (e *engine) note(format string, values ...any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	fmt.Fprintf(e.log, "%s %s %s\n", time.Now().UTC().Format("15:04:05.000"), e.id, fmt.Sprintf(format, values...))
}

func (e *engine) load() string {
	running := e.running.Load()
	return fmt.Sprintf("%d,%d,%d", min(running, engineSlots), max(0, running-engineSlots), engineSlots)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", e.load())
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	target := r.Header.Get("Target-Instance")
	switch {
	case target != "" && target != e.id:
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case e.running.Add(1) > engineSlots+engineQueue:
		e.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		defer e.running.Add(-1)
		e.stream(w, r, id)
	}
}

// stream runs a request: it sends events after Last-Event-Id without a length and closes the connection.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, most, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	events, _ := strconv.Atoi(most) // each holds one token
	pause := eventPause
	if events > streamEvents {
		pause = itemPause
	}
	limit := time.Now().Add(time.Minute)
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Now().Add(time.Duration(left) * time.Millisecond)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	left := make(chan struct{})
	go func() { // the request is dropped when its connection closes
		defer close(left)
		_, _ = conn.Read(make([]byte, 1))
	}()
	e.note("runs %s after %d", id, after)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Signature: 3e1b.07.%s\r\nServer-Load: %s\r\nConnection: close\r\n\r\n",
		id, e.id, e.load())
	for event := after + 1; err == nil && event <= events; event++ {
		select {
		case <-time.After(pause):
		case <-left:
			e.note("drops %s before event %d", id, event)
			return
		}
		if time.Now().After(limit) {
			e.note("stops %s at its deadline before event %d", id, event)
			return
		}
		_, err = fmt.Fprintf(conn, "id: %d\ndata: %s.%d\n\n", event, id, event)
	}
	e.note("ends %s: %v", id, err)
}
