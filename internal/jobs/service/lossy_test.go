package service

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/jobs/input"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/query"
	"chutelock.dev/chutelock/internal/jobs/remote"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/local"
)

func TestMain(m *testing.M) {
	restartWithStopTheWorldGC()
	flag.Parse()
	settings := map[string]string{"rapid.seed": "20261202", "rapid.checks": "60", "rapid.steps": "60", "rapid.nofailfile": "true"}
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		settings = map[string]string{"rapid.checks": "1000", "rapid.steps": "100"}
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// lossyCaller drops requests and responses and duplicates requests.
type lossyCaller struct {
	command.Caller
	t *rapid.T
	// reliable turns the faults off.
	reliable bool
}

func (c *lossyCaller) Call(ctx context.Context, operation remote.Operation, shard ledger.ShardID, payload []byte) ([]byte, error) {
	fate := 9
	if !c.reliable {
		fate = rapid.IntRange(0, 9).Draw(c.t, "fate")
	}
	switch fate {
	case 0:
		return nil, &remote.CallError{Outcome: ledger.ErrUnavailable, Cause: errors.New("no leader")}
	case 1:
		_, _ = c.Caller.Call(ctx, operation, shard, payload)
		return nil, &remote.CallError{Outcome: ledger.ErrUnknownOutcome, Cause: errors.New("response lost")}
	case 2:
		_, _ = c.Caller.Call(ctx, operation, shard, payload)
	}
	return c.Caller.Call(ctx, operation, shard, payload)
}

// fakeFiles provides input files whose identifier is their content.
type fakeFiles struct{}

func (fakeFiles) File(context.Context, string, string) (machine.FileRecord, error) {
	return machine.FileRecord{}, errors.New("unexpected call of File")
}

const fileChunks = 3

// Chunk returns two lines, of which the second is not repeatable.
func (fakeFiles) Chunk(_ context.Context, fileID string, chunk uint32) ([]byte, error) {
	line := `{"custom_id":"%s-%d","repeatable":%v,"url":"/v1/completions","body":{"model":"m","prompt":"x"}}` + "\n"
	return fmt.Appendf(nil, line+line, fileID, 2*chunk, true, fileID, 2*chunk+1, false), nil
}

// lossySimulation simulates the clients and a dispatcher of one ledger.
type lossySimulation struct {
	node    *Service
	caller  *lossyCaller
	jobs    *command.Jobs
	work    *command.Work
	queries *query.Queries
	// accepted holds job IDs and content the accepted content, both by key.
	accepted map[string]string
	content  map[string]string
	// cancelled holds the number of results, by job ID, at cancellation.
	cancelled map[string]uint32
	restarts  int // of the dispatcher; each run has its own name
	held      []jobs.Lease
	pending   []jobs.Result
	sent      map[string]int
}

func newLossySimulation(t *rapid.T) (simulation *lossySimulation, closeLedger func()) {
	node := New()
	directory, err := local.Open(local.Options{Shards: 2, Address: "127.0.0.1:1", NewMachine: node.NewMachine})
	if err != nil {
		t.Fatal(err)
	}
	server := remote.NewServer(directory)
	server.Handle(remote.OperationQuery, query.Handle)
	command.NewKeeper(directory, node.machine).Register(server)
	caller := &lossyCaller{Caller: remote.NewCaller("127.0.0.1:1", directory, nil, server), t: t}
	return &lossySimulation{
		node: node, caller: caller, jobs: command.NewJobs(caller, fakeFiles{}), work: command.NewWork(caller),
		queries: query.New(caller), accepted: map[string]string{}, content: map[string]string{},
		cancelled: map[string]uint32{}, sent: map[string]int{},
	}, func() { _ = directory.Close() }
}

var background = context.Background()

func (w *lossySimulation) submit(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key")
	w.submitAs(t, key, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content"))
}

func (w *lossySimulation) submitAs(t *rapid.T, key, content string) {
	jobID, err := w.jobs.Submit(background, command.Submission{
		Tenant: "t", Key: key, Endpoint: input.PathCompletions, Window: "24h", Deadline: time.Now().Add(24 * time.Hour),
		DefaultRepeatable: true, Retention: time.Hour,
		File: machine.FileRecord{
			FileID: content, Digest: machine.Digest{content[0]}, Model: "m", Lines: 2 * fileChunks, Chunks: fileChunks,
		},
	})
	known, accepted := w.accepted[key]
	switch {
	case err == nil && accepted && (known != jobID || w.content[key] != content):
		t.Fatalf("key %s with content %s gave job %s, but with %s it gave %s before", key, content, jobID, w.content[key], known)
	case err == nil:
		w.accepted[key], w.content[key] = jobID, content
	case errors.Is(err, command.ErrConflict):
		if accepted && w.content[key] == content {
			t.Fatalf("key %s was refused with the content accepted before", key)
		}
	case !errors.Is(err, ledger.ErrUnavailable) && !errors.Is(err, ledger.ErrUnknownOutcome):
		t.Fatalf("submit: %v", err)
	}
}

func (w *lossySimulation) dispatcher() string { return fmt.Sprintf("dispatcher-%d", w.restarts) }

func (w *lossySimulation) lease(t *rapid.T) {
	shard := ledger.ShardID(rapid.IntRange(0, 1).Draw(t, "shard"))
	leases, err := w.work.LeaseAt(background, shard, w.dispatcher(), "m", rapid.IntRange(1, 5).Draw(t, "count"))
	if err == nil {
		w.held = append(w.held, leases...)
	}
}

// run runs the first held item as a dispatcher does.
func (w *lossySimulation) run(t *rapid.T) {
	if len(w.held) == 0 {
		return
	}
	lease := &w.held[0]
	item := lease.Items[0]
	if lease.Items = lease.Items[1:]; len(lease.Items) == 0 {
		w.held = w.held[1:]
	}
	result := jobs.Result{JobID: lease.JobID, Index: item.Index, Epoch: lease.Epoch, Body: []byte("{}")}
	if !item.Repeatable {
		granted, err := w.work.Start(background, *lease, item.Index)
		if err != nil || !granted {
			w.pending = append(w.pending, result)
			return
		}
		name := fmt.Sprintf("%s/%d", lease.JobID, item.Index)
		if w.sent[name]++; w.sent[name] > 1 {
			t.Fatalf("item %s was sent twice", name)
		}
	}
	result.Status = jobs.ItemSucceeded
	w.pending = append(w.pending, result)
}

func (w *lossySimulation) report(*rapid.T) {
	if len(w.pending) > 0 && w.work.Report(background, w.pending) == nil {
		w.pending = nil
	}
}

// crash restarts the dispatcher and expires its leases as the keeper would.
func (w *lossySimulation) crash(t *rapid.T) {
	crashed := w.dispatcher()
	w.restarts++
	w.held, w.pending = nil, nil
	w.expireLeases(t, crashed)
}

// expireOrphans expires all leases of the dispatcher, including those whose
// responses were lost and which are never renewed.
func (w *lossySimulation) expireOrphans(t *rapid.T) {
	w.held, w.pending = nil, nil
	w.expireLeases(t, w.dispatcher())
}

func (w *lossySimulation) expireLeases(t *rapid.T, dispatcher string) {
	for shard := range ledger.ShardID(2) {
		for _, held := range w.node.machine(shard).HeldLeases() {
			if held.Dispatcher != dispatcher {
				continue
			}
			entry, err := machine.Encode(time.Now(), &machine.ExpireLeases{Dispatcher: dispatcher, Epochs: []uint64{held.Epoch}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := w.caller.Caller.Call(background, remote.OperationPropose, shard, entry); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (w *lossySimulation) cancel(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key")
	jobID, ok := w.accepted[key]
	if !ok || rapid.IntRange(0, 3).Draw(t, "really") > 0 || w.jobs.Cancel(background, "t", jobID) != nil {
		return
	}
	w.caller.reliable = true
	job, err := w.queries.Job(background, "t", jobID)
	w.caller.reliable = false
	if err != nil {
		t.Fatal(err)
	}
	if _, before := w.cancelled[jobID]; !before {
		w.cancelled[jobID] = job.Counters.Final()
	}
}

// finishAndCheck completes all jobs over a reliable link and checks them.
func (w *lossySimulation) finishAndCheck(t *rapid.T) {
	w.caller.reliable = true
	for key, content := range w.content {
		w.submitAs(t, key, content) // a resubmission finds the same job
	}
	w.report(t)
	w.expireOrphans(t)
	for range 200 {
		for shard := range ledger.ShardID(2) {
			leases, err := w.work.LeaseAt(background, shard, w.dispatcher(), "m", 10)
			if err != nil {
				t.Fatal(err)
			}
			w.held = append(w.held, leases...)
		}
		if len(w.held) == 0 {
			break
		}
		for len(w.held) > 0 {
			w.run(t)
		}
		w.report(t)
	}
	for key, jobID := range w.accepted {
		w.checkJob(t, jobID, w.content[key])
	}
}

func (w *lossySimulation) checkJob(t *rapid.T, jobID, content string) {
	job, err := w.queries.Job(background, "t", jobID)
	if err != nil {
		t.Fatal(err)
	}
	if results, cancelled := w.cancelled[jobID]; cancelled {
		if job.Counters.Final() != results {
			t.Fatalf("job %s had %d results when it was cancelled, and now %d", jobID, results, job.Counters.Final())
		}
		return
	}
	if job.State != machine.StateCompleted && job.State != machine.StateCancelled {
		t.Fatalf("job %s is in state %d", jobID, job.State)
	}
	next := uint32(0)
	err = w.queries.Results(background, "t", jobID, false, func(result machine.ResultRecord) error {
		if result.CustomID != fmt.Sprintf("%s-%d", content, result.Index) || result.Index < next {
			t.Fatalf("job %s: unexpected result %+v", jobID, result)
		}
		next = result.Index + 1
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	err = w.queries.Results(background, "t", jobID, true, func(result machine.ResultRecord) error {
		if job.State == machine.StateCompleted && (result.Status != jobs.ItemOutcomeUnknown || result.Index%2 == 0) {
			t.Fatalf("job %s: %+v must not have failed", jobID, result)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Lost and duplicated messages must neither duplicate jobs, lose results nor send
// a non-repeatable item twice.
func TestClientsTolerateLossyLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation, closeLedger := newLossySimulation(t)
		defer closeLedger()
		t.Repeat(map[string]func(*rapid.T){
			"submit": simulation.submit, "lease": simulation.lease, "run": simulation.run, "run more": simulation.run, "report": simulation.report,
			"crash": simulation.crash, "orphans": simulation.expireOrphans, "cancel": simulation.cancel,
		})
		simulation.finishAndCheck(t)
	})
}
