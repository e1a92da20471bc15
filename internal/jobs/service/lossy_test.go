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
	collectAlone()
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

// lossyCaller loses requests and answers and delivers requests twice.
type lossyCaller struct {
	command.Caller
	t *rapid.T
	// calm stops the trouble.
	calm bool
}

func (c *lossyCaller) Call(ctx context.Context, operation remote.Operation, shard ledger.ShardID, payload []byte) ([]byte, error) {
	fate := 9
	if !c.calm {
		fate = rapid.IntRange(0, 9).Draw(c.t, "fate")
	}
	switch fate {
	case 0:
		return nil, &remote.CallError{Outcome: ledger.ErrUnavailable, Cause: errors.New("no leader")}
	case 1:
		_, _ = c.Caller.Call(ctx, operation, shard, payload)
		return nil, &remote.CallError{Outcome: ledger.ErrUnknownOutcome, Cause: errors.New("answer lost")}
	case 2:
		_, _ = c.Caller.Call(ctx, operation, shard, payload)
	}
	return c.Caller.Call(ctx, operation, shard, payload)
}

// fileOf is a source of input files that are named by their content.
type fileOf struct{}

func (fileOf) File(context.Context, string, string) (machine.FileRecord, error) {
	return machine.FileRecord{}, errors.New("not asked for")
}

const filePieces = 3

// Chunk makes two lines a chunk, the second not repeatable.
func (fileOf) Chunk(_ context.Context, fileID string, chunk uint32) ([]byte, error) {
	line := `{"custom_id":"%s-%d","repeatable":%v,"url":"/v1/completions","body":{"model":"m","prompt":"x"}}` + "\n"
	return fmt.Appendf(nil, line+line, fileID, 2*chunk, true, fileID, 2*chunk+1, false), nil
}

// lossyWorld plays the clients and dispatchers of one ledger.
type lossyWorld struct {
	node    *Service
	calm    *lossyCaller
	jobs    *command.Jobs
	work    *command.Work
	queries *query.Queries
	// accepted names the jobs by key; content is what was accepted under it.
	accepted map[string]string
	content  map[string]string
	// cancelled holds the results that a cancelled job had.
	cancelled map[string]uint32
	lives     int // of dispatchers: a restarted one has another name
	held      []jobs.Lease
	pending   []jobs.Result
	sent      map[string]int
}

func newLossyWorld(t *rapid.T) (world *lossyWorld, closed func()) {
	node := New()
	directory, err := local.Open(local.Options{Shards: 2, Address: "127.0.0.1:1", NewMachine: node.NewMachine})
	if err != nil {
		t.Fatal(err)
	}
	server := remote.NewServer(directory)
	server.Handle(remote.OperationQuery, query.Handle)
	command.NewKeeper(directory, node.machine).Register(server)
	caller := &lossyCaller{Caller: remote.NewCaller("127.0.0.1:1", directory, nil, server), t: t}
	return &lossyWorld{
		node: node, calm: caller, jobs: command.NewJobs(caller, fileOf{}), work: command.NewWork(caller),
		queries: query.New(caller), accepted: map[string]string{}, content: map[string]string{},
		cancelled: map[string]uint32{}, sent: map[string]int{},
	}, func() { _ = directory.Close() }
}

var background = context.Background()

func (w *lossyWorld) submit(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key")
	w.submitAs(t, key, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content"))
}

func (w *lossyWorld) submitAs(t *rapid.T, key, content string) {
	jobID, err := w.jobs.Submit(background, command.Submission{
		Tenant: "t", Key: key, Endpoint: input.PathCompletions, Window: "24h", Deadline: time.Now().Add(24 * time.Hour),
		DefaultRepeatable: true, Retention: time.Hour,
		File: machine.FileRecord{
			FileID: content, Digest: machine.Digest{content[0]}, Model: "m", Lines: 2 * filePieces, Chunks: filePieces,
		},
	})
	known, accepted := w.accepted[key]
	switch {
	case err == nil && accepted && (known != jobID || w.content[key] != content):
		t.Fatalf("key %s with %s gave job %s, but with %s it had been %s", key, content, jobID, w.content[key], known)
	case err == nil:
		w.accepted[key], w.content[key] = jobID, content
	case errors.Is(err, command.ErrConflict):
		if accepted && w.content[key] == content {
			t.Fatalf("key %s was refused with its own content", key)
		}
	case !errors.Is(err, ledger.ErrUnavailable) && !errors.Is(err, ledger.ErrUnknownOutcome):
		t.Fatalf("submit: %v", err)
	}
}

func (w *lossyWorld) name() string { return fmt.Sprintf("dispatcher-%d", w.lives) }

func (w *lossyWorld) lease(t *rapid.T) {
	shard := ledger.ShardID(rapid.IntRange(0, 1).Draw(t, "shard"))
	leases, err := w.work.LeaseAt(background, shard, w.name(), "m", rapid.IntRange(1, 5).Draw(t, "count"))
	if err == nil {
		w.held = append(w.held, leases...)
	}
}

// run runs the first item that is held, as a dispatcher does.
func (w *lossyWorld) run(t *rapid.T) {
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

func (w *lossyWorld) report(*rapid.T) {
	if len(w.pending) > 0 && w.work.Report(background, w.pending) == nil {
		w.pending = nil
	}
}

// crash ends the dispatcher; its leases end as the keeper would end them.
func (w *lossyWorld) crash(t *rapid.T) {
	dead := w.name()
	w.lives++
	w.held, w.pending = nil, nil
	w.endLeases(t, dead)
}

// orphans ends the leases whose answers were lost, which nobody renews.
func (w *lossyWorld) orphans(t *rapid.T) {
	w.held, w.pending = nil, nil
	w.endLeases(t, w.name())
}

func (w *lossyWorld) endLeases(t *rapid.T, dispatcher string) {
	for shard := range ledger.ShardID(2) {
		for _, held := range w.node.machine(shard).HeldLeases() {
			if held.Dispatcher != dispatcher {
				continue
			}
			entry, err := machine.Encode(time.Now(), &machine.ExpireLeases{Dispatcher: dispatcher, Epochs: []uint64{held.Epoch}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := w.calm.Caller.Call(background, remote.OperationPropose, shard, entry); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (w *lossyWorld) cancel(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key")
	jobID, ok := w.accepted[key]
	if !ok || rapid.IntRange(0, 3).Draw(t, "really") > 0 || w.jobs.Cancel(background, "t", jobID) != nil {
		return
	}
	w.calm.calm = true
	job, err := w.queries.Job(background, "t", jobID)
	w.calm.calm = false
	if err != nil {
		t.Fatal(err)
	}
	if _, before := w.cancelled[jobID]; !before {
		w.cancelled[jobID] = job.Counters.Final()
	}
}

// finish lets all be done without trouble, and compares.
func (w *lossyWorld) finish(t *rapid.T) {
	w.calm.calm = true
	for key, content := range w.content {
		w.submitAs(t, key, content) // a resend finds the same job
	}
	w.report(t)
	w.orphans(t)
	for range 200 {
		for shard := range ledger.ShardID(2) {
			leases, err := w.work.LeaseAt(background, shard, w.name(), "m", 10)
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

func (w *lossyWorld) checkJob(t *rapid.T, jobID, content string) {
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
			t.Fatalf("job %s: result %+v out of place", jobID, result)
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

func TestClientsOverALossyLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world, closed := newLossyWorld(t)
		defer closed()
		t.Repeat(map[string]func(*rapid.T){
			"submit": world.submit, "lease": world.lease, "run": world.run, "run more": world.run, "report": world.report,
			"crash": world.crash, "orphans": world.orphans, "cancel": world.cancel,
		})
		world.finish(t)
	})
}
