package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/clock"
)

// Guards against a reader that counts as behind for good: Since gives it a delta of which it isn't told.
func TestAgentReportsChangesUntilReadersAreUpToDate(t *testing.T) {
	present := Object{Name: "a", Revision: 3}
	for _, test := range []struct {
		name  string
		delta Delta
		told  bool
	}{
		{"nothing changed", Delta{Since: 3, Revision: 9}, false},
		{"an object changed", Delta{Since: 3, Revision: 9, Objects: []Object{{Name: "a", Revision: 9}}}, true},
		{"an object came and went", Delta{Since: 3, Revision: 9, Objects: []Object{{Name: "b", Revision: 9, Gone: true}}}, true},
		{"a snapshot without a change", Delta{IsSnapshot: true, Revision: 9, Objects: []Object{present}}, true},
	} {
		for _, confirmedBefore := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				var observed uint64
				var agent *Agent
				told := 0
				agent = New(Options{
					Self: Node{Name: "d"}, DataNode: true, Kinds: []Kind{{Name: kind, MaxStaleness: time.Second}}, Receiver: &fakeHost{},
					Changed: func(string) { observed, told = agent.revision(kind), told+1 },
				})
				merge := func(delta Delta) {
					delta.Kind = kind
					agent.merge("peer", delta, clock.Now())
				}
				merge(Delta{IsSnapshot: true, Revision: 3, Objects: []Object{present}})
				if confirmedBefore {
					merge(Delta{Since: 3, Revision: test.delta.Revision - 1})
				}
				told = 0
				merge(test.delta)
				g.Expect(told > 0).To(gomega.Equal(test.told))
				delta, known := agent.Since(kind, observed)
				g.Expect(known).To(gomega.BeTrue())
				g.Expect(delta.IsSnapshot).To(gomega.BeFalse())
				g.Expect(delta.Objects).To(gomega.BeEmpty())
			})
		}
	}
}

func TestSnapshotTellsHowLongObjectsWereUnwatched(t *testing.T) {
	g := gomega.NewWithT(t)
	agent := New(Options{Self: Node{Name: "d"}, DataNode: true, Kinds: []Kind{{Name: kind, MaxStaleness: time.Second}}, Receiver: &fakeHost{}})
	start := clock.Now()
	merge := func(second int, delta Delta) time.Duration {
		delta.Kind = kind
		agent.merge("peer", delta, start.Add(time.Duration(second)*time.Second))
		return agent.TakeUnwatched(kind)
	}
	g.Expect(merge(0, Delta{IsSnapshot: true, Revision: 3})).To(gomega.BeZero(), "nothing was known before")
	g.Expect(merge(5, Delta{Since: 3, Revision: 4})).To(gomega.BeZero(), "changes leave a trace")
	g.Expect(merge(8, Delta{IsSnapshot: true, Revision: 9})).To(gomega.Equal(3 * time.Second))
	g.Expect(merge(20, Delta{IsSnapshot: true, Revision: 7})).To(gomega.BeZero(), "an old snapshot is ignored")
	g.Expect(merge(7, Delta{IsSnapshot: true, Revision: 10})).To(gomega.BeZero())
}

func TestOverwrittenStatesCountAsUnwatched(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, states := range []bool{false, true} {
		agent := New(Options{Self: Node{Name: "d"}, DataNode: true, Kinds: []Kind{{Name: kind, MaxStaleness: time.Second, States: states}}, Receiver: &fakeHost{}})
		start := clock.Now()
		agent.merge("list", Delta{Kind: kind, IsSnapshot: true, Revision: 3, Objects: []Object{{Name: "a", Revision: 2}}}, start)
		agent.merge("watch", Delta{Kind: kind, Since: 3, Revision: 5}, start.Add(time.Second))
		agent.merge("watch", Delta{Kind: kind, Since: 5, Revision: 9, Objects: []Object{{Name: "a", Revision: 8}}}, start.Add(4*time.Second))
		g.Expect(agent.TakeUnwatched(kind)).To(gomega.Equal(map[bool]time.Duration{true: 3 * time.Second}[states]))
	}
}

// Guards against a history of the store that is lost while nothing changed: the agent must tell that its copy
// was replaced, as those who read changes from it have to begin anew.
func TestAgentTellsOfListsThatReplaceItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(3, 1)
		defer fleet.close()
		time.Sleep(settleTime)
		data := fleet.agents["data-00"]
		read := data.revision(kind)
		told := 0
		data.options.Changed = func(string) { told++ }
		fleet.store.mutex.Lock()
		fleet.store.model.revision += 10 // objects of other kinds change
		fleet.store.mutex.Unlock()
		fleet.store.compact()
		time.Sleep(settleTime)
		delta, known := data.Since(kind, read)
		if known && delta.IsSnapshot && told == 0 {
			t.Errorf("what changed after revision %d can't be told any more, and Changed was not called", read)
		}
	})
}
