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

// shardState is the expected or observed content of a shard on disk.
type shardState struct {
	hard      replication.HardState
	marker    replication.SnapshotMarker
	first     uint64
	terms     []uint64 // of the entries, starting at first
	data      map[string]string
	destroyed int
}

func (s shardState) last() uint64 { return s.first + uint64(len(s.terms)) - 1 }

func (s shardState) clone() shardState {
	s.terms = slices.Clone(s.terms)
	s.data = maps.Clone(s.data)
	return s
}

func (s shardState) String() string {
	return fmt.Sprintf("%+v %d %d first %d terms %v data %v destroyed %d",
		s.hard, s.marker.Index, s.marker.Term, s.first, s.terms, s.data, s.destroyed)
}

// observe reads the shard's content from the store.
func observe(t rapid.TB, shard *Shard, incarnation uint64) shardState {
	var seen shardState
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
	seen.data = map[string]string{}
	err = view.Scan(nil, nil, func(key, value []byte) (bool, error) {
		seen.data[string(key)] = string(value)
		return true, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	seen.destroyed = int(shard.Incarnation() - incarnation)
	return seen
}

// crashMachine runs random operations on a shard and records each state since
// the last durable one: after a crash the disk must hold one of them.
type crashMachine struct {
	fs          *vfs.MemFS
	store       *Store
	shard       *Shard
	incarnation uint64
	history     []shardState // the first one is durable

	// A crash during the last sync may restore any state since the sync before
	// it, so the states and file systems of both are kept.
	historyBeforeSync []shardState
	atSync            *vfs.MemFS
	beforeSync        *vfs.MemFS
}

func (m *crashMachine) open(t *rapid.T) {
	store, err := Open(Options{Folder: "ledger", FS: m.fs, Reserve: 1})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	m.store = store
	m.beforeSync, m.atSync = nil, m.fs.CrashClone(vfs.CrashCloneCfg{})
	m.shard, err = store.OpenShard(3)
	if err != nil {
		t.Fatalf("open the shard: %v", err)
	}
}

func (m *crashMachine) current() shardState { return m.history[len(m.history)-1].clone() }

func (m *crashMachine) recordStep(t *rapid.T, next shardState, synced bool, err error) {
	if err != nil {
		t.Fatal(err)
	}
	m.history = append(m.history, next)
	if synced {
		m.historyBeforeSync = m.history[:len(m.history)-1]
		m.history = m.history[len(m.history)-1:]
		m.beforeSync, m.atSync = m.atSync, m.fs.CrashClone(vfs.CrashCloneCfg{})
	}
}

func (m *crashMachine) save(t *rapid.T) {
	next := m.current()
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
	m.recordStep(t, next, sync, m.shard.Save(&hard, entries, sync))
}

func (m *crashMachine) apply(t *rapid.T) {
	next := m.current()
	if next.marker.Index >= next.hard.Commit {
		t.Skip("nothing to apply")
	}
	next.marker.Index = rapid.Uint64Range(next.marker.Index+1, next.hard.Commit).Draw(t, "index")
	next.marker.Term = next.terms[next.marker.Index-next.first]
	transaction := m.shard.NewTransaction()
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	value := fmt.Sprint(next.marker.Index)
	next.data[key] = value
	if err := transaction.Set([]byte(key), []byte(value)); err != nil {
		t.Fatal(err)
	}
	if rapid.Bool().Draw(t, "delete") {
		delete(next.data, "b")
		delete(next.data, "c")
		if err := transaction.DeleteRange([]byte("b"), nil); err != nil {
			t.Fatal(err)
		}
	}
	m.recordStep(t, next, false, m.shard.CommitApplied(transaction, next.marker, false))
}

func (m *crashMachine) compact(t *rapid.T) {
	next := m.current()
	if next.marker.Index < next.first {
		t.Skip("nothing to compact")
	}
	index := rapid.Uint64Range(next.first, next.marker.Index).Draw(t, "index")
	next.terms = next.terms[index+1-next.first:]
	next.first = index + 1
	m.recordStep(t, next, false, m.shard.Compact(index))
}

// install replaces the shard's content by a snapshot of another shard.
func (m *crashMachine) install(t *rapid.T) {
	next := m.current()
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
	next.data = map[string]string{"a": value}
	hard := next.hard
	m.recordStep(t, next, true, m.shard.InstallSnapshot(staging, &hard))
}

func (m *crashMachine) destroyReplica(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "skip unless zero") > 0 {
		t.Skip("destroyed in few draws only")
	}
	next := shardState{first: 1, data: map[string]string{}, destroyed: m.current().destroyed + 1}
	m.recordStep(t, next, true, m.shard.Destroy())
}

// crash simulates a power loss that keeps none, part or all of the unsynced data.
func (m *crashMachine) crash(t *rapid.T) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	percent := rapid.SampledFrom([]int{0, 20, 60, 100, 100, 100, 100}).Draw(t, "percent")
	crashed := m.fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: random})
	if percent == 100 && m.beforeSync != nil {
		truncateLogs(t, m.beforeSync, crashed)
		m.history = append(m.historyBeforeSync, m.history...)
	}
	if err := m.store.Close(); err != nil {
		t.Fatal(err)
	}
	m.fs = crashed
	m.open(t)
	if m.store.Incarnation() != m.incarnation {
		t.Fatal("the folder's incarnation changed in a crash")
	}
	m.recover(t)
}

// truncateLogs cuts each write-ahead log at a random point after its synced
// content, and restores the watermark as of that sync.
func truncateLogs(t *rapid.T, synced, crashed *vfs.MemFS) {
	setFileContent(crashed, watermarkFile, fileContent(synced, watermarkFile))
	names, err := crashed.List("ledger")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ".log") {
			continue
		}
		syncedContent, content := fileContent(synced, name), fileContent(crashed, name)
		cut := rapid.IntRange(min(len(syncedContent), len(content)), len(content)).Draw(t, "cut")
		setFileContent(crashed, name, content[:cut])
	}
}

func setFileContent(fs *vfs.MemFS, name string, content []byte) {
	file, err := fs.Create("ledger/"+name, vfs.WriteCategoryUnspecified)
	if err != nil {
		panic(err)
	}
	_, _ = file.Write(slices.Clone(content)) // pebble overwrites written buffers in race builds
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

// recover checks that the disk holds a recorded state and continues from it.
func (m *crashMachine) recover(t *rapid.T) {
	seen := observe(t, m.shard, m.incarnation)
	for _, expected := range m.history {
		if seen.String() == expected.String() {
			m.history = []shardState{expected}
			return
		}
	}
	t.Fatalf("recovered state\n%v\nis none of the states that the crash allows:\n%v", seen, m.history)
}

func (m *crashMachine) check(t *rapid.T) {
	if seen, expected := observe(t, m.shard, m.incarnation), m.current(); seen.String() != expected.String() {
		t.Fatalf("got state\n%v\nwant\n%v", seen, expected)
	}
}

// Guards against losing synced writes, or recovering a partial write, after a
// crash.
func TestCrashKeepsSyncedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &crashMachine{fs: vfs.NewCrashableMem()}
		m.open(t)
		m.incarnation = m.store.Incarnation()
		m.history = []shardState{{first: 1, data: map[string]string{}}}
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

// Truncates the write-ahead log at each byte after the first sync: the shard
// must recover to its state after one of the writes, never to part of one.
func TestTornLogTailRecoversEarlierState(t *testing.T) {
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
	var synced *vfs.MemFS
	for i, step := range steps {
		g.Expect(step()).To(gomega.Succeed())
		allowed = append(allowed, observe(t, shard, store.Incarnation()).String())
		if i == 0 {
			synced = fs.CrashClone(vfs.CrashCloneCfg{})
		}
	}
	full := fs.CrashClone(vfs.CrashCloneCfg{})
	name := newestLog(full)
	content := fileContent(full, name)
	seen := map[string]bool{}
	for cut := len(fileContent(synced, name)); cut <= len(content); cut++ {
		torn := full.CrashClone(vfs.CrashCloneCfg{})
		setFileContent(torn, name, content[:cut])
		setFileContent(torn, watermarkFile, fileContent(synced, watermarkFile))
		state := recoveredState(t, g, torn, store.Incarnation())
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

func recoveredState(t rapid.TB, g *gomega.WithT, fs *vfs.MemFS, incarnation uint64) string {
	store, err := Open(Options{Folder: "ledger", FS: fs, Reserve: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer store.Close()
	g.Expect(store.Incarnation()).To(gomega.Equal(incarnation))
	shard, err := store.OpenShard(3)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return observe(t, shard, incarnation).String()
}
