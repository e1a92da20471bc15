package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const kind = "things"

func names(objects []Object) map[string]string {
	result := map[string]string{}
	for _, object := range objects {
		result[object.Name] = string(object.Content)
	}
	return result
}

func TestMergeIgnoresDeltaWithGap(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable([]string{kind})
	g.Expect(table.Merge(Delta{Kind: kind, Since: 5, Revision: 9, Objects: []Object{{Name: "a", Revision: 7}}})).To(gomega.BeFalse())
	g.Expect(table.Revision(kind)).To(gomega.BeZero())
	g.Expect(table.Merge(Delta{Kind: kind, IsSnapshot: true, Revision: 9, Objects: []Object{{Name: "a", Revision: 7}}})).To(gomega.BeTrue())
	g.Expect(table.Merge(Delta{Kind: kind, IsSnapshot: true, Revision: 8})).To(gomega.BeFalse(), "an older snapshot must not remove objects")
	g.Expect(table.Objects(kind)).To(gomega.HaveLen(1))
}

func TestOldDeltaDoesNotRestoreRemovedObject(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable([]string{kind})
	table.Merge(Delta{Kind: kind, IsSnapshot: true, Revision: 5, Objects: []Object{{Name: "a", Revision: 4}}})
	table.Merge(Delta{Kind: kind, Since: 5, Revision: 6, Objects: []Object{{Name: "a", Revision: 6, Gone: true}}})
	g.Expect(table.Objects(kind)).To(gomega.BeEmpty())
	table.Merge(Delta{Kind: kind, Since: 3, Revision: 6, Objects: []Object{{Name: "a", Revision: 4}}})
	g.Expect(table.Objects(kind)).To(gomega.BeEmpty())
	table.Merge(Delta{Kind: kind, Since: 6, Revision: 8, Objects: []Object{{Name: "a", Revision: 8}}})
	g.Expect(table.Objects(kind)).To(gomega.HaveLen(1))
}

// storeModel is the oracle: a store with its complete history.
type storeModel struct {
	revision uint64
	objects  map[string]Object
	history  []Object
}

func (s *storeModel) put(name string) {
	s.revision++
	object := Object{Name: name, Revision: s.revision, Content: fmt.Appendf(nil, "%s at %d", name, s.revision)}
	s.objects[name] = object
	s.history = append(s.history, object)
}

func (s *storeModel) remove(name string) {
	if _, found := s.objects[name]; !found {
		return
	}
	s.revision++
	delete(s.objects, name)
	s.history = append(s.history, Object{Name: name, Revision: s.revision, Gone: true})
}

func (s *storeModel) list() Delta {
	delta := Delta{Kind: kind, IsSnapshot: true, Revision: s.revision}
	for _, object := range s.objects {
		delta.Objects = append(delta.Objects, object)
	}
	return delta
}

func (s *storeModel) since(revision uint64) Delta {
	delta := Delta{Kind: kind, Since: revision, Revision: s.revision}
	latest := map[string]Object{}
	for _, object := range s.history {
		if object.Revision > revision {
			latest[object.Name] = object
		}
	}
	for _, object := range latest {
		delta.Objects = append(delta.Objects, object)
	}
	return delta
}

// stateAt returns the objects that the store held at a revision.
func (s *storeModel) stateAt(revision uint64) map[string]string {
	state := map[string]string{}
	for _, object := range s.history {
		if object.Revision > revision {
			break
		}
		if object.Gone {
			delete(state, object.Name)
		} else {
			state[object.Name] = string(object.Content)
		}
	}
	return state
}

// Tables that read the store and each other in any order, with late and repeated deltas, must
// match the store's state at their revision.
func TestTablesMatchStoreAtTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{objects: map[string]Object{}}
		store.put("first")
		tables := []*Table{NewTable([]string{kind}), NewTable([]string{kind}), NewTable([]string{kind})}
		var sent []Delta
		pick := func() *Table { return tables[rapid.IntRange(0, 2).Draw(t, "table")] }
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { store.put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")) },
			"remove": func(t *rapid.T) { store.remove(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")) },
			"list":   func(t *rapid.T) { pick().Merge(store.list()) },
			"watch": func(t *rapid.T) {
				table := pick()
				if table.Revision(kind) > 0 {
					table.Merge(store.since(table.Revision(kind)))
				}
			},
			"pull": func(t *rapid.T) {
				from, to := pick(), pick()
				if delta, newer := from.Since(kind, to.Revision(kind)); newer {
					sent = append(sent, delta)
					to.Merge(delta)
				}
			},
			"repeat": func(t *rapid.T) {
				if len(sent) > 0 {
					pick().Merge(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "late")])
				}
			},
			"": func(t *rapid.T) {
				for i, table := range tables {
					if table.Revision(kind) == 0 {
						continue
					}
					want := store.stateAt(table.Revision(kind))
					if got := names(table.Objects(kind)); fmt.Sprint(got) != fmt.Sprint(want) {
						t.Fatalf("table %d at revision %d holds %v, the store held %v", i, table.Revision(kind), got, want)
					}
				}
			},
		})
	})
}

func TestPullMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := pullResponse{
		nodes: []Node{{Name: "n", Address: "1.2.3.4:5", Zone: "z", Region: "r", Started: 7}},
		deltas: []responseDelta{{age: 70 * time.Millisecond, Delta: Delta{Kind: kind, Revision: 9, Since: 3, IsSnapshot: true, Objects: []Object{
			{Name: "a", Revision: 4, Content: []byte("x")}, {Name: "b", Revision: 5, Gone: true, Content: []byte{}},
		}}}},
	}
	got, err := unmarshalPullResponse(sent.marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.nodes).To(gomega.Equal(sent.nodes))
	g.Expect(got.deltas[0].Objects[0]).To(gomega.Equal(sent.deltas[0].Objects[0]))
	g.Expect(got.deltas[0].Objects[1].Gone).To(gomega.BeTrue())
	g.Expect(got.deltas[0].age).To(gomega.Equal(sent.deltas[0].age))
	request := pullRequest{wait: 5 * time.Millisecond, kinds: map[string]position{kind: {revision: 3, age: time.Second}}, nodes: sent.nodes, nodesDigest: 9}
	decoded, err := unmarshalPull(request.marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(request))
	// Truncate within the fixed part, within the first field's length, and one byte before the end.
	for _, cut := range []int{0, 3, 7, len(request.marshal()) - 1} {
		_, err := unmarshalPull(request.marshal()[:cut])
		g.Expect(err).To(gomega.HaveOccurred(), "truncated at %d", cut)
	}
}
