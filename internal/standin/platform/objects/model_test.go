package objects

import (
	"encoding/json"
	"errors"
	"flag"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	if os.Getenv("CHUTELOCK_CAMPAIGN") == "" {
		_ = flag.Set("rapid.seed", "1")
	} else {
		_ = flag.Set("rapid.checks", "20000")
	}
	os.Exit(m.Run())
}

// watcher tracks the objects of one kind by list and watch, as a client does.
type watcher struct {
	kind     string
	objects  map[Key]Object
	revision uint64
}

// storeModel compares a store with a map.
type storeModel struct {
	store    *Store
	objects  map[Key]Object
	revision uint64
	watchers []*watcher
}

func drawKey(t *rapid.T) Key {
	return Key{
		Kind: rapid.SampledFrom([]string{"settings", "shards"}).Draw(t, "kind"),
		Name: rapid.SampledFrom([]string{"a", "a/b", "c"}).Draw(t, "name"),
	}
}

// drawRevision draws the current revision of the key, or any.
func (m *storeModel) drawRevision(t *rapid.T, key Key) uint64 {
	if rapid.Bool().Draw(t, "right") {
		return m.objects[key].Revision
	}
	return rapid.Uint64Range(0, m.revision+1).Draw(t, "revision")
}

func (m *storeModel) put(t *rapid.T) {
	key := drawKey(t)
	expected := m.drawRevision(t, key)
	spec := json.RawMessage(rapid.StringMatching(`[0-9]{1,3}`).Draw(t, "spec"))
	current, exists := m.objects[key]
	var want error
	switch {
	case !exists && expected != 0:
		want = ErrNotFound
	case current.Revision != expected:
		want = ErrConflict
	}
	written, err := m.store.Put(Object{Key: key, Revision: expected, Spec: spec})
	if !errors.Is(err, want) {
		t.Fatalf("put %v at %d over %d: %v, want %v", key, expected, current.Revision, err, want)
	}
	if want == nil {
		m.revision++
		m.objects[key] = Object{Key: key, Revision: m.revision, Spec: spec}
		if written.Revision != m.revision {
			t.Fatalf("revision %d, want %d", written.Revision, m.revision)
		}
	}
}

func (m *storeModel) delete(t *rapid.T) {
	key := drawKey(t)
	expected := m.drawRevision(t, key)
	current, exists := m.objects[key]
	var want error
	switch {
	case !exists:
		want = ErrNotFound
	case expected != 0 && current.Revision != expected:
		want = ErrConflict
	}
	if _, err := m.store.Delete(key, expected); !errors.Is(err, want) {
		t.Fatalf("delete %v: %v, want %v", key, err, want)
	}
	if want == nil {
		m.revision++
		delete(m.objects, key)
	}
}

func (m *storeModel) compact(t *rapid.T) {
	m.store.Compact(rapid.Uint64Range(0, m.revision+2).Draw(t, "compact"))
}

// catchUp updates a watcher, which lists again if its revision was compacted, and
// checks its objects.
func (m *storeModel) catchUp(t *rapid.T) {
	watched := m.watchers[rapid.IntRange(0, len(m.watchers)-1).Draw(t, "reader")]
	changes, revision, err := m.store.Since(watched.kind, watched.revision)
	if (err != nil) != (watched.revision < m.store.Compacted()) {
		t.Fatalf("since %d, compacted to %d: %v", watched.revision, m.store.Compacted(), err)
	}
	if err != nil {
		watched.objects = map[Key]Object{}
		for _, object := range m.store.List(watched.kind) {
			watched.objects[object.Key] = object
		}
		watched.revision = m.store.Revision()
	}
	for _, change := range changes {
		m.apply(t, watched, change)
	}
	if err == nil {
		watched.revision = revision
	}
	want := map[Key]Object{}
	for key, object := range m.objects {
		if key.Kind == watched.kind {
			want[key] = object
		}
	}
	if !maps.EqualFunc(watched.objects, want, equal) {
		t.Fatalf("watcher of %s has %v, want %v", watched.kind, watched.objects, want)
	}
}

func (m *storeModel) apply(t *rapid.T, watched *watcher, change Change) {
	if change.Object.Revision <= watched.revision {
		t.Fatalf("revision %d after %d", change.Object.Revision, watched.revision)
	}
	watched.revision = change.Object.Revision
	_, known := watched.objects[change.Object.Key]
	if known == (change.Type == Added) {
		t.Fatalf("%s of %v, known: %v", change.Type, change.Object.Key, known)
	}
	if change.Type == Deleted {
		delete(watched.objects, change.Object.Key)
		return
	}
	watched.objects[change.Object.Key] = change.Object
}

func equal(a, b Object) bool {
	return a.Key == b.Key && a.Revision == b.Revision && string(a.Spec) == string(b.Spec)
}

// Guards against lost updates, wrong revisions, and watches that miss or repeat a
// change.
func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{
			store:   NewStore(nil, 0, rapid.IntRange(1, 20).Draw(t, "history")),
			objects: map[Key]Object{},
			watchers: []*watcher{
				{kind: "settings", objects: map[Key]Object{}},
				{kind: "settings", objects: map[Key]Object{}},
				{kind: "shards", objects: map[Key]Object{}},
			},
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":     m.put,
			"again":   m.put,
			"delete":  m.delete,
			"compact": m.compact,
			"follow":  m.catchUp,
		})
	})
}

// Guards against a lease with two holders, and against two holders with equal epochs.
func TestLeasesMatchModel(t *testing.T) {
	const ttl = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		leases := NewLeases(nil)
		now := time.Unix(0, 0)
		var holder string
		var until time.Time
		var epoch uint64
		drawHolder := func(t *rapid.T) string { return rapid.SampledFrom([]string{"x", "y"}).Draw(t, "holder") }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			},
			"acquire": func(t *rapid.T) {
				claimant := drawHolder(t)
				held := holder != "" && now.Before(until)
				lease, err := leases.Acquire(now, "l", claimant, ttl)
				if (err != nil) != (held && holder != claimant) {
					t.Fatalf("%s acquires from %q until %v at %v: %v", claimant, holder, until, now, err)
				}
				if err != nil {
					return
				}
				if (lease.Epoch > epoch) == held {
					t.Fatalf("epoch %d after %d, held: %v", lease.Epoch, epoch, held)
				}
				holder, until, epoch = claimant, now.Add(ttl), lease.Epoch
			},
			"release": func(t *rapid.T) {
				claimant := drawHolder(t)
				_, err := leases.Release("l", claimant, epoch)
				if (err == nil) != (epoch > 0 && holder == claimant) {
					t.Fatalf("%s releases from %q: %v", claimant, holder, err)
				}
				if err == nil {
					holder = ""
				}
			},
		})
	})
}

// Guards against changes visible before the lag, and machines that outlive their TTL.
func TestMachineListLagsAndExpires(t *testing.T) {
	const lag = 2 * time.Second
	machines := NewMachines()
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	machines.Set(at(0), Machine{Name: "stays"}, 0)
	machines.Set(at(0), Machine{Name: "renews"}, 5*time.Second)
	machines.Set(at(0), Machine{Name: "dies"}, 5*time.Second)
	machines.Set(at(4), Machine{Name: "renews", Leaving: true}, 5*time.Second)
	machines.Remove(at(6), "unknown")
	for _, expected := range []struct {
		second int
		names  string
	}{
		{1, ""},
		{2, "dies renews stays "},
		{6, "dies renews! stays "},
		{7, "dies renews! stays "},
		{8, "renews! stays "},
		{20, "renews! stays "},
		{22, "stays "},
	} {
		names := ""
		for _, machine := range machines.List(at(expected.second), lag) {
			names += machine.Name
			if machine.Leaving {
				names += "!"
			}
			names += " "
		}
		if names != expected.names {
			t.Errorf("at %d s: %q, want %q", expected.second, names, expected.names)
		}
	}
}
