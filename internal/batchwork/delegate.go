package batchwork

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

var eventExecutorLost = telemetry.Define(3214, "executor-lost", "A data node that ran items for this leader fell silent or failed; its runs go on elsewhere.")

// stopTime is how long the leader waits for the last text of a run that it ended.
const stopTime = 500 * time.Millisecond

// errRunLost says that nothing is known of a run any more.
var errRunLost = errors.New("the executor fell silent")

// runAt lets another data node run an item, and returns how that ended.
func (r *Runner) runAt(next *startedRun, read *Item) runResult {
	request := runRequest{
		run: next.number, item: next.item, read: *read, engine: next.engine, attempts: next.route.Attempts,
		restricted: r.regions(next.route, next.item.tenant) != nil,
	}
	calling, cancel := context.WithTimeoutCause(next.calling, clock.Until(next.item.giveUp)+giveUpMargin, errRunLost)
	defer cancel()
	release := context.AfterFunc(next.ctx, func() { r.stopAt(next) })
	defer release()
	encoded, err := r.options.Sender.Call(calling, next.executor, kindRun, request.marshal(clock.Now()))
	if err == nil {
		var result runResult
		if result, err = unmarshalResult(encoded); err == nil {
			return result
		}
	}
	if next.ctx.Err() == nil {
		r.executorFailed(next.executor, err)
	}
	return runResult{pause: refusalPause}
}

// stopAt ends a run at another data node, and gives its last text some time.
func (r *Runner) stopAt(next *startedRun) {
	ctx, cancel := context.WithTimeout(next.calling, stopTime)
	defer cancel()
	// If the end doesn't get there, the run ends with its stream; its text is
	// dropped by the ledger once the item went on elsewhere.
	_, _ = r.options.Sender.Call(ctx, next.executor, kindStop, marshal(fixedRunName{next.number}))
	timer := time.NewTimer(stopTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-next.calling.Done():
	}
	next.abandon()
}

func (r *Runner) executorFailed(executor transport.Address, cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executors.fail(executor, clock.Now())
	eventExecutorLost.Info("peer", executor, "cause", cause)
}

// dropSilent gives the runs up of data nodes that fell silent.
func (r *Runner) dropSilent(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, executor := range r.executors.silent(now) {
		lost := 0
		for _, run := range r.runs {
			if run.executor == executor {
				run.cancel()
				run.abandon()
				lost++
			}
		}
		eventExecutorLost.Info("peer", executor, "cause", errRunLost, "runs", lost)
	}
}

// errNotWanted says that a run is not one of this leader's any more.
var errNotWanted = errors.New("the run is not wanted any more")

// confirmRun answers an executor that is about to begin a run.
func (r *Runner) confirmRun(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
	var asked fixedConfirm
	fields, err := unmarshal(payload, &asked, 1)
	if err != nil {
		return nil, trace.Wrap(err, "question of peer %s", from)
	}
	k := itemKey{string(fields[0]), asked.Index}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run := r.runs[k]
	wanted := r.term != 0 && run != nil && run.executor == from && run.number == asked.Run && run.ctx.Err() == nil
	if !wanted || !r.options.Machine.isOpen(k.job, k.index) {
		return nil, trace.Wrap(errNotWanted)
	}
	return nil, nil
}

// takeSteps commits what runs at another data node yield.
func (r *Runner) takeSteps(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	encoded, err := unmarshal(payload, &fixedSteps{}, -1)
	if err != nil {
		return nil, trace.Wrap(err, "steps of peer %s", from)
	}
	if !r.Leading() {
		return nil, trace.Wrap(&ledger.NotLeaderError{})
	}
	wanted, err := r.noteSteps(from, encoded)
	if err != nil || len(wanted) == 0 {
		return nil, err
	}
	return nil, r.proposeEncoded(ctx, wanted)
}

// noteSteps notes that an executor lives, and that its runs have begun. It returns
// the steps but for those of items that another node runs by now.
func (r *Runner) noteSteps(from transport.Address, encoded [][]byte) (wanted [][]byte, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executors.hear(from, clock.Now())
	for _, field := range encoded {
		s, err := decodeStep(field)
		if err != nil {
			return nil, trace.Wrap(err, "steps of peer %s", from)
		}
		run := r.runs[itemKey{s.job, s.index}]
		if run != nil && run.executor != from {
			continue
		}
		if run != nil {
			run.begun = true
			run.lease.PrefillDone()
		}
		wanted = append(wanted, field)
	}
	return wanted, nil
}

func (r *Runner) takeAlive(from transport.Address, _ []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executors.hear(from, clock.Now())
}
