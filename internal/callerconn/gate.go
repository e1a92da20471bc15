package callerconn

import (
	"container/list"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventShedding     = telemetry.Define(2310, "connections-shed", "A load balancer sends this node more new connections than it can serve: some are closed unread, so that their callers try other nodes.")
	eventSheddingOver = telemetry.Define(2311, "connections-not-shed", "New connections are no longer closed unread for want of processor time; gives how many were.")
)

// sampleInterval is the time between two samples of the processor's load.
const sampleInterval = 20 * time.Millisecond

// Gate is a listener for callers' connections that bounds how many are open, and closes new ones unread
// if the node is crowded and can't keep up. A caller whose connection is closed unread tries another
// node at once, which is better than to be read and answered late.
type Gate struct {
	net.Listener
	// MaxConnections bounds the open connections; 0 means no bound. At the bound the connection that is
	// idle for longest makes room for a new one.
	MaxConnections int
	// Crowded reports whether this node has more than its even share of the callers; nil means never.
	Crowded func() bool
	// Limits returns the configured limits on connections; those that are 0 are the server's. It may be
	// nil.
	Limits func() catalog.Limits
	// Encrypted says that TLS is spoken over the connections, so that bytes that are read need not be of a
	// request: only requests that are being handled are known.
	Encrypted bool
	// State describes the node in log lines about connections, as key and value in turn; may be nil.
	State func() []any

	shed       atomic.Int64 // connections closed for want of processor time
	evicted    atomic.Int64 // idle connections closed for new ones, and new ones closed as none was idle
	unanswered atomic.Int64 // connections that this node closed on a request that was read and had no response
	tasks      sync.WaitGroup

	mutex    sync.Mutex // guards the fields below; a leaf
	closed   bool
	shedder  shedder
	open     map[*Conn]*list.Element // element of idle, or nil
	idle     list.List               // of *Conn, idle for longest first
	retiring bool                    // connections are retired, new ones too
	sampling bool
	accepted int // since the last sample
}

// NewGate returns a gate that bounds the open connections; 0 means no bound. Its Listener has to be
// set before it is used.
func NewGate(maxConnections int) *Gate {
	return &Gate{MaxConnections: maxConnections, open: map[*Conn]*list.Element{}}
}

// Accept implements net.Listener. After Close it returns http.ErrServerClosed.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, g.acceptError(err)
		}
		tracked := &Conn{Conn: conn, gate: g}
		if g.admit(tracked) {
			return tracked, nil
		}
		tracked.Close()
	}
}

func (g *Gate) acceptError(err error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return http.ErrServerClosed
	}
	return err
}

// Close closes the listener and the connections without a request, and waits for the gate's goroutine.
func (g *Gate) Close() error {
	g.mutex.Lock()
	g.closed = true // no goroutine starts from here on
	g.retireAll()
	g.mutex.Unlock()
	err := g.Listener.Close()
	g.tasks.Wait()
	return err
}

// admit reports whether a new connection is served.
func (g *Gate) admit(conn *Conn) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.accepted++
	if !g.sampling && !g.closed {
		g.sampling = true
		g.tasks.Go(g.sample)
	}
	if g.shedder.sheds(rand.Float64()) {
		g.shed.Add(1)
		return false
	}
	if g.MaxConnections > 0 && len(g.open) >= g.MaxConnections {
		g.evicted.Add(1)
		oldest := g.idle.Front()
		if oldest == nil {
			return false
		}
		// It is closed by its server, and counts as open until then.
		evicted := oldest.Value.(*Conn)
		g.idle.Remove(oldest)
		g.open[evicted] = nil
		evicted.retire(false)
	}
	g.open[conn] = nil
	if g.retiring || g.closed {
		conn.retire(g.closed)
	}
	return true
}

// TrackState is the ConnState function of the server that serves the gate's connections.
func (g *Gate) TrackState(netConn net.Conn, state http.ConnState) {
	conn := unwrap(netConn)
	if conn == nil {
		return
	}
	conn.setState(state)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	element, known := g.open[conn]
	if !known {
		return
	}
	switch state {
	case http.StateIdle:
		if element == nil {
			g.open[conn] = g.idle.PushBack(conn)
		}
	case http.StateActive:
		if element != nil {
			g.idle.Remove(element)
			g.open[conn] = nil
		}
	case http.StateClosed, http.StateHijacked:
		g.remove(conn)
	}
}

// remove forgets a connection; the caller holds the mutex.
func (g *Gate) remove(conn *Conn) {
	if element := g.open[conn]; element != nil {
		g.idle.Remove(element)
	}
	delete(g.open, conn)
}

// sample feeds the shedder while many connections are accepted.
func (g *Gate) sample() {
	for before := clock.Now(); ; before = clock.Now() {
		time.Sleep(sampleInterval)
		if !g.observe(clock.Since(before) - sampleInterval) {
			return
		}
	}
}

// observe passes a sample to the shedder and reports whether to go on.
func (g *Gate) observe(lateness time.Duration) bool {
	crowded := g.Crowded != nil && g.Crowded()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before := g.shedder.share
	g.shedder.observe(lateness, crowded)
	if before == 0 && g.shedder.share > 0 {
		eventShedding.Info("lateness", lateness, "accepted", g.accepted, "open", len(g.open))
	} else if before > 0 && g.shedder.share == 0 {
		eventSheddingOver.Info("shed", g.shed.Load(), "open", len(g.open))
	}
	busy := g.accepted > 0 || g.shedder.share > 0
	g.accepted = 0
	g.sampling = busy && !g.closed
	return g.sampling
}

// Shed returns how many connections were closed unread for want of processor time.
func (g *Gate) Shed() int64 { return g.shed.Load() }

// Evicted returns how many connections were closed at the bound on open connections.
func (g *Gate) Evicted() int64 { return g.evicted.Load() }

// Unanswered returns how many connections this node closed on a request that was read and had no
// response.
func (g *Gate) Unanswered() int64 { return g.unanswered.Load() }

func (g *Gate) reportUnanswered(conn *Conn, by string, bytes int64) {
	if by == "node" {
		g.unanswered.Add(1)
	}
	eventUnanswered.Info(append([]any{"request", conn.handled(), "caller", conn.RemoteAddr(), "by", by, "bytes", bytes}, g.state()...)...)
}

func (g *Gate) limits() catalog.Limits {
	if g.Limits == nil {
		return catalog.Limits{}
	}
	return g.Limits()
}

func (g *Gate) state() []any {
	if g.State == nil {
		return nil
	}
	return g.State()
}

// ReportLeftBehind logs the requests that are being handled and the connections with a request that was
// read and has no response; it is called right before the server is closed.
func (g *Gate) ReportLeftBehind() {
	var handled, unread []string
	g.mutex.Lock()
	for conn := range g.open {
		switch {
		case conn.handled() != "":
			handled = append(handled, conn.handled())
		case conn.unread() > 0:
			unread = append(unread, conn.RemoteAddr().String())
		}
	}
	open := len(g.open)
	g.mutex.Unlock()
	eventLeftBehind.Info(append([]any{"open", open, "requests", handled, "not_handled", unread}, g.state()...)...)
}

// Retire closes idle connections, and others, new ones included, after their next responses. Responses
// should say so.
func (g *Gate) Retire() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.retiring = true
	g.retireAll()
}

// retireAll retires all open connections; the caller holds the mutex.
func (g *Gate) retireAll() {
	for conn := range g.open {
		conn.retire(g.closed)
	}
}

// Open returns the number of open connections.
func (g *Gate) Open() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.open)
}
