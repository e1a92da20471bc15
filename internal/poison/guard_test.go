package poison

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/transport"
)

const waitTimeout = 10 * time.Second

// fakeStore is a Store in memory that reports all its records after each write.
type fakeStore struct {
	mutex       sync.Mutex
	table       *Table
	unavailable bool
	onChange    func(records []Record)
}

var errStore = errors.New("store unavailable")

func (s *fakeStore) Save(_ context.Context, record Record) error {
	return s.write(func() { s.table.Merge(record) })
}

func (s *fakeStore) Remove(_ context.Context, f Fingerprint, _ bool) error {
	return s.write(func() { s.table.Drop(f) })
}

func (s *fakeStore) GrantTrial(_ context.Context, f Fingerprint, now time.Time) (granted bool, err error) {
	err = s.write(func() {
		if record, found := s.table.Get(f); found {
			granted = record.AddTrial(now) && s.table.Merge(record)
		}
	})
	return granted, err
}

func (s *fakeStore) write(change func()) error {
	s.mutex.Lock()
	if s.unavailable {
		s.mutex.Unlock()
		return errStore
	}
	change()
	records := s.table.All()
	s.mutex.Unlock()
	s.onChange(records)
	return nil
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = unavailable
}

func (s *fakeStore) has(f Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.table.Get(f)
	return found
}

// testCluster is a data node and front nodes that call each other directly.
type testCluster struct {
	store       *fakeStore
	data        *Guard
	fronts      []*Guard
	mutex       sync.Mutex
	reportsFail bool         // reports do not reach the data node
	ahead       atomic.Int64 // how far the nodes' clocks are ahead, in nanoseconds
}

// now is the nodes' clock.
func (c *testCluster) now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// deliver passes records to a guard in messages, as nodes do.
func deliver(to *Guard, from transport.Address, records []Record, toDataNodes bool) error {
	var requests, parts []Record
	for _, record := range records {
		if record.IsPart() {
			parts = append(parts, record)
		} else {
			requests = append(requests, record)
		}
	}
	return errors.Join(to.Receive(from, Marshal(requests), toDataNodes), to.ReceiveParts(from, MarshalParts(parts), toDataNodes))
}

func newTestCluster(t *testing.T, fronts int) *testCluster {
	c := &testCluster{store: &fakeStore{table: NewTable()}}
	c.store.onChange = func(records []Record) {
		for _, guard := range append([]*Guard{c.data}, c.fronts...) {
			guard.LoadRecords(records)
		}
	}
	c.data = c.newGuard(Options{Spread: func(records []Record, _ bool) {
		for _, front := range c.fronts {
			_ = deliver(front, "data", records, false)
		}
	}})
	for i := range fronts {
		c.fronts = append(c.fronts, c.newFrontGuard(i))
	}
	for _, guard := range append([]*Guard{c.data}, c.fronts...) {
		guard.Start()
		t.Cleanup(guard.Close)
	}
	return c
}

func (c *testCluster) newGuard(options Options) *Guard {
	options.Store, options.Now = c.store, c.now
	options.EngineCrashed = func(_ context.Context, engine catalog.Engine) bool { return engine.Address != "up" }
	return NewGuard(options)
}

func (c *testCluster) newFrontGuard(i int) *Guard {
	return c.newGuard(Options{Report: func(_ context.Context, records []Record) error {
		c.mutex.Lock()
		fail := c.reportsFail
		c.mutex.Unlock()
		if fail {
			return errors.New("data node unreachable")
		}
		return deliver(c.data, "front", records, true)
	}})
}

func (c *testCluster) setReportsFail(fail bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reportsFail = fail
}

// crash has engines crash under a request at a front node.
func (c *testCluster) crash(front, request int, engines ...string) {
	for _, engine := range engines {
		c.fronts[front].ConnectionLost(context.Background(), LostConnection{Engine: catalog.Engine{ID: engine}, Fingerprint: func() Fingerprint { return print(request) }})
	}
}

func isHeld(guard *Guard, request int) bool {
	_, held := guard.Held(func() Fingerprint { return print(request) })
	return held
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until " + condition)
		}
	}
}

func (c *testCluster) awaitHeld(t *testing.T, request int) {
	t.Helper()
	for i, guard := range append([]*Guard{c.data}, c.fronts...) {
		eventually(t, fmt.Sprint("node ", i, " holds the request back"), func() bool { return isHeld(guard, request) })
	}
}

func TestGuardSumsCrashesSeenByDifferentNodes(t *testing.T) {
	c := newTestCluster(t, 3)
	for front, engine := range []string{"a", "b", "c"} {
		c.crash(front, 1, engine)
	}
	c.awaitHeld(t, 1)
	eventually(t, "the store has the record", func() bool { return c.store.has(print(1)) })
}

func TestGuardIgnoresLostConnectionToRunningEngine(t *testing.T) {
	c := newTestCluster(t, 1)
	for i := range 5 {
		c.fronts[0].ConnectionLost(t.Context(), LostConnection{
			Engine: catalog.Engine{ID: fmt.Sprint("e", i), Address: "up"}, Fingerprint: func() Fingerprint { return print(1) },
		})
	}
	if c.fronts[0].hasRecords.Load() {
		t.Error("record created")
	}
}

func TestGuardDoesNotStoreRecordWithOneCrash(t *testing.T) {
	c := newTestCluster(t, 1)
	c.crash(0, 1, "a")
	c.crash(0, 2, "a", "b")
	eventually(t, "the store has the record with two crashes", func() bool { return c.store.has(print(2)) })
	if c.store.has(print(1)) {
		t.Error("the record with one crash was written to the store")
	}
}

func TestGuardPublishesWhileStoreIsDown(t *testing.T) {
	c := newTestCluster(t, 2)
	c.store.setUnavailable(true)
	c.crash(0, 1, "a", "b", "c")
	c.awaitHeld(t, 1)
	c.store.setUnavailable(false)
	eventually(t, "the store has the record", func() bool { return c.store.has(print(1)) })
}

func TestGuardWritesToStoreWhenReportFails(t *testing.T) {
	c := newTestCluster(t, 2)
	c.setReportsFail(true)
	c.crash(0, 1, "a", "b", "c")
	c.awaitHeld(t, 1) // through the store
	c.setReportsFail(false)
	c.crash(1, 2, "a")
	c.crash(0, 2, "b", "c")
	c.awaitHeld(t, 2)
}

// Guards against records that are never stored because the data node that received the
// report cannot reach the store.
func TestGuardWritesRecordOfPeerThatCannotReachStore(t *testing.T) {
	c := newTestCluster(t, 0)
	unavailable := &fakeStore{table: NewTable(), unavailable: true}
	other := c.data
	first := NewGuard(Options{
		Store: unavailable, Now: time.Now, EngineCrashed: func(context.Context, catalog.Engine) bool { return true },
		Spread: func(records []Record, _ bool) { _ = other.Receive("first", Marshal(records), false) },
	})
	first.Start()
	t.Cleanup(first.Close)
	for _, engine := range []string{"a", "b", "c"} {
		first.ConnectionLost(t.Context(), LostConnection{Engine: catalog.Engine{ID: engine}, Fingerprint: func() Fingerprint { return print(1) }})
	}
	reported := time.Now()
	eventually(t, "the store has the record", func() bool { return c.store.has(print(1)) })
	if took := time.Since(reported); took > reconcileInterval {
		t.Errorf("stored only after %v", took)
	}
}

func TestGuardLoadsRecordsFromStore(t *testing.T) {
	c := newTestCluster(t, 1)
	c.crash(0, 1, "a", "b", "c")
	eventually(t, "the store has the record", func() bool { return c.store.has(print(1)) })
	fresh := c.newFrontGuard(1)
	fresh.LoadRecords(c.store.table.All())
	if !isHeld(fresh, 1) {
		t.Error("request not held back after a restart")
	}
}

func TestGuardReleasesServedRequestOnAllNodes(t *testing.T) {
	c := newTestCluster(t, 2)
	c.crash(0, 1, "a", "b", "c")
	c.awaitHeld(t, 1)
	eventually(t, "the store has the record", func() bool { return c.store.has(print(1)) })
	c.fronts[1].Served(func() Fingerprint { return print(1) }) // was still running at an engine
	eventually(t, "all nodes release the request", func() bool { return !isHeld(c.data, 1) && !isHeld(c.fronts[0], 1) && !isHeld(c.fronts[1], 1) })
	eventually(t, "the store removes the record", func() bool { return !c.store.has(print(1)) })
}

func TestGuardReleasesRequestRemovedFromStore(t *testing.T) {
	c := newTestCluster(t, 2)
	c.crash(0, 1, "a", "b", "c")
	c.awaitHeld(t, 1)
	eventually(t, "the store has the record", func() bool { return c.store.has(print(1)) })
	_ = c.store.Remove(t.Context(), print(1), false)
	eventually(t, "all nodes release the request", func() bool { return !isHeld(c.data, 1) && !isHeld(c.fronts[0], 1) && !isHeld(c.fronts[1], 1) })
}
