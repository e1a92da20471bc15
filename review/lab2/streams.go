//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	engineCount = 12
	// callers is the number of callers, each with one stream at a time.
	callers = 36
	// rounds of the disruption, one every roundTime.
	rounds    = 8
	roundTime = 4 * time.Second
	// freezeTime is how long a front node stands still, and crashAfter how long after its beginning an
	// engine crashes; it is back crashTime later.
	freezeTime = 1500 * time.Millisecond
	crashAfter = 300 * time.Millisecond
	crashTime  = 600 * time.Millisecond
)

// streamRoute is a route with the figures of a kind of request of the smallest site.
type streamRoute struct {
	name      string
	resumable bool
	attempts  int
	target    time.Duration
	deadline  time.Duration
	maxGap    time.Duration // between events, after which callers give up
}

var streamRoutes = []streamRoute{
	{"reply", true, 2, 200 * time.Millisecond, 5 * time.Second, 2 * time.Second},
	{"review", false, 1, 800 * time.Millisecond, 4 * time.Second, 3200 * time.Millisecond},
}

// engineProcess is a stand-in of an engine in a process of its own.
type engineProcess struct {
	address, zone, id string
	starts            int
	command           *exec.Cmd
	exited            chan struct{}
}

func (d *deployment) startEngine(e *engineProcess, index int) error {
	e.starts++
	e.id = fmt.Sprintf("i-%d-%d", index, e.starts)
	program, err := os.Executable()
	if err != nil {
		return err
	}
	e.command = exec.Command(program, "engine", e.address, e.id, filepath.Join(d.folder, "engines.log"))
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), e.command
	e.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	for range 100 { // until it takes connections
		if response, err := d.client.Get("http://" + e.address + "/health"); err == nil {
			_ = response.Body.Close()
			d.record.printf("engine %s serves", e.id)
			d.store.Write("servers", e.id, map[string]any{
				"service": "placement-lm", "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
				"coldRemainingMs": 0, "sequence": 1,
			})
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("engine %s doesn't serve", e.id)
}

// crash kills an engine's process. Its entry goes after three silent heartbeats, as that of an engine that
// says nothing.
func (d *deployment) crash(e *engineProcess) {
	id := e.id
	_ = e.command.Process.Signal(syscall.SIGKILL)
	<-e.exited
	d.record.printf("engine %s has crashed", id)
	time.AfterFunc(3600*time.Millisecond, func() { d.store.Remove("servers", id) })
}

func (d *deployment) signal(n *node, s syscall.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_ = n.command.Process.Signal(s)
}

// frozenFront has callers stream all the time. In each round a front node stands still for freezeTime; an
// engine crashes meanwhile and is back at its address, as a new incarnation, before the node goes on.
func frozenFront(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	calls := &streamCalls{d: d, stop: make(chan struct{})}
	for i := range callers {
		calls.running.Go(func() { calls.run(i) })
	}
	time.Sleep(3 * time.Second)
	for round := range rounds {
		begun := time.Now()
		if trouble {
			if err := d.freezeAndCrash(d.fronts[round%len(d.fronts)], round%len(d.processes)); err != nil {
				return nil, err
			}
		}
		time.Sleep(max(0, roundTime-time.Since(begun)))
	}
	close(calls.stop)
	calls.running.Wait()
	d.record.printf("streams: %d whole, %d cut or refused, %d that end as complete before their last event", calls.whole.Load(), calls.cut.Load(), len(calls.broken))
	if calls.whole.Load() == 0 {
		return nil, fmt.Errorf("no stream was whole")
	}
	if text, err := os.ReadFile(filepath.Join(d.folder, "engines.log")); err == nil {
		d.record.printf("what the engines ran, by their clocks:\n%s", strings.TrimSuffix(string(text), "\n"))
	}
	return calls.broken, nil
}

// freezes reports whether nodes stand still; FREEZE=0 leaves only the crashes of engines.
func freezes() bool { return os.Getenv("FREEZE") != "0" }

func (d *deployment) freezeAndCrash(front *node, index int) error {
	e := d.processes[index]
	if freezes() {
		d.record.printf("%s stands still", front.name)
		d.signal(front, syscall.SIGSTOP)
		defer func() {
			d.signal(front, syscall.SIGCONT)
			d.record.printf("%s goes on", front.name)
		}()
	}
	end := time.Now().Add(freezeTime)
	time.Sleep(crashAfter)
	d.crash(e)
	time.Sleep(crashTime)
	if err := d.startEngine(e, index); err != nil {
		return err
	}
	time.Sleep(time.Until(end))
	return nil
}

// streamCalls are the callers' streams.
type streamCalls struct {
	d          *deployment
	stop       chan struct{}
	running    sync.WaitGroup
	whole, cut atomic.Int64
	next       atomic.Int64

	mutex  sync.Mutex // guards broken
	broken []string
}

func (c *streamCalls) run(caller int) {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		number := int(c.next.Add(1))
		route := streamRoutes[caller%len(streamRoutes)]
		c.stream(fmt.Sprintf("%s%05x", route.name, number), route, c.d.fronts[(caller+number)%len(c.d.fronts)])
	}
}

// stream reads one stream. It is whole only if its answer is, by HTTP; then it must have all events.
func (c *streamCalls) stream(id string, route streamRoute, front *node) {
	ctx, cancel := context.WithTimeout(context.Background(), route.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.callers+"/"+route.name+"/"+id, strings.NewReader("a parent's letter"))
	if err != nil {
		return
	}
	request.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": strconv.Itoa(int(route.deadline.Milliseconds())), "Model": "m", "Token-Usage": fmt.Sprint("640,", streamEvents), "Prompt-Prefix": "5c1e07a2:400,e4402b7d:240",
	} {
		request.Header.Set(name, value)
	}
	gap := time.AfterFunc(route.maxGap, cancel)
	defer gap.Stop()
	response, err := c.client().Do(request)
	if err != nil {
		c.cut.Add(1)
		return
	}
	defer response.Body.Close()
	last, ordered := 0, true
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			gap.Reset(route.maxGap)
			number, _ := strconv.Atoi(text)
			ordered = ordered && number == last+1
			last = number
		}
	}
	switch {
	case lines.Err() != nil || response.StatusCode != http.StatusOK:
		c.cut.Add(1)
	case last == streamEvents && ordered:
		c.whole.Add(1)
	default:
		c.d.record.printf("stream %s at %s: 200, the answer is complete, and its last event is %d of %d (in order: %v)", id, front.name, last, streamEvents, ordered)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.broken = append(c.broken, id)
	}
}

// client is without a limit on a call's time; streams have their own.
func (c *streamCalls) client() *http.Client { return &http.Client{Transport: c.d.client.Transport} }
