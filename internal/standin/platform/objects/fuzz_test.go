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

// reader follows one kind by list and watch, as a client does.
type reader struct {
	kind     string
	seen     map[Key]Object
	revision uint64
}

// storeModel is a plain map beside the store.
type storeModel struct {
	store    *Store
	objects  map[Key]Object
	revision uint64
	readers  []*reader
}

func drawKey(t *rapid.T) Key {
	return Key{
		Kind: rapid.SampledFrom([]string{"settings", "shards"}).Draw(t, "kind"),
		Name: rapid.SampledFrom([]string{"a", "a/b", "c"}).Draw(t, "name"),
	}
}

// drawRevision is right, or stale, or invented.
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
	present, exists := m.objects[key]
	var want error
	switch {
	case !exists && expected != 0:
		want = ErrNotFound
	case present.Revision != expected:
		want = ErrConflict
	}
	written, err := m.store.Put(Object{Key: key, Revision: expected, Spec: spec})
	if !errors.Is(err, want) {
		t.Fatalf("put %v at %d over %d: %v, want %v", key, expected, present.Revision, err, want)
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
	present, exists := m.objects[key]
	var want error
	switch {
	case !exists:
		want = ErrNotFound
	case expected != 0 && present.Revision != expected:
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

// follow brings a reader up to date; it may have to list again.
func (m *storeModel) follow(t *rapid.T) {
	followed := m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")]
	changes, revision, err := m.store.Since(followed.kind, followed.revision)
	if (err != nil) != (followed.revision < m.store.Compacted()) {
		t.Fatalf("since %d, compacted to %d: %v", followed.revision, m.store.Compacted(), err)
	}
	if err != nil {
		followed.seen = map[Key]Object{}
		for _, object := range m.store.List(followed.kind) {
			followed.seen[object.Key] = object
		}
		followed.revision = m.store.Revision()
	}
	for _, change := range changes {
		m.apply(t, followed, change)
	}
	if err == nil {
		followed.revision = revision
	}
	want := map[Key]Object{}
	for key, object := range m.objects {
		if key.Kind == followed.kind {
			want[key] = object
		}
	}
	if !maps.EqualFunc(followed.seen, want, equal) {
		t.Fatalf("reader of %s sees %v, want %v", followed.kind, followed.seen, want)
	}
}

func (m *storeModel) apply(t *rapid.T, followed *reader, change Change) {
	if change.Object.Revision <= followed.revision {
		t.Fatalf("revision %d after %d", change.Object.Revision, followed.revision)
	}
	followed.revision = change.Object.Revision
	_, known := followed.seen[change.Object.Key]
	if known == (change.Type == Added) {
		t.Fatalf("%s of %v, known: %v", change.Type, change.Object.Key, known)
	}
	if change.Type == Deleted {
		delete(followed.seen, change.Object.Key)
		return
	}
	followed.seen[change.Object.Key] = change.Object
}

func equal(a, b Object) bool {
	return a.Key == b.Key && a.Revision == b.Revision && string(a.Spec) == string(b.Spec)
}

func TestStoreAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{
			store:   NewStore(nil, 0, rapid.IntRange(1, 20).Draw(t, "history")),
			objects: map[Key]Object{},
			readers: []*reader{
				{kind: "settings", seen: map[Key]Object{}},
				{kind: "settings", seen: map[Key]Object{}},
				{kind: "shards", seen: map[Key]Object{}},
			},
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":     m.put,
			"again":   m.put,
			"delete":  m.delete,
			"compact": m.compact,
			"follow":  m.follow,
		})
	})
}

// TestLeasesAgainstHolder: nobody gets a lease that another holds, and the
// epoch tells any two holders apart.
func TestLeasesAgainstHolder(t *testing.T) {
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
				wanted := drawHolder(t)
				held := holder != "" && now.Before(until)
				lease, err := leases.Acquire(now, "l", wanted, ttl)
				if (err != nil) != (held && holder != wanted) {
					t.Fatalf("%s acquires from %q until %v at %v: %v", wanted, holder, until, now, err)
				}
				if err != nil {
					return
				}
				if (lease.Epoch > epoch) == held {
					t.Fatalf("epoch %d after %d, held: %v", lease.Epoch, epoch, held)
				}
				holder, until, epoch = wanted, now.Add(ttl), lease.Epoch
			},
			"release": func(t *rapid.T) {
				wanted := drawHolder(t)
				_, err := leases.Release("l", wanted, epoch)
				if (err == nil) != (epoch > 0 && holder == wanted) {
					t.Fatalf("%s releases from %q: %v", wanted, holder, err)
				}
				if err == nil {
					holder = ""
				}
			},
		})
	})
}

func TestMachinesLagAndExpire(t *testing.T) {
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
