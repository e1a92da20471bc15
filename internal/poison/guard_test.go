package poison

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// patience bounds what takes time.
const patience = 10 * time.Second

// fakeStore keeps records as the platform's store does.
type fakeStore struct {
	mutex   sync.Mutex
	table   *Table
	refuses bool
	changed func(records []Record)
}

var errStore = errors.New("the store refuses")

func (s *fakeStore) Save(_ context.Context, record Record) error {
	return s.write(func() { s.table.Merge(record) })
}

func (s *fakeStore) Remove(_ context.Context, f Fingerprint) error {
	return s.write(func() { s.table.Drop(f) })
}

func (s *fakeStore) write(change func()) error {
	s.mutex.Lock()
	if s.refuses {
		s.mutex.Unlock()
		return errStore
	}
	change()
	records := s.table.All()
	s.mutex.Unlock()
	s.changed(records)
	return nil
}

func (s *fakeStore) setRefuses(refuses bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refuses = refuses
}

func (s *fakeStore) has(f Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.table.Get(f)
	return found
}

// nodes are a data node and front nodes that tell each other directly.
type nodes struct {
	store  *fakeStore
	data   *Guard
	fronts []*Guard
	mutex  sync.Mutex
	deaf   bool // no report gets to the data node
}

func newNodes(t *testing.T, fronts int) *nodes {
	n := &nodes{store: &fakeStore{table: NewTable()}}
	n.store.changed = func(records []Record) {
		for _, guard := range append([]*Guard{n.data}, n.fronts...) {
			guard.Learn(records)
		}
	}
	n.data = n.open(Options{Spread: func(records []Record, _ bool) {
		for _, front := range n.fronts {
			_ = front.Receive("data", Marshal(records), false)
		}
	}})
	for i := range fronts {
		n.fronts = append(n.fronts, n.openFront(i))
	}
	for _, guard := range append([]*Guard{n.data}, n.fronts...) {
		guard.Start()
		t.Cleanup(guard.Close)
	}
	return n
}

func (n *nodes) open(options Options) *Guard {
	options.Store, options.Now = n.store, time.Now
	options.Ended = func(_ context.Context, engine catalog.Engine) bool { return engine.Address != "up" }
	return NewGuard(options)
}

func (n *nodes) openFront(i int) *Guard {
	return n.open(Options{Report: func(_ context.Context, records []Record) error {
		n.mutex.Lock()
		deaf := n.deaf
		n.mutex.Unlock()
		if deaf {
			return errors.New("not reached")
		}
		return n.data.Receive("front", Marshal(records), true)
	}})
}

func (n *nodes) setDeaf(deaf bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.deaf = deaf
}

// end lets engines end under a request at a front node.
func (n *nodes) end(front, request int, engines ...string) {
	for _, engine := range engines {
		n.fronts[front].Broke(context.Background(), Break{Engine: catalog.Engine{ID: engine}, Fingerprint: func() Fingerprint { return print(request) }})
	}
}

func holds(guard *Guard, request int) bool {
	_, held := guard.Held(func() Fingerprint { return print(request) })
	return held
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came true: " + what)
		}
	}
}

func (n *nodes) awaitHeld(t *testing.T, request int) {
	t.Helper()
	for i, guard := range append([]*Guard{n.data}, n.fronts...) {
		await(t, fmt.Sprint("node ", i, " holds it back"), func() bool { return holds(guard, request) })
	}
}

func TestEndsAtDifferentNodesAddUp(t *testing.T) {
	n := newNodes(t, 3)
	for front, engine := range []string{"a", "b", "c"} {
		n.end(front, 1, engine)
	}
	n.awaitHeld(t, 1)
	await(t, "the store has the record", func() bool { return n.store.has(print(1)) })
}

func TestABrokenConnectionToAnEngineThatIsUpCountsNothing(t *testing.T) {
	n := newNodes(t, 1)
	for i := range 5 {
		n.fronts[0].Broke(t.Context(), Break{
			Engine: catalog.Engine{ID: fmt.Sprint("e", i), Address: "up"}, Fingerprint: func() Fingerprint { return print(1) },
		})
	}
	if n.fronts[0].known.Load() {
		t.Error("a record was made")
	}
}

func TestOneEndIsNotWorthTheStore(t *testing.T) {
	n := newNodes(t, 1)
	n.end(0, 1, "a")
	n.end(0, 2, "a", "b")
	await(t, "the store has the record of two", func() bool { return n.store.has(print(2)) })
	if n.store.has(print(1)) {
		t.Error("the record of one end was written")
	}
}

func TestNodesHearOfARequestWhileTheStoreIsDown(t *testing.T) {
	n := newNodes(t, 2)
	n.store.setRefuses(true)
	n.end(0, 1, "a", "b", "c")
	n.awaitHeld(t, 1)
	n.store.setRefuses(false)
	await(t, "the store has the record", func() bool { return n.store.has(print(1)) })
}

func TestANodeThatReachesNoDataNodeWritesItself(t *testing.T) {
	n := newNodes(t, 2)
	n.setDeaf(true)
	n.end(0, 1, "a", "b", "c")
	n.awaitHeld(t, 1) // by way of the store
	n.setDeaf(false)
	n.end(1, 2, "a")
	n.end(0, 2, "b", "c")
	n.awaitHeld(t, 2)
}

// The data node that was told first may be turned away by the store for long: the others
// write what they heard from it.
func TestOtherDataNodesStandInForOneThatTheStoreTurnsAway(t *testing.T) {
	n := newNodes(t, 0)
	away := &fakeStore{table: NewTable(), refuses: true}
	other := n.data
	first := NewGuard(Options{
		Store: away, Now: time.Now, Ended: func(context.Context, catalog.Engine) bool { return true },
		Spread: func(records []Record, _ bool) { _ = other.Receive("first", Marshal(records), false) },
	})
	first.Start()
	t.Cleanup(first.Close)
	for _, engine := range []string{"a", "b", "c"} {
		first.Broke(t.Context(), Break{Engine: catalog.Engine{ID: engine}, Fingerprint: func() Fingerprint { return print(1) }})
	}
	told := time.Now()
	await(t, "the store has the record", func() bool { return n.store.has(print(1)) })
	if took := time.Since(told); took > reviewInterval {
		t.Errorf("after %v", took)
	}
}

func TestANodeThatStartsKnowsWhatTheStoreHas(t *testing.T) {
	n := newNodes(t, 1)
	n.end(0, 1, "a", "b", "c")
	await(t, "the store has the record", func() bool { return n.store.has(print(1)) })
	fresh := n.openFront(1)
	fresh.Learn(n.store.table.All())
	if !holds(fresh, 1) {
		t.Error("not held back")
	}
}

func TestARequestThatWasServedIsReleasedEverywhere(t *testing.T) {
	n := newNodes(t, 2)
	n.end(0, 1, "a", "b", "c")
	n.awaitHeld(t, 1)
	await(t, "the store has the record", func() bool { return n.store.has(print(1)) })
	n.fronts[1].Served(func() Fingerprint { return print(1) }) // it was under way
	await(t, "all release it", func() bool { return !holds(n.data, 1) && !holds(n.fronts[0], 1) && !holds(n.fronts[1], 1) })
	await(t, "the store drops it", func() bool { return !n.store.has(print(1)) })
}

func TestARecordThatAnOperatorDropsHoldsNothingBack(t *testing.T) {
	n := newNodes(t, 2)
	n.end(0, 1, "a", "b", "c")
	n.awaitHeld(t, 1)
	await(t, "the store has the record", func() bool { return n.store.has(print(1)) })
	_ = n.store.Remove(t.Context(), print(1))
	await(t, "all release it", func() bool { return !holds(n.data, 1) && !holds(n.fronts[0], 1) && !holds(n.fronts[1], 1) })
}
