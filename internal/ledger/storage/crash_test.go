package storage

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/ledger/replication"
)

// state is what a shard on disk should hold: the oracle of the crash test.
type state struct {
	hard    replication.HardState
	marker  replication.SnapshotMarker
	first   uint64
	terms   []uint64 // of the entries from first on
	machine map[string]string
	destroy int
}

func (s state) last() uint64 { return s.first + uint64(len(s.terms)) - 1 }

func (s state) clone() state {
	s.terms = slices.Clone(s.terms)
	s.machine = maps.Clone(s.machine)
	return s
}

func (s state) String() string {
	return fmt.Sprintf("%+v %d %d first %d terms %v machine %v destroyed %d",
		s.hard, s.marker.Index, s.marker.Term, s.first, s.terms, s.machine, s.destroy)
}

// observe reads the same from the disk.
func observe(t rapid.TB, shard *Shard, incarnation uint64) state {
	var seen state
	var err error
	seen.hard, _ = shard.HardState()
	seen.marker, _ = shard.Snapshot()
	seen.first, _ = shard.FirstIndex()
	last, _ := shard.LastIndex()
	if last >= seen.first {
		entries, err := shard.Entries(seen.first, last+1, 1<<30)
		if err != nil || uint64(len(entries)) != last+1-seen.first {
			t.Fatalf("%d entries from %d to %d: %v", len(entries), seen.first, last, err)
		}
		for _, entry := range entries {
			seen.terms = append(seen.terms, entry.Term)
		}
	}
	view, err := shard.NewView()
	if err != nil {
		t.Fatal(err)
	}
	defer view.Close()
	seen.machine = map[string]string{}
	err = view.Scan(nil, nil, func(key, value []byte) (bool, error) {
		seen.machine[string(key)] = string(value)
		return true, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	seen.destroy = int(shard.Incarnation() - incarnation)
	return seen
}

// crashMachine drives a shard, and remembers each state since the last that
// is certainly durable: after a crash the disk must hold one of them.
type crashMachine struct {
	fs          *vfs.MemFS
	store       *Store
	shard       *Shard
	incarnation uint64
	history     []state // the first one is durable

	// earlier and durable tell what was so before the last sync: a crash
	// within that sync may fall back to any state since then.
	earlier []state
	durable *vfs.MemFS
	floor   *vfs.MemFS
}

func (m *crashMachine) open(t *rapid.T) {
	store, err := Open(Options{Folder: "ledger", FS: m.fs, Reserve: 1})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	m.store = store
	m.floor, m.durable = nil, m.fs.CrashClone(vfs.CrashCloneCfg{})
	m.shard, err = store.OpenShard(3)
	if err != nil {
		t.Fatalf("open the shard: %v", err)
	}
}

func (m *crashMachine) now() state { return m.history[len(m.history)-1].clone() }

func (m *crashMachine) did(t *rapid.T, next state, synced bool, err error) {
	if err != nil {
		t.Fatal(err)
	}
	m.history = append(m.history, next)
	if synced {
		m.earlier = m.history[:len(m.history)-1]
		m.history = m.history[len(m.history)-1:]
		m.floor, m.durable = m.durable, m.fs.CrashClone(vfs.CrashCloneCfg{})
	}
}

func (m *crashMachine) save(t *rapid.T) {
	next := m.now()
	low := max(next.first, next.hard.Commit+1, next.marker.Index+1)
	from := rapid.Uint64Range(low, max(low, next.last()+1)).Draw(t, "from")
	count := rapid.IntRange(0, 5).Draw(t, "count")
	if from > next.last()+1 {
		t.Skip("nothing can be replaced")
	}
	next.hard.Term += rapid.Uint64Range(0, 1).Draw(t, "term")
	var entries []replication.Entry
	if count > 0 {
		next.terms = next.terms[:from-next.first]
	}
	for i := range uint64(count) {
		data := make([]byte, rapid.SampledFrom([]int{0, 10, 10, 10, 5000}).Draw(t, "size"))
		entries = append(entries, replication.Entry{Index: from + i, Term: next.hard.Term, Data: data})
		next.terms = append(next.terms, next.hard.Term)
	}
	next.hard.Commit = rapid.Uint64Range(next.hard.Commit, max(next.hard.Commit, next.last())).Draw(t, "commit")
	sync := rapid.Bool().Draw(t, "sync")
	hard := next.hard
	m.did(t, next, sync, m.shard.Save(&hard, entries, sync))
}

func (m *crashMachine) apply(t *rapid.T) {
	next := m.now()
	if next.marker.Index >= next.hard.Commit {
		t.Skip("nothing to apply")
	}
	next.marker.Index = rapid.Uint64Range(next.marker.Index+1, next.hard.Commit).Draw(t, "index")
	next.marker.Term = next.terms[next.marker.Index-next.first]
	transaction := m.shard.NewTransaction()
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	value := fmt.Sprint(next.marker.Index)
	next.machine[key] = value
	if err := transaction.Set([]byte(key), []byte(value)); err != nil {
		t.Fatal(err)
	}
	if rapid.Bool().Draw(t, "delete") {
		delete(next.machine, "b")
		delete(next.machine, "c")
		if err := transaction.DeleteRange([]byte("b"), nil); err != nil {
			t.Fatal(err)
		}
	}
	m.did(t, next, false, m.shard.CommitApplied(transaction, next.marker, false))
}

func (m *crashMachine) compact(t *rapid.T) {
	next := m.now()
	if next.marker.Index < next.first {
		t.Skip("nothing to compact")
	}
	index := rapid.Uint64Range(next.first, next.marker.Index).Draw(t, "index")
	next.terms = next.terms[index+1-next.first:]
	next.first = index + 1
	m.did(t, next, false, m.shard.Compact(index))
}

// install replaces everything by the state of another shard.
func (m *crashMachine) install(t *rapid.T) {
	next := m.now()
	other, err := Open(Options{Folder: "other", FS: vfs.NewMem(), Reserve: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	source, err := other.OpenShard(9)
	if err != nil {
		t.Fatal(err)
	}
	transaction := source.NewTransaction()
	value := rapid.StringMatching("[a-z]{1,9}").Draw(t, "value")
	_ = transaction.Set([]byte("a"), []byte(value))
	marker := replication.SnapshotMarker{Index: next.last() + 3, Term: next.hard.Term}
	if err := source.CommitApplied(transaction, marker, false); err != nil {
		t.Fatal(err)
	}
	view, err := source.NewView()
	if err != nil {
		t.Fatal(err)
	}
	defer view.Close()
	staging, err := m.shard.Stage(marker)
	if err != nil {
		t.Fatal(err)
	}
	for !staging.Complete() {
		chunk, err := view.Chunk(staging.After(), 10)
		if err != nil || staging.Add(chunk) != nil {
			t.Fatal("transfer failed", err)
		}
	}
	if rapid.Bool().Draw(t, "abandon") {
		return
	}
	next.marker, next.first, next.terms = marker, marker.Index+1, nil
	next.hard.Commit = marker.Index
	next.machine = map[string]string{"a": value}
	hard := next.hard
	m.did(t, next, true, m.shard.InstallSnapshot(staging, &hard))
}

func (m *crashMachine) destroyReplica(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "often enough") > 0 {
		t.Skip("seldom")
	}
	next := state{first: 1, machine: map[string]string{}, destroy: m.now().destroy + 1}
	m.did(t, next, true, m.shard.Destroy())
}

// crash cuts the power: what was not synced is there in part or not at all.
func (m *crashMachine) crash(t *rapid.T) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	percent := rapid.SampledFrom([]int{0, 20, 60, 100, 100, 100, 100}).Draw(t, "percent")
	crashed := m.fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: random})
	if percent == 100 && m.floor != nil {
		tearLogs(t, m.floor, crashed)
		m.history = append(m.earlier, m.history...)
	}
	if err := m.store.Close(); err != nil {
		t.Fatal(err)
	}
	m.fs = crashed
	m.open(t)
	if m.store.Incarnation() != m.incarnation {
		t.Fatal("the folder has lost its identity")
	}
	m.recover(t)
}

// tearLogs cuts each write-ahead log anywhere behind what synced holds of it.
// The watermark is as old as that, too.
func tearLogs(t *rapid.T, synced, crashed *vfs.MemFS) {
	setFileContent(crashed, watermarkFile, fileContent(synced, watermarkFile))
	names, err := crashed.List("ledger")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ".log") {
			continue
		}
		kept, all := fileContent(synced, name), fileContent(crashed, name)
		cut := rapid.IntRange(min(len(kept), len(all)), len(all)).Draw(t, "cut")
		setFileContent(crashed, name, all[:cut])
	}
}

func setFileContent(fs *vfs.MemFS, name string, content []byte) {
	file, err := fs.Create("ledger/"+name, vfs.WriteCategoryUnspecified)
	if err != nil {
		panic(err)
	}
	_, _ = file.Write(slices.Clone(content)) // pebble spoils it in race builds
	_ = file.Sync()
	_ = file.Close()
}

func fileContent(fs *vfs.MemFS, name string) []byte {
	file, err := fs.Open("ledger/" + name)
	if err != nil {
		return nil
	}
	defer file.Close()
	content, _ := io.ReadAll(file)
	return content
}

// recover finds the state that outlived the crash.
func (m *crashMachine) recover(t *rapid.T) {
	seen := observe(t, m.shard, m.incarnation)
	for _, expected := range m.history {
		if seen.String() == expected.String() {
			m.history = []state{expected}
			return
		}
	}
	t.Fatalf("the disk holds a state that never was, or lost what was synced:\n%v\nof\n%v", seen, m.history)
}

func (m *crashMachine) check(t *rapid.T) {
	if seen, expected := observe(t, m.shard, m.incarnation), m.now(); seen.String() != expected.String() {
		t.Fatalf("the shard shows\n%v\ninstead of\n%v", seen, expected)
	}
}

func TestNothingSyncedIsLostInACrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &crashMachine{fs: vfs.NewCrashableMem()}
		m.open(t)
		m.incarnation = m.store.Incarnation()
		m.history = []state{{first: 1, machine: map[string]string{}}}
		defer func() { _ = m.store.Close() }()
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"save":    m.save,
			"apply":   m.apply,
			"compact": m.compact,
			"install": m.install,
			"destroy": m.destroyReplica,
			"crash":   m.crash,
		})
	})
}

// TestTornTailAtEveryByte cuts the write-ahead log at each byte of a few
// writes: the shard must be as it was after one of them.
func TestTornTailAtEveryByte(t *testing.T) {
	g := gomega.NewWithT(t)
	fs := vfs.NewCrashableMem()
	store, err := Open(Options{Folder: "ledger", FS: fs, Reserve: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer store.Close()
	shard, err := store.OpenShard(3)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	entry := func(index uint64) replication.Entry {
		return replication.Entry{Index: index, Term: 1, Data: []byte("data")}
	}
	transaction := shard.NewTransaction()
	g.Expect(transaction.Set([]byte("a"), []byte("1"))).To(gomega.Succeed())
	steps := []func() error{
		func() error {
			return shard.Save(&replication.HardState{Term: 1, Commit: 2}, []replication.Entry{entry(1), entry(2)}, true)
		},
		func() error {
			return shard.CommitApplied(transaction, replication.SnapshotMarker{Index: 2, Term: 1}, false)
		},
		func() error { return shard.Compact(1) },
		func() error {
			return shard.Save(&replication.HardState{Term: 2, Commit: 2}, []replication.Entry{entry(3)}, true)
		},
	}
	var allowed []string
	var floor *vfs.MemFS
	for i, step := range steps {
		g.Expect(step()).To(gomega.Succeed())
		allowed = append(allowed, observe(t, shard, store.Incarnation()).String())
		if i == 0 {
			floor = fs.CrashClone(vfs.CrashCloneCfg{})
		}
	}
	full := fs.CrashClone(vfs.CrashCloneCfg{})
	name := newestLog(full)
	content := fileContent(full, name)
	seen := map[string]bool{}
	for cut := len(fileContent(floor, name)); cut <= len(content); cut++ {
		torn := full.CrashClone(vfs.CrashCloneCfg{})
		setFileContent(torn, name, content[:cut])
		setFileContent(torn, watermarkFile, fileContent(floor, watermarkFile))
		state := reopen(t, g, torn, store.Incarnation())
		g.Expect(allowed).To(gomega.ContainElement(state), "cut at byte %d", cut)
		seen[state] = true
	}
	g.Expect(seen).To(gomega.HaveLen(len(allowed)))
}

func newestLog(fs *vfs.MemFS) string {
	names, _ := fs.List("ledger")
	names = slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, ".log") })
	return slices.Max(names)
}

func reopen(t rapid.TB, g *gomega.WithT, fs *vfs.MemFS, incarnation uint64) string {
	store, err := Open(Options{Folder: "ledger", FS: fs, Reserve: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer store.Close()
	g.Expect(store.Incarnation()).To(gomega.Equal(incarnation))
	shard, err := store.OpenShard(3)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return observe(t, shard, incarnation).String()
}
