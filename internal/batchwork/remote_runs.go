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

var eventExecutorLost = telemetry.Define(3214, "executor-lost", "A data node that ran items for this leader timed out or failed; its items resume elsewhere.")

// stopTime is how long the leader waits for the last text of a run that it stopped.
const stopTime = 500 * time.Millisecond

// errRunLost means that the state of a run is unknown.
var errRunLost = errors.New("the executor timed out")

// runRemotely runs an item at another data node and returns the result.
func (r *Runner) runRemotely(next *startedRun, read *Item) runResult {
	request := runRequest{
		run: next.number, item: next.item, read: *read, engine: next.engine, maxFailures: next.route.Attempts,
		origin: next.origin(), startsOver: next.startsOver, restricted: r.regions(next.route, next.item.tenant) != nil,
	}
	callCtx, cancel := context.WithTimeoutCause(next.callCtx, clock.Until(next.item.giveUp)+giveUpMargin, errRunLost)
	defer cancel()
	release := context.AfterFunc(next.ctx, func() { r.stopRemotely(next) })
	defer release()
	encoded, err := r.options.Sender.Call(callCtx, next.executor, kindRun, request.marshal(clock.Now()))
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

// stopRemotely stops a run at another data node, and waits briefly for its last text.
func (r *Runner) stopRemotely(next *startedRun) {
	ctx, cancel := context.WithTimeout(next.callCtx, stopTime)
	defer cancel()
	// If this call is lost, the run ends with its stream or at its next update, which is
	// rejected once the run is abandoned.
	_, _ = r.options.Sender.Call(ctx, next.executor, kindStop, marshal(fixedRunName{next.number}))
	timer := time.NewTimer(stopTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-next.callCtx.Done():
	}
	next.abandon()
}

func (r *Runner) executorFailed(executor transport.Address, cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executors.backOff(executor, clock.Now())
	eventExecutorLost.Info("peer", executor, "cause", cause)
}

// dropSilentExecutors abandons the runs of executors that timed out.
func (r *Runner) dropSilentExecutors(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, executor := range r.executors.expireSilent(now) {
		lost := 0
		for _, run := range r.runs {
			if run.executor == executor {
				r.cut(run, cutExecutorLost)
				run.abandon()
				lost++
			}
		}
		eventExecutorLost.Info("peer", executor, "cause", errRunLost, "runs", lost)
	}
}

// errRunObsolete means that a run is no longer one of this leader's.
var errRunObsolete = errors.New("the run is not wanted any more")

// handleConfirm answers an executor that is about to start a run.
func (r *Runner) handleConfirm(_ context.Context, from transport.Address, payload []byte) ([]byte, error) {
	var request fixedConfirm
	fields, err := unmarshal(payload, &request, 1)
	if err != nil {
		return nil, trace.Wrap(err, "decode run confirmation request of peer %s", from)
	}
	k := itemKey{string(fields[0]), request.Index}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run := r.runs[k]
	wanted := r.term != 0 && run != nil && run.executor == from && run.number == request.Run && run.ctx.Err() == nil
	if !wanted || !r.options.Machine.isOpen(k.job, k.index) {
		return nil, trace.Wrap(errRunObsolete)
	}
	return nil, nil
}

// handleUpdates commits updates of runs at another data node and replies with their outcomes.
func (r *Runner) handleUpdates(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	encoded, err := unmarshal(payload, &fixedUpdates{}, -1)
	if err != nil {
		return nil, trace.Wrap(err, "decode updates of peer %s", from)
	}
	if !r.Leading() {
		return nil, trace.Wrap(&ledger.NotLeaderError{})
	}
	wanted, err := r.filterUpdates(from, encoded)
	if err != nil {
		return nil, err
	}
	outcomes, err := r.proposeWanted(ctx, from, encoded, wanted)
	if err != nil {
		return nil, err
	}
	r.cutSuperseded(from, encoded, outcomes)
	return encodeUpdatesReply(outcomes), nil
}

// proposeWanted commits the updates with the wanted indices and returns the outcomes of all; the
// others count as superseded.
func (r *Runner) proposeWanted(ctx context.Context, from transport.Address, encoded [][]byte, wanted []int) ([]updateOutcome, error) {
	outcomes := make([]updateOutcome, len(encoded))
	for i := range outcomes {
		outcomes[i] = updateSuperseded
	}
	updates := make([][]byte, 0, len(wanted))
	for _, i := range wanted {
		outcomes[i] = updateApplied
		updates = append(updates, encoded[i])
	}
	r.reportDropped(from, encoded, outcomes)
	if len(updates) == 0 {
		return outcomes, nil
	}
	committed, err := r.proposeEncoded(ctx, from, updates)
	if err != nil {
		return nil, err
	}
	for n, i := range wanted {
		outcomes[i] = committed[n]
	}
	return outcomes, nil
}

// filterUpdates records a heartbeat and the start of the executor's runs. It returns the
// indices of the updates, except those of items that the executor doesn't run for this leader
// now and of superseded runs.
func (r *Runner) filterUpdates(from transport.Address, encoded [][]byte) (wanted []int, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executors.heartbeat(from, clock.Now())
	for i, field := range encoded {
		u, err := decodeUpdate(field)
		if err != nil {
			return nil, trace.Wrap(err, "decode updates of peer %s", from)
		}
		run := r.runs[itemKey{u.job, u.index}]
		if run == nil || run.executor != from || run.superseded {
			continue
		}
		r.setBegun(run)
		run.lease.PrefillDone()
		wanted = append(wanted, i)
	}
	return wanted, nil
}

// cutSuperseded cuts the executor's runs whose updates were superseded. Executors of older
// versions don't read the outcomes and would go on.
func (r *Runner) cutSuperseded(from transport.Address, encoded [][]byte, outcomes []updateOutcome) {
	for i, outcome := range outcomes {
		if outcome != updateSuperseded {
			continue
		}
		u, err := decodeUpdate(encoded[i])
		if err != nil {
			continue // filterUpdates decoded it before
		}
		r.mutex.Lock()
		if run := r.runs[itemKey{u.job, u.index}]; run != nil && run.executor == from {
			run.superseded = true
			r.cut(run, cutSuperseded)
		}
		r.mutex.Unlock()
	}
}

func (r *Runner) handleHeartbeat(from transport.Address, _ []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executors.heartbeat(from, clock.Now())
}
