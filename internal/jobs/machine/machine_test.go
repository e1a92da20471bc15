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

// The environment variable that makes a long campaign with changing seeds.
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

// epochStart is the virtual time at which sequences begin, in milliseconds.
const epochStart = 1_700_000_000_000

// world drives a machine and the oracle with the same commands, and plays the
// dispatchers, so that it knows what was really sent.
type world struct {
	machine *Machine
	store   mapStore
	oracle  *oracle
	index   uint64
	clock   int64
	log     []logged
	jobs    int
	// held are the leases as the dispatchers know them: also those that have
	// ended meanwhile.
	held []held
	// sent counts how often each non-repeatable item went to an engine.
	sent map[string]int
}

type logged struct {
	at      int64
	command Command
}

type held struct {
	dispatcher string
	jobID      string
	epoch      uint64
	item       jobs.Item
	begun      bool
}

func newWorld() *world {
	return &world{machine: New(), store: mapStore{}, oracle: newOracle(), clock: epochStart, sent: map[string]int{}}
}

// apply commits a command and compares the answer with the oracle's.
func (w *world) apply(t *rapid.T, at int64, command Command) Answer {
	w.index++
	entry, err := Encode(time.UnixMilli(at), command)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	encoded, err := w.machine.Apply(w.store, w.index, entry)
	if err != nil {
		t.Fatalf("apply %#v: %v", command, err)
	}
	answer, err := DecodeAnswer(encoded)
	if err != nil {
		t.Fatalf("answer: %v", err)
	}
	if expected := w.oracle.expect(at, w.index, command, answer); !reflect.DeepEqual(answer, expected) {
		t.Fatalf("%#v at %d:\nmachine answered %+v\noracle expects   %+v", command, at, answer, expected)
	}
	return answer
}

// propose commits a command over a link that may lose it, or deliver it again
// now or (through the replay action) much later.
func (w *world) propose(t *rapid.T, command Command) (Answer, bool) {
	at := w.clock - rapid.Int64Range(0, 3000).Draw(t, "skew")
	w.log = append(w.log, logged{at, command})
	switch rapid.IntRange(0, 9).Draw(t, "link") {
	case 0:
		return Answer{}, false // lost on the way
	case 1:
		w.apply(t, at, command)
		return Answer{}, false // the answer is lost
	case 2:
		w.apply(t, at, command)
	}
	return w.apply(t, at, command), true
}

func (w *world) replay(t *rapid.T) {
	if len(w.log) > 0 {
		old := rapid.SampledFrom(w.log).Draw(t, "old")
		w.apply(t, old.at, old.command)
	}
}

func (w *world) advance(t *rapid.T) {
	w.clock += rapid.SampledFrom([]int64{1, 500, 7_000, 70_000, 2 * 3_600_000}).Draw(t, "step")
}

var (
	tenants     = []string{"a", "b"}
	models      = []string{"m", "n"}
	dispatchers = []string{"d1", "d2"}
)

// submit sends a whole job; each of its commands may be lost.
func (w *world) submit(t *rapid.T) {
	w.begin(t)
	id := fmt.Sprintf("job-%d", w.jobs)
	if job := w.oracle.jobs[id]; job != nil && len(job.appended) == 0 {
		w.propose(t, &JobAppend{JobID: id, Items: itemsFrom(0, int(job.begin.Items))})
		w.propose(t, &JobSeal{JobID: id, Items: job.begin.Items})
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

func (w *world) begin(t *rapid.T) {
	w.jobs++
	begin := &JobBegin{
		JobID: fmt.Sprintf("job-%d", w.jobs), Tenant: rapid.SampledFrom(tenants).Draw(t, "tenant"),
		Key: rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"), Model: rapid.SampledFrom(models).Draw(t, "model"),
		Content: Digest{rapid.Byte().Draw(t, "content") % 2}, Items: uint32(rapid.IntRange(1, 6).Draw(t, "items")),
		Deadline: time.UnixMilli(w.clock + rapid.SampledFrom([]int64{-1, 1_500, 60_000, 86_400_000}).Draw(t, "window")),
		Weight:   1000, MaxTries: uint8(rapid.IntRange(1, 3).Draw(t, "tries")), Retention: time.Hour,
	}
	w.propose(t, begin)
}

// unsealed returns a job that the oracle still receives.
func (w *world) unsealed(t *rapid.T) *oracleJob {
	var receiving []string
	for _, id := range sortedKeys(w.oracle.jobs) {
		if w.oracle.jobs[id].state == StateReceiving {
			receiving = append(receiving, id)
		}
	}
	if len(receiving) == 0 {
		return nil
	}
	return w.oracle.jobs[rapid.SampledFrom(receiving).Draw(t, "job")]
}

func (w *world) appendItems(t *rapid.T) {
	job := w.unsealed(t)
	if job == nil {
		return
	}
	first := rapid.IntRange(0, len(job.appended)+1).Draw(t, "first")
	count := rapid.IntRange(1, 6).Draw(t, "count")
	w.propose(t, &JobAppend{JobID: job.begin.JobID, First: uint32(first), Items: itemsFrom(first, count)})
}

func (w *world) seal(t *rapid.T) {
	if job := w.unsealed(t); job != nil {
		w.propose(t, &JobSeal{JobID: job.begin.JobID, Items: job.begin.Items})
	}
}

func (w *world) lease(t *rapid.T) {
	dispatcher := rapid.SampledFrom(dispatchers).Draw(t, "dispatcher")
	answer, arrived := w.propose(t, &LeaseItems{
		Dispatcher: dispatcher, Model: rapid.SampledFrom(models).Draw(t, "model"),
		Count: uint32(rapid.IntRange(1, 4).Draw(t, "count")), MaxBytes: 1 << 20,
	})
	if !arrived {
		return
	}
	for _, lease := range answer.Leases {
		for _, item := range lease.Items {
			w.held = append(w.held, held{dispatcher, lease.JobID, lease.Epoch, item, false})
		}
	}
}

// run lets a dispatcher run an item that it holds or believes to hold: it
// starts it once, may die on the way, and reports.
func (w *world) run(t *rapid.T) {
	if len(w.held) == 0 {
		return
	}
	position := rapid.IntRange(0, len(w.held)-1).Draw(t, "held")
	chosen := &w.held[position]
	result := jobs.Result{JobID: chosen.jobID, Index: chosen.item.Index, Epoch: chosen.epoch, Body: []byte("r")}
	if !chosen.item.Repeatable && !chosen.begun {
		chosen.begun = true
		answer, arrived := w.propose(t, &Start{JobID: chosen.jobID, Index: chosen.item.Index, Epoch: chosen.epoch})
		if !arrived || answer.Code != CodeOK || rapid.Bool().Draw(t, "not sent") {
			w.propose(t, &Report{Results: []jobs.Result{result}}) // handed back, not run
			return
		}
		w.send(t, chosen)
	}
	if rapid.Bool().Draw(t, "dies") {
		return
	}
	result.Status = rapid.SampledFrom([]jobs.ItemStatus{jobs.ItemSucceeded, jobs.ItemFailed, jobs.ItemOpen}).Draw(t, "status")
	if result.Status == jobs.ItemOpen {
		result.HTTPStatus = rapid.SampledFrom([]uint16{500, 502}).Draw(t, "reason")
	}
	w.propose(t, &Report{Results: []jobs.Result{result}})
}

// send counts an item that goes to an engine although it is not repeatable.
func (w *world) send(t *rapid.T, chosen *held) {
	name := fmt.Sprintf("%s/%d", chosen.jobID, chosen.item.Index)
	w.sent[name]++
	if w.sent[name] > 1 {
		t.Fatalf("the non-repeatable item %s was sent twice", name)
	}
}

func (w *world) expire(t *rapid.T) {
	if len(w.held) > 0 {
		silent := rapid.SampledFrom(w.held).Draw(t, "silent")
		w.propose(t, &ExpireLeases{Dispatcher: silent.dispatcher, Epochs: []uint64{silent.epoch}})
	}
}

func (w *world) cancel(t *rapid.T) {
	if w.jobs > 0 {
		jobID := fmt.Sprintf("job-%d", rapid.IntRange(1, w.jobs).Draw(t, "job"))
		w.propose(t, &Cancel{JobID: jobID, Tenant: rapid.SampledFrom(tenants).Draw(t, "tenant")})
	}
}

// reload restarts the replica: what it had in memory must come back.
func (w *world) reload(t *rapid.T) {
	restarted := New()
	if err := restarted.Reload(w.store); err != nil {
		t.Fatalf("reload: %v", err)
	}
	for _, machine := range []*Machine{w.machine, restarted} {
		for _, job := range machine.open {
			job.lowest = 0 // a hint only
		}
	}
	for name, pair := range map[string][2]any{
		"clock":  {w.machine.clock, restarted.clock},
		"jobs":   {w.machine.open, restarted.open},
		"shares": {w.machine.shares, restarted.shares},
		"rates":  {w.machine.rates, restarted.rates},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			t.Fatalf("reload changed the %s:\nbefore %+v\nafter  %+v", name, pair[0], pair[1])
		}
	}
	w.machine = restarted
}

// check compares what can be read with the oracle.
func (w *world) check(t *rapid.T) {
	for id, job := range w.oracle.jobs {
		record, ok, err := GetJob(w.store, id)
		if err != nil || !ok || record.State != job.state {
			t.Fatalf("job %s: state %v (%v, %v), want %v", id, record.State, ok, err, job.state)
		}
		counters, err := GetCounters(w.store, id)
		if err != nil || int(counters.Final()) != len(job.results) || counters.Dropped != job.dropped {
			t.Fatalf("job %s: counters %+v (%v), want %d results and %d dropped", id, counters, err, len(job.results), job.dropped)
		}
		w.checkResults(t, id, job)
	}
	if len(w.oracle.jobs) == 0 {
		w.checkNothingLeft(t)
	}
	for id := range w.machine.open {
		if w.oracle.open(id) == nil {
			t.Fatalf("job %s is open in memory only", id)
		}
	}
}

// checkNothingLeft says that removed jobs leave nothing but notes to remove
// them, the clock and the rates.
func (w *world) checkNothingLeft(t *rapid.T) {
	for key := range w.store {
		if key[0] != tableClock && key[0] != tableExpiry && key[0] != tableRate {
			t.Fatalf("no job is left, but the key %q", key)
		}
	}
}

func (w *world) checkResults(t *rapid.T, id string, job *oracleJob) {
	found := 0
	err := ScanResults(w.store, id, 0, func(result ResultRecord) (bool, error) {
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

func TestMachineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"begin": w.begin, "append": w.appendItems, "seal": w.seal, "submit": w.submit, "submit more": w.submit,
			"lease": w.lease, "lease more": w.lease, "run": w.run, "run more": w.run, "expire": w.expire, "cancel": w.cancel,
			"tick":    func(t *rapid.T) { w.propose(t, &Tick{}) },
			"advance": w.advance, "replay": w.replay, "reload": w.reload, "": w.check,
		})
	})
}

func beginOne(w *world) *JobBegin {
	return &JobBegin{
		JobID: "job", Tenant: "a", Key: "k", Model: "m", Items: 1, Deadline: time.UnixMilli(w.clock + 86_400_000),
		Weight: 1000, MaxTries: 3, Retention: time.Hour,
	}
}

// Found by campaigns: each is a late repetition of a command.
func TestLateRepetitions(t *testing.T) {
	for name, sequence := range map[string]func(t *rapid.T, w *world){
		// The result was counted as dropped, in the counters of the job to be.
		"result of a job that is not accepted": func(t *rapid.T, w *world) {
			w.apply(t, w.clock, beginOne(w))
			w.apply(t, w.clock, &Report{Results: []jobs.Result{{JobID: "job", Epoch: 1, Status: jobs.ItemSucceeded}}})
		},
		// The note to remove the first job removed the second before its time.
		"begin after a cancellation": func(t *rapid.T, w *world) {
			begin := beginOne(w)
			w.apply(t, w.clock, begin)
			later := w.clock + receiveTimeout.Milliseconds()
			w.apply(t, w.clock, &Cancel{JobID: "job", Tenant: "a"})
			w.apply(t, later, begin)
			w.apply(t, later, &Tick{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld()
				sequence(t, w)
				w.check(t)
			})
		})
	}
}
