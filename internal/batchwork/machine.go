package batchwork

import (
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

// Answers of the machine to proposers.
const (
	answerDone = iota
	answerQueueFull
	answerNoJob
	answerTenantMismatch
	answerOtherShard // shard 0: another shard has or is to get the job
	answerMoved      // it was claimed before the queue or the job moved to another shard
	answerOutdated   // the request's configuration is outdated
)

// Machine implements ledger.StateMachine. Memory holds a summary of the store; bodies and
// texts are in the store only.
type Machine struct {
	// mutex guards the fields below for readers beside Apply; no other lock is taken under
	// it.
	mutex  sync.RWMutex
	jobs   map[string]*jobState
	queued map[queue]int64 // tokens of open items
	// claims and homes exist at shard 0 only; see claim.go.
	claims map[string]*claim
	homes  map[queue]*home
	fences map[string]fenceRecord
	// changed fires when a result or job is added or a job ends.
	changed signal
	// now returns the time of a steady clock; see jobAge.
	now func() time.Time
}

// queue identifies the unit that a bound on queued tokens applies to.
type queue struct{ route, tenant string }

func (j *Job) queue() queue { return queue{j.Route, j.Tenant} }

// jobName identifies a job to a tenant; another tenant's job appears not to exist. All
// tenants can access a job without a tenant.
type jobName struct{ job, tenant string }

func (n jobName) matches(job *jobState) bool {
	return job != nil && (job.Tenant == "" || job.Tenant == n.tenant)
}

type jobState struct {
	Job       // without Items
	items     []itemState
	positions int
	ended     bool
	jobAge
	// changed fires when a result is added or the job ends.
	changed signal
}

type itemState struct {
	id        string
	tokens    int64
	state     State
	lastEvent uint64
	failures  uint8
	origin    textOrigin
}

var _ ledger.StateMachine = (*Machine)(nil)

// NewMachine returns a machine of an empty store.
func NewMachine() *Machine {
	m := &Machine{now: time.Now}
	m.clear()
	return m
}

func (m *Machine) clear() {
	m.jobs = map[string]*jobState{}
	m.queued = map[queue]int64{}
	m.claims = map[string]*claim{}
	m.homes = map[queue]*home{}
	m.fences = map[string]fenceRecord{}
}

// Apply implements ledger.StateMachine.
func (m *Machine) Apply(writer ledger.Writer, index uint64, entry []byte) ([]byte, error) {
	var fixed fixedCommand
	fields, err := unmarshal(entry, &fixed, -1)
	if err != nil {
		return nil, trace.Wrap(err, "decode log entry")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	answer := byte(answerDone)
	var content []byte
	switch fixed.Kind {
	case commandSubmit:
		answer, err = m.submit(writer, fields)
	case commandAdvance:
		content, err = m.advance(writer, fields)
	case commandEnd:
		answer, content, err = m.end(writer, fields)
	case commandPurge:
		err = m.purge(writer, fields)
	case commandClaim:
		answer, content, err = m.claim(writer, index, fixed.At, fields[0])
	case commandFence:
		answer, content, err = m.fence(writer, fixed.At, fields[0])
	case commandPlace:
		answer, err = m.acceptClaimed(writer, fields)
	case commandForget:
		err = m.forget(writer, fields)
	}
	return append([]byte{answer}, content...), err
}

func (m *Machine) submit(writer ledger.Writer, fields [][]byte) (byte, error) {
	job, err := decodeJob(fields[0])
	if err != nil {
		return 0, err
	}
	if m.jobs[job.ID] == nil && (m.claims[job.ID] != nil || m.homes[job.queue()] != nil) {
		return answerOtherShard, nil
	}
	return m.accept(writer, job, 0)
}

// accept stores a job unless it exists; queuedElsewhere is its queue's tokens at other
// shards.
func (m *Machine) accept(writer ledger.Writer, job *Job, queuedElsewhere int64) (byte, error) {
	if known := m.jobs[job.ID]; known != nil {
		if known.Tenant != job.Tenant {
			return answerTenantMismatch, nil
		}
		return answerDone, nil
	}
	var tokens int64
	for i := range job.Items {
		tokens += job.Items[i].Tokens
	}
	if job.QueuedTokens > 0 && m.queued[job.queue()]+queuedElsewhere+tokens > job.QueuedTokens {
		return answerQueueFull, nil
	}
	if err := writer.Set(key(keyJob, job.ID), encodeJob(job, false)); err != nil {
		return 0, err
	}
	state := &jobState{Job: *job, jobAge: jobAge{knownSince: m.now()}}
	state.Items = nil
	for i := range job.Items {
		item := &job.Items[i]
		if err := writer.Set(key(keyItem, job.ID, uint64(i)), encodeItem(item, false)); err != nil {
			return 0, err
		}
		if err := writer.Set(key(keyBody, job.ID, uint64(i)), item.Body); err != nil {
			return 0, err
		}
		state.items = append(state.items, itemState{id: item.ID, tokens: item.Tokens})
	}
	m.jobs[job.ID] = state
	m.queued[job.queue()] += tokens
	m.changed.fire()
	return answerDone, nil
}

// advance applies updates and returns the outcome of each.
func (m *Machine) advance(writer ledger.Writer, fields [][]byte) ([]byte, error) {
	outcomes := make([]updateOutcome, 0, len(fields))
	changed := false
	for _, field := range fields {
		u, err := decodeUpdate(field)
		if err != nil {
			return nil, err
		}
		outcome, err := m.advanceItem(writer, u)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, outcome)
		changed = changed || (outcome == updateApplied && u.state != StateOpen)
	}
	if changed {
		m.changed.fire()
	}
	return encodeOutcomes(outcomes), nil
}

// advanceItem applies one update, unless the item is final or the update doesn't follow its text.
func (m *Machine) advanceItem(writer ledger.Writer, u itemUpdate) (updateOutcome, error) {
	job := m.jobs[u.job]
	if job == nil || job.ended || int(u.index) >= len(job.items) {
		return updateClosed, nil
	}
	item := &job.items[u.index]
	switch {
	case item.state != StateOpen:
		return updateClosed, nil
	case !u.follows(item):
		return updateSuperseded, nil
	}
	if u.hasText() {
		if err := item.setText(writer, u); err != nil {
			return 0, err
		}
	}
	item.failures += u.failures
	item.state = u.state
	if err := writer.Set(key(keyState, u.job, uint64(u.index)), encodeState(item)); err != nil {
		return 0, err
	}
	if u.state == StateOpen {
		return updateApplied, nil
	}
	m.queued[job.queue()] -= item.tokens
	if u.state == StateSucceeded {
		// Bodies stay readable until the item has a result; a succeeded one isn't run
		// again.
		if err := writer.Delete(key(keyBody, u.job, uint64(u.index))); err != nil {
			return 0, err
		}
	}
	position := uint64(job.positions)
	job.positions++
	job.changed.fire()
	return updateApplied, writer.Set(key(keyResult, u.job, position), marshal(fixedIndex{u.index}))
}

// setText appends an update's text, or replaces the item's by it.
func (i *itemState) setText(writer ledger.Writer, u itemUpdate) error {
	if u.fresh {
		if err := writer.DeleteRange(key(keyText, u.job, uint64(u.index)), key(keyText, u.job, uint64(u.index)+1)); err != nil {
			return err
		}
	}
	if err := writer.Set(key(keyText, u.job, uint64(u.index), u.to), u.text); err != nil {
		return err
	}
	i.lastEvent = u.to
	next := u.nextOrigin()
	if next == i.origin {
		return nil
	}
	i.origin = next
	return writer.Set(key(keyOrigin, u.job, uint64(u.index)), encodeOrigin(next, false))
}

type fixedIndex struct{ Index uint32 }

type fixedState struct {
	State     State
	LastEvent uint64
	Failures  uint8
}

func encodeState(item *itemState) []byte {
	return marshal(fixedState{item.state, item.lastEvent, item.failures})
}

const endedIndex = ^uint64(0) // in place of an item index: the job has ended

func (m *Machine) end(writer ledger.Writer, fields [][]byte) (byte, []byte, error) {
	if len(fields) != 2 {
		return 0, nil, wire.ErrLength
	}
	name := jobName{string(fields[0]), string(fields[1])}
	if shard, elsewhere := m.otherShard(name); elsewhere {
		return answerOtherShard, marshal(fixedOtherShard{uint32(shard)}), nil
	}
	job := m.jobs[name.job]
	if !name.matches(job) {
		return answerNoJob, nil, nil
	}
	if job.ended {
		return answerDone, nil, nil
	}
	job.ended = true
	for i := range job.items {
		if job.items[i].state == StateOpen {
			m.queued[job.queue()] -= job.items[i].tokens
		}
	}
	job.changed.fire()
	m.changed.fire()
	from, to := keyRange(keyBody, job.ID)
	if err := writer.DeleteRange(from, to); err != nil {
		return answerDone, nil, err
	}
	return answerDone, nil, writer.Set(key(keyState, job.ID, endedIndex), marshal(fixedState{}))
}

func (m *Machine) purge(writer ledger.Writer, fields [][]byte) error {
	for _, field := range fields {
		job := m.jobs[string(field)]
		if job == nil || !job.closed() {
			continue
		}
		for _, prefix := range []byte{keyJob, keyItem, keyBody, keyState, keyText, keyResult, keyOrigin} {
			from, to := keyRange(prefix, job.ID)
			if err := writer.DeleteRange(from, to); err != nil {
				return err
			}
		}
		delete(m.jobs, job.ID)
	}
	return nil
}

// closed reports whether no item of the job is open.
func (j *jobState) closed() bool { return j.ended || j.positions == len(j.items) }

// hasJob reports whether a job exists here.
func (m *Machine) hasJob(job string) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.jobs[job] != nil
}

// owner returns the tenant of a job that exists here or was claimed for another shard; empty if there is
// none.
func (m *Machine) owner(job string) string {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if state := m.jobs[job]; state != nil {
		return state.Tenant
	}
	if known := m.claims[job]; known != nil {
		return known.tenant
	}
	return ""
}

// size returns the number of a job's items, or 0 if the job doesn't exist for its tenant.
func (m *Machine) size(name jobName) int {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if state := m.jobs[name.job]; name.matches(state) {
		return len(state.items)
	}
	return 0
}

// item returns the state of an item.
func (m *Machine) item(job string, index uint32) (itemState, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	state := m.jobs[job]
	if state == nil || int(index) >= len(state.items) {
		return itemState{}, false
	}
	return state.items[index], true
}

// openItem is an item to be run.
type openItem struct {
	job       string
	index     uint32
	host      string
	path      string // of the job
	tenant    string
	due       time.Time
	giveUp    time.Time
	lastEvent uint64
	failures  uint8
	origin    textOrigin
	// promptTokens is an estimate of the prompt's length.
	promptTokens int
	// jobItems is the number of items of the job.
	jobItems int
}

// openItems lists the items that are not final by earliest due time, in times of the process's
// clock. It sorts jobs, which are far fewer than items.
func (m *Machine) openItems() []openItem { return m.openItemsAt(clock.Now(), time.Now()) }

func (m *Machine) openItemsAt(now, wallNow time.Time) []openItem {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	steadyNow := m.now()
	var jobs []*jobState
	count := 0
	for _, job := range m.jobs {
		if !job.closed() {
			jobs = append(jobs, job)
			count += len(job.items) - job.positions
		}
	}
	due := make(map[string]time.Time, len(jobs))
	for _, job := range jobs {
		due[job.ID] = now.Add(job.Completion - job.likely(job.Submitted, steadyNow, wallNow))
	}
	sort.Slice(jobs, func(i, j int) bool {
		if a, b := due[jobs[i].ID], due[jobs[j].ID]; !a.Equal(b) {
			return a.Before(b)
		}
		return jobs[i].ID < jobs[j].ID
	})
	open := make([]openItem, 0, count)
	for _, job := range jobs {
		giveUp := now.Add(job.Retention - job.least(job.Submitted, steadyNow, wallNow))
		open = job.appendOpen(open, due[job.ID], giveUp)
	}
	return open
}

func (j *jobState) appendOpen(open []openItem, due, giveUp time.Time) []openItem {
	for i := range j.items {
		item := &j.items[i]
		if item.state != StateOpen {
			continue
		}
		open = append(open, openItem{
			job: j.ID, index: uint32(i), host: j.Host, path: j.Path, tenant: j.Tenant, due: due, giveUp: giveUp,
			lastEvent: item.lastEvent, failures: item.failures, origin: item.origin, promptTokens: int(item.tokens / 2), jobItems: len(j.items),
		})
	}
	return open
}

// Open returns the number of items that are not final.
func (m *Machine) Open() int {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	open := 0
	for _, job := range m.jobs {
		if !job.ended {
			open += len(job.items) - job.positions
		}
	}
	return open
}

// purgeable lists closed jobs that were submitted at least as long ago as keep.
func (m *Machine) purgeable(keep time.Duration, wallNow time.Time) []string {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	steadyNow := m.now()
	var jobs []string
	for id, job := range m.jobs {
		if job.closed() && job.least(job.Submitted, steadyNow, wallNow) > keep {
			jobs = append(jobs, id)
		}
	}
	sort.Strings(jobs)
	return jobs
}

// isOpen reports whether the item is still to be run.
func (m *Machine) isOpen(job string, index uint32) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	state := m.jobs[job]
	return state != nil && !state.ended && int(index) < len(state.items) && state.items[index].state == StateOpen
}

// results returns the number of a job's results, and a channel that closes at its next
// change; found is false if the job doesn't exist for its tenant.
func (m *Machine) results(name jobName) (positions int, closed bool, changed <-chan struct{}, found bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.jobs[name.job]
	if !name.matches(state) {
		return 0, false, nil, false
	}
	return state.positions, state.closed(), state.changed.wait(), true
}

// Jobs counts all jobs, and those for which permitted returns false.
func (m *Machine) Jobs(permitted func(host, path, tenant string) bool) (all, misplaced int) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	for _, job := range m.jobs {
		if !permitted(job.Host, job.Path, job.Tenant) {
			misplaced++
		}
	}
	return len(m.jobs), misplaced
}

// changes returns a channel that closes at the next change.
func (m *Machine) changes() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.changed.wait()
}
