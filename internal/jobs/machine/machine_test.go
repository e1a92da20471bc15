package machine

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/jobs"
)

// campaignVariable is the environment variable that selects a long run with random seeds.
const campaignVariable = "CHUTELOCK_CAMPAIGN"

func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "20261202", "rapid.checks": "300", "rapid.steps": "100", "rapid.nofailfile": "true"}
	if os.Getenv(campaignVariable) != "" {
		settings = map[string]string{"rapid.checks": "10000", "rapid.steps": "100"}
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// epochStart is the initial virtual time, in Unix milliseconds.
const epochStart = 1_700_000_000_000

// simulation applies the same commands to a machine and the oracle, and simulates
// the dispatchers, which track the items sent to engines.
type simulation struct {
	machine *Machine
	store   mapStore
	oracle  *oracle
	index   uint64
	clock   int64
	log     []proposed
	jobs    int
	// held are the leased items known to the dispatchers, including those whose
	// lease has ended.
	held []heldItem
	// sent counts how often each non-repeatable item was sent to an engine.
	sent map[string]int
}

type proposed struct {
	at      int64
	command Command
}

type heldItem struct {
	dispatcher    string
	jobID         string
	epoch         uint64
	item          jobs.Item
	startProposed bool
}

func newSimulation() *simulation {
	return &simulation{machine: New(), store: mapStore{}, oracle: newOracle(), clock: epochStart, sent: map[string]int{}}
}

// apply applies a command and compares the answer with the oracle's.
func (s *simulation) apply(t *rapid.T, at int64, command Command) Answer {
	s.index++
	entry, err := Encode(time.UnixMilli(at), command)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	encoded, err := s.machine.Apply(s.store, s.index, entry)
	if err != nil {
		t.Fatalf("apply %#v: %v", command, err)
	}
	answer, err := DecodeAnswer(encoded)
	if err != nil {
		t.Fatalf("answer: %v", err)
	}
	if expected := s.oracle.expect(at, s.index, command, answer); !reflect.DeepEqual(answer, expected) {
		t.Fatalf("%#v at %d:\nmachine answered %+v\noracle expects   %+v", command, at, answer, expected)
	}
	return answer
}

// propose sends a command over a link that may lose it, lose its answer or
// duplicate it. The replay action duplicates commands later.
func (s *simulation) propose(t *rapid.T, command Command) (Answer, bool) {
	at := s.clock - rapid.Int64Range(0, 3000).Draw(t, "skew")
	s.log = append(s.log, proposed{at, command})
	switch rapid.IntRange(0, 9).Draw(t, "link") {
	case 0:
		return Answer{}, false // the command is lost
	case 1:
		s.apply(t, at, command)
		return Answer{}, false // the answer is lost
	case 2:
		s.apply(t, at, command)
	}
	return s.apply(t, at, command), true
}

func (s *simulation) replay(t *rapid.T) {
	if len(s.log) > 0 {
		old := rapid.SampledFrom(s.log).Draw(t, "old")
		s.apply(t, old.at, old.command)
	}
}

func (s *simulation) advance(t *rapid.T) {
	s.clock += rapid.SampledFrom([]int64{1, 500, 7_000, 70_000, 2 * 3_600_000}).Draw(t, "step")
}

var (
	tenants     = []string{"a", "b"}
	models      = []string{"m", "n"}
	dispatchers = []string{"d1", "d2"}
)

// submit submits a complete job; each of its commands may be lost.
func (s *simulation) submit(t *rapid.T) {
	s.begin(t)
	id := fmt.Sprintf("job-%d", s.jobs)
	if job := s.oracle.jobs[id]; job != nil && len(job.appended) == 0 {
		s.propose(t, &JobAppend{JobID: id, Items: itemsFrom(0, int(job.begin.Items))})
		s.propose(t, &JobSeal{JobID: id, Items: job.begin.Items})
	}
}

func itemsFrom(first, count int) []jobs.Item {
	var items []jobs.Item
	for index := first; index < first+count; index++ {
		items = append(items, jobs.Item{
			CustomID: fmt.Sprintf("c%d", index), Path: "/v1/completions", Body: []byte("{}"), Repeatable: index%2 == 0,
		})
	}
	return items
}

func (s *simulation) begin(t *rapid.T) {
	s.jobs++
	begin := &JobBegin{
		JobID: fmt.Sprintf("job-%d", s.jobs), Tenant: rapid.SampledFrom(tenants).Draw(t, "tenant"),
		Key: rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"), Model: rapid.SampledFrom(models).Draw(t, "model"),
		Content: Digest{rapid.Byte().Draw(t, "content") % 2}, Items: uint32(rapid.IntRange(1, 6).Draw(t, "items")),
		Deadline: time.UnixMilli(s.clock + rapid.SampledFrom([]int64{-1, 1_500, 60_000, 86_400_000}).Draw(t, "window")),
		Weight:   1000, MaxTries: uint8(rapid.IntRange(1, 3).Draw(t, "tries")), Retention: time.Hour,
	}
	s.propose(t, begin)
}

// unsealed returns a random job that is not sealed, or nil.
func (s *simulation) unsealed(t *rapid.T) *oracleJob {
	var receiving []string
	for _, id := range sortedKeys(s.oracle.jobs) {
		if s.oracle.jobs[id].state == StateReceiving {
			receiving = append(receiving, id)
		}
	}
	if len(receiving) == 0 {
		return nil
	}
	return s.oracle.jobs[rapid.SampledFrom(receiving).Draw(t, "job")]
}

func (s *simulation) appendItems(t *rapid.T) {
	job := s.unsealed(t)
	if job == nil {
		return
	}
	first := rapid.IntRange(0, len(job.appended)+1).Draw(t, "first")
	count := rapid.IntRange(1, 6).Draw(t, "count")
	s.propose(t, &JobAppend{JobID: job.begin.JobID, First: uint32(first), Items: itemsFrom(first, count)})
}

func (s *simulation) seal(t *rapid.T) {
	if job := s.unsealed(t); job != nil {
		s.propose(t, &JobSeal{JobID: job.begin.JobID, Items: job.begin.Items})
	}
}

func (s *simulation) lease(t *rapid.T) {
	dispatcher := rapid.SampledFrom(dispatchers).Draw(t, "dispatcher")
	answer, arrived := s.propose(t, &LeaseItems{
		Dispatcher: dispatcher, Model: rapid.SampledFrom(models).Draw(t, "model"),
		Count: uint32(rapid.IntRange(1, 4).Draw(t, "count")), MaxBytes: 1 << 20,
	})
	if !arrived {
		return
	}
	for _, lease := range answer.Leases {
		for _, item := range lease.Items {
			s.held = append(s.held, heldItem{dispatcher, lease.JobID, lease.Epoch, item, false})
		}
	}
}

// runItem simulates a dispatcher that runs an item whose lease it holds or held:
// it starts the item at most once, may crash, and reports.
func (s *simulation) runItem(t *rapid.T) {
	if len(s.held) == 0 {
		return
	}
	position := rapid.IntRange(0, len(s.held)-1).Draw(t, "held")
	chosen := &s.held[position]
	result := jobs.Result{JobID: chosen.jobID, Index: chosen.item.Index, Epoch: chosen.epoch, Body: []byte("r")}
	if !chosen.item.Repeatable && !chosen.startProposed {
		chosen.startProposed = true
		answer, arrived := s.propose(t, &Start{JobID: chosen.jobID, Index: chosen.item.Index, Epoch: chosen.epoch})
		if !arrived || answer.Code != CodeOK || rapid.Bool().Draw(t, "not sent") {
			s.propose(t, &Report{Results: []jobs.Result{result}}) // returned, not run
			return
		}
		s.countSend(t, chosen)
	}
	if rapid.Bool().Draw(t, "dies") {
		return
	}
	result.Status = rapid.SampledFrom([]jobs.ItemStatus{jobs.ItemSucceeded, jobs.ItemFailed, jobs.ItemOpen}).Draw(t, "status")
	if result.Status == jobs.ItemOpen {
		result.HTTPStatus = rapid.SampledFrom([]uint16{500, 502}).Draw(t, "reason")
	}
	s.propose(t, &Report{Results: []jobs.Result{result}})
}

// countSend fails if a non-repeatable item is sent to an engine twice.
func (s *simulation) countSend(t *rapid.T, chosen *heldItem) {
	name := fmt.Sprintf("%s/%d", chosen.jobID, chosen.item.Index)
	s.sent[name]++
	if s.sent[name] > 1 {
		t.Fatalf("non-repeatable item %s was sent twice", name)
	}
}

func (s *simulation) expire(t *rapid.T) {
	if len(s.held) > 0 {
		silent := rapid.SampledFrom(s.held).Draw(t, "silent")
		s.propose(t, &ExpireLeases{Dispatcher: silent.dispatcher, Epochs: []uint64{silent.epoch}})
	}
}

func (s *simulation) cancel(t *rapid.T) {
	if s.jobs > 0 {
		jobID := fmt.Sprintf("job-%d", rapid.IntRange(1, s.jobs).Draw(t, "job"))
		s.propose(t, &Cancel{JobID: jobID, Tenant: rapid.SampledFrom(tenants).Draw(t, "tenant")})
	}
}

// reload restarts the replica and checks that its in-memory state is restored.
func (s *simulation) reload(t *rapid.T) {
	restarted := New()
	if err := restarted.Reload(s.store); err != nil {
		t.Fatalf("reload: %v", err)
	}
	for _, machine := range []*Machine{s.machine, restarted} {
		for _, job := range machine.open {
			job.lowest = 0 // a lower bound that reloading resets
		}
	}
	for name, pair := range map[string][2]any{
		"clock":  {s.machine.clock, restarted.clock},
		"jobs":   {s.machine.open, restarted.open},
		"shares": {s.machine.shares, restarted.shares},
		"rates":  {s.machine.rates, restarted.rates},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			t.Fatalf("reload changed the %s:\nbefore %+v\nafter  %+v", name, pair[0], pair[1])
		}
	}
	s.machine = restarted
}

// check compares the stored state with the oracle.
func (s *simulation) check(t *rapid.T) {
	for id, job := range s.oracle.jobs {
		record, ok, err := GetJob(s.store, id)
		if err != nil || !ok || record.State != job.state {
			t.Fatalf("job %s: state %v (%v, %v), want %v", id, record.State, ok, err, job.state)
		}
		counters, err := GetCounters(s.store, id)
		if err != nil || int(counters.Final()) != len(job.results) || counters.Dropped != job.dropped {
			t.Fatalf("job %s: counters %+v (%v), want %d results and %d dropped", id, counters, err, len(job.results), job.dropped)
		}
		s.checkResults(t, id, job)
	}
	if len(s.oracle.jobs) == 0 {
		s.checkNothingLeft(t)
	}
	for id := range s.machine.open {
		if s.oracle.open(id) == nil {
			t.Fatalf("job %s is open in the machine but not in the oracle", id)
		}
	}
}

// checkNothingLeft checks that removed jobs leave only removal entries, the
// clock and the rates.
func (s *simulation) checkNothingLeft(t *rapid.T) {
	for key := range s.store {
		if key[0] != tableClock && key[0] != tableExpiry && key[0] != tableRate {
			t.Fatalf("key %q remains after the last job was removed", key)
		}
	}
}

func (s *simulation) checkResults(t *rapid.T, id string, job *oracleJob) {
	found := 0
	err := ScanResults(s.store, id, 0, func(result ResultRecord) (bool, error) {
		found++
		expected := job.results[result.Index]
		if result.Status != expected.Status || result.Epoch != expected.Epoch || result.CustomID != fmt.Sprintf("c%d", result.Index) {
			t.Fatalf("job %s: result %+v, want %+v", id, result, expected)
		}
		return true, nil
	})
	if err != nil || found != len(job.results) {
		t.Fatalf("job %s: %d results (%v), want %d", id, found, err, len(job.results))
	}
}

// Guards against answers, results and recovered state that differ from the oracle's
// under lost, duplicated and reordered commands.
func TestMachineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"begin": s.begin, "append": s.appendItems, "seal": s.seal, "submit": s.submit, "submit more": s.submit,
			"lease": s.lease, "lease more": s.lease, "run": s.runItem, "run more": s.runItem, "expire": s.expire, "cancel": s.cancel,
			"tick":    func(t *rapid.T) { s.propose(t, &Tick{}) },
			"advance": s.advance, "replay": s.replay, "reload": s.reload, "": s.check,
		})
	})
}

func oneItemJob(s *simulation) *JobBegin {
	return &JobBegin{
		JobID: "job", Tenant: "a", Key: "k", Model: "m", Items: 1, Deadline: time.UnixMilli(s.clock + 86_400_000),
		Weight: 1000, MaxTries: 3, Retention: time.Hour,
	}
}

// Guards against late commands that change the state of a job they do not belong to.
func TestApplyLateDuplicates(t *testing.T) {
	for name, sequence := range map[string]func(t *rapid.T, s *simulation){
		// The result must not be counted as dropped.
		"result of a job that is not accepted": func(t *rapid.T, s *simulation) {
			s.apply(t, s.clock, oneItemJob(s))
			s.apply(t, s.clock, &Report{Results: []jobs.Result{{JobID: "job", Epoch: 1, Status: jobs.ItemSucceeded}}})
		},
		// The removal entry of the first job must not remove the second.
		"begin after a cancellation": func(t *rapid.T, s *simulation) {
			begin := oneItemJob(s)
			s.apply(t, s.clock, begin)
			later := s.clock + receiveTimeout.Milliseconds()
			s.apply(t, s.clock, &Cancel{JobID: "job", Tenant: "a"})
			s.apply(t, later, begin)
			s.apply(t, later, &Tick{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation()
				sequence(t, s)
				s.check(t)
			})
		})
	}
}
