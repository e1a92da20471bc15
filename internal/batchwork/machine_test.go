package batchwork

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/ledger"
)

// memoryStore is an in-memory ledger.Writer.
type memoryStore map[string][]byte

var _ ledger.Writer = memoryStore{}

func (m memoryStore) Get(k []byte) ([]byte, bool, error) {
	value, found := m[string(k)]
	return value, found, nil
}

func (m memoryStore) Scan(from, to []byte, visit func(k, value []byte) (bool, error)) error {
	keys := make([]string, 0, len(m))
	for k := range m {
		if k >= string(from) && k < string(to) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		more, err := visit([]byte(k), m[k])
		if err != nil || !more {
			return err
		}
	}
	return nil
}

func (m memoryStore) Set(k, value []byte) error {
	m[string(k)] = bytes.Clone(value)
	return nil
}

func (m memoryStore) Delete(k []byte) error {
	delete(m, string(k))
	return nil
}

func (m memoryStore) DeleteRange(from, to []byte) error {
	for k := range m {
		if k >= string(from) && k < string(to) {
			delete(m, k)
		}
	}
	return nil
}

var submitted = time.UnixMilli(1_700_000_000_000)

func testJob(id string, items int, bound int64) *Job {
	job := &Job{
		ID: id, Host: "h", Path: "/p/" + id, Route: "r", QueuedTokens: bound, Retention: time.Minute,
		Completion: 20 * time.Second, Submitted: submitted,
	}
	for i := range items {
		job.Items = append(job.Items, Item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/x", Header: []string{"Name", "value"}, Body: []byte(fmt.Sprint("body ", i)), Tokens: 10,
		})
	}
	return job
}

func apply(g *gomega.WithT, m *Machine, store memoryStore, entry []byte) byte {
	answer, err := m.Apply(store, 1, entry)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return answer[0]
}

func TestMachineAcceptsJobOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	g.Expect(apply(g, m, store, encodeSubmit(testJob("a", 3, 0)))).To(gomega.BeEquivalentTo(answerDone))
	before := len(store)
	g.Expect(apply(g, m, store, encodeSubmit(testJob("a", 3, 0)))).To(gomega.BeEquivalentTo(answerDone))
	g.Expect(store).To(gomega.HaveLen(before))
	body, err := readBody(store, "a", "a-2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("body 2"))
	_, err = readBody(store, "a", "a-3")
	g.Expect(err).To(gomega.MatchError(ErrNoJob))
	_, err = readDecompressed(m, store, "b", 0)
	g.Expect(err).To(gomega.MatchError(ErrNoJob))
}

func TestMachineRejectsJobOverQueueBound(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	g.Expect(apply(g, m, store, encodeSubmit(testJob("a", 3, 50)))).To(gomega.BeEquivalentTo(answerDone))
	g.Expect(apply(g, m, store, encodeSubmit(testJob("b", 3, 50)))).To(gomega.BeEquivalentTo(answerQueueFull))
	g.Expect(apply(g, m, store, encodeSubmit(testJob("c", 2, 50)))).To(gomega.BeEquivalentTo(answerDone))
	apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", index: 0, state: StateDead}}, submitted))
	g.Expect(apply(g, m, store, encodeSubmit(testJob("d", 1, 50)))).To(gomega.BeEquivalentTo(answerDone))
	apply(g, m, store, encodeEnd(jobName{job: "c"}, submitted))
	g.Expect(apply(g, m, store, encodeSubmit(testJob("e", 2, 50)))).To(gomega.BeEquivalentTo(answerDone))
	g.Expect(apply(g, m, store, encodeSubmit(testJob("f", 1, 50)))).To(gomega.BeEquivalentTo(answerQueueFull))
}

func TestMachineDropsUpdateNotFromLastEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(testJob("a", 1, 0)))
	apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", to: 3, text: []byte("1\n2\n3")}}, submitted))
	apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", to: 2, text: []byte("1\n2")}}, submitted))
	apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", from: 4, to: 5, text: []byte("5"), state: StateSucceeded}}, submitted))
	apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", from: 3, to: 4, text: []byte("4"), state: StateSucceeded}}, submitted))
	apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", from: 4, to: 5, text: []byte("5"), state: StateDead}}, submitted))
	page, err := readDecompressed(m, store, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page).To(gomega.Equal(Page{Total: 1, Next: 1, Results: []Result{{ItemID: "a-0", State: StateSucceeded, Text: []byte("1\n2\n3\n4")}}}))
}

func TestReadPageBoundsBytesButReturnsOneResult(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(testJob("a", 3, 0)))
	long := []byte(strings.Repeat("x", pageBytes))
	for i := range 3 {
		apply(g, m, store, encodeAdvance([]itemUpdate{{job: "a", index: uint32(i), to: 1, text: long, state: StateSucceeded}}, submitted))
	}
	for since := range 3 {
		page, err := readDecompressed(m, store, "a", since)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(page.Results).To(gomega.HaveLen(1))
		g.Expect(page.Next).To(gomega.Equal(since + 1))
	}
	page, err := readDecompressed(m, store, "a", 3)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.Results).To(gomega.BeEmpty())
	g.Expect(page.Next).To(gomega.Equal(3))
}

func TestPurgeKeepsOpenJobs(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(testJob("open", 1, 0)))
	apply(g, m, store, encodeSubmit(testJob("ended", 1, 0)))
	apply(g, m, store, encodeEnd(jobName{job: "ended"}, submitted))
	g.Expect(m.purgeable(time.Second, submitted.Add(time.Second+maxClockError+time.Millisecond))).To(gomega.Equal([]string{"ended"}))
	apply(g, m, store, encodePurge([]string{"open", "ended", "unknown"}, submitted))
	_, err := readDecompressed(m, store, "ended", 0)
	g.Expect(err).To(gomega.MatchError(ErrNoJob))
	_, err = readDecompressed(m, store, "open", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for k := range store {
		g.Expect(k).NotTo(gomega.ContainSubstring("ended"))
	}
}

func TestKeyRangeExcludesOtherJobs(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, pair := range [][2]string{{"a", "ab"}, {"a", "b"}, {"\xff", "\xff\xff"}, {"a\xff", "b"}} {
		from, to := keyRange(keyText, pair[0])
		other := key(keyText, pair[1], 0, 1)
		g.Expect(bytes.Compare(other, from) >= 0 && bytes.Compare(other, to) < 0).To(gomega.BeFalse(), "%q", pair)
		own := key(keyText, pair[0], ^uint64(0), ^uint64(0))
		g.Expect(bytes.Compare(own, from) >= 0 && bytes.Compare(own, to) < 0).To(gomega.BeTrue(), "%q", pair)
	}
}

// jobModel is the expected state of a job.
type jobModel struct {
	results []Result
	ended   bool
	text    map[uint32]string
	last    map[uint32]uint64
	final   map[uint32]bool
}

// Compares the machine with a model under repeated and outdated commands in any order, with
// restarts in between.
func TestMachineMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memoryStore{}
		machine := NewMachine()
		jobs := map[string]*jobModel{}
		run := func(entry []byte) byte {
			answer, err := machine.Apply(store, 1, entry)
			if err != nil {
				t.Fatal(err)
			}
			return answer[0]
		}
		names := rapid.SampledFrom([]string{"a", "ab", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := names.Draw(t, "job")
				if run(encodeSubmit(testJob(id, 3, 60))) == answerDone && jobs[id] == nil {
					jobs[id] = &jobModel{text: map[uint32]string{}, last: map[uint32]uint64{}, final: map[uint32]bool{}}
				}
			},
			"end": func(t *rapid.T) {
				id := names.Draw(t, "job")
				if run(encodeEnd(jobName{job: id}, submitted)) == answerDone {
					jobs[id].ended = true
				}
			},
			"advance": func(t *rapid.T) {
				u := itemUpdate{
					job: names.Draw(t, "job"), index: uint32(rapid.IntRange(0, 3).Draw(t, "index")),
					from:  uint64(rapid.IntRange(0, 3).Draw(t, "from")),
					state: rapid.SampledFrom([]State{StateOpen, StateOpen, StateSucceeded, StateDead}).Draw(t, "state"),
				}
				u.to = u.from + uint64(rapid.IntRange(0, 2).Draw(t, "events"))
				if u.to > u.from {
					u.text = fmt.Appendf(nil, "%d-%d", u.from, u.to)
				}
				run(encodeAdvance([]itemUpdate{u}, submitted))
				job := jobs[u.job]
				if job == nil || job.ended || u.index > 2 || job.final[u.index] || job.last[u.index] != u.from {
					return
				}
				if u.to > u.from {
					if job.last[u.index] > 0 {
						job.text[u.index] += "\n"
					}
					job.text[u.index] += string(u.text)
					job.last[u.index] = u.to
				}
				if u.state != StateOpen {
					job.final[u.index] = true
					job.results = append(job.results, Result{
						ItemID: fmt.Sprintf("%s-%d", u.job, u.index), State: u.state, Text: []byte(job.text[u.index]),
					})
				}
			},
			"restart": func(t *rapid.T) {
				machine = NewMachine()
				if err := machine.Reload(store); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				var queued int64
				for id, job := range jobs {
					page, err := readDecompressed(machine, store, id, 0)
					if err != nil || page.Total != 3 || fmt.Sprintf("%q", page.Results) != fmt.Sprintf("%q", job.results) {
						t.Fatalf("job %s: %v, page %q, want %q", id, err, page.Results, job.results)
					}
					if !job.ended {
						queued += 10 * int64(3-len(job.results))
					}
				}
				if machine.queued[queue{route: "r"}] != queued {
					t.Fatalf("%d tokens queued, want %d", machine.queued[queue{route: "r"}], queued)
				}
			},
		})
	})
}

// readDecompressed reads a page as a Caller returns it.
func readDecompressed(m *Machine, store memoryStore, job string, since int) (Page, error) {
	page, err := m.readPage(store, jobName{job: job}, since)
	if err != nil {
		return page, err
	}
	return decodePage(encodePage(page))
}

func TestMachineDeletesBodyOnceUnneeded(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	apply(g, m, store, encodeSubmit(testJob("a", 3, 0)))
	apply(g, m, store, encodeAdvance([]itemUpdate{
		{job: "a", index: 0, to: 1, text: []byte("x"), state: StateSucceeded},
		{job: "a", index: 1, state: StateDead},
	}, submitted))
	_, err := readBody(store, "a", "a-0")
	g.Expect(err).To(gomega.MatchError(ErrNoJob), "succeeded")
	for _, kept := range []string{"a-1", "a-2"} {
		_, err = readBody(store, "a", kept)
		g.Expect(err).NotTo(gomega.HaveOccurred(), kept)
	}
	apply(g, m, store, encodeEnd(jobName{job: "a"}, submitted))
	_, err = readBody(store, "a", "a-2")
	g.Expect(err).To(gomega.MatchError(ErrNoJob), "ended")
}
