package batchwork

import (
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

// Answers of the machine to proposers.
const (
	answerDone = iota
	answerQueueFull
	answerNoJob
	answerForeign
	answerElsewhere // shard 0: another shard is to have it
	answerMoved     // it was claimed before the queue or the job was moved elsewhere
	answerOutdated  // a newer configuration than the asker's holds
)

// Machine implements ledger.StateMachine. Its own memory is a summary of what
// the store holds; bodies and texts are in the store only.
type Machine struct {
	// mutex guards what is below, for readers beside Apply; a leaf.
	mutex  sync.RWMutex
	jobs   map[string]*jobState
	queued map[queue]int64 // tokens of open items
	// claims and homes are of shard 0; see claim.go.
	claims map[string]*claim
	homes  map[queue]*home
	fences map[string]fenceRecord
	// added fires whenever a result or job is added.
	added signal
}

// queue is what a bound on waiting tokens holds for.
type queue struct{ route, tenant string }

func (j *Job) queue() queue { return queue{j.Route, j.Tenant} }

// jobName names a job as a caller does: another tenant's is as unknown as one that
// doesn't exist. A job that was submitted without a key is everybody's.
type jobName struct{ job, tenant string }

func (n jobName) names(job *jobState) bool {
	return job != nil && (job.Tenant == "" || job.Tenant == n.tenant)
}

type jobState struct {
	Job       // without items
	items     []itemState
	positions int
	ended     bool
	// listed fires whenever a result is added or the job is ended.
	listed signal
}

type itemState struct {
	id        string
	tokens    int64
	state     State
	lastEvent uint64
	failures  uint8
}

var _ ledger.StateMachine = (*Machine)(nil)

// NewMachine returns a machine of an empty store.
func NewMachine() *Machine {
	m := &Machine{}
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
		return nil, trace.Wrap(err, "decode an entry")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	answer := byte(answerDone)
	var content []byte
	switch fixed.Kind {
	case commandSubmit:
		answer, err = m.submit(writer, fields)
	case commandAdvance:
		err = m.advance(writer, fields)
	case commandEnd:
		answer, content, err = m.end(writer, fields)
	case commandPurge:
		err = m.purge(writer, fields)
	case commandClaim:
		answer, content, err = m.claim(writer, index, fixed.At, fields[0])
	case commandFence:
		answer, content, err = m.fence(writer, fixed.At, fields[0])
	case commandPlace:
		answer, err = m.place(writer, fields)
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
		return answerElsewhere, nil
	}
	return m.take(writer, job, 0)
}

// take takes a job unless it is known; elsewhere are the tokens of its queue that wait
// at other shards.
func (m *Machine) take(writer ledger.Writer, job *Job, elsewhere int64) (byte, error) {
	if known := m.jobs[job.ID]; known != nil {
		if known.Tenant != job.Tenant {
			return answerForeign, nil
		}
		return answerDone, nil
	}
	var tokens int64
	for i := range job.Items {
		tokens += job.Items[i].Tokens
	}
	if job.QueuedTokens > 0 && m.queued[job.queue()]+elsewhere+tokens > job.QueuedTokens {
		return answerQueueFull, nil
	}
	if err := writer.Set(key(keyJob, job.ID), encodeJob(job, false)); err != nil {
		return 0, err
	}
	state := &jobState{Job: *job}
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
	m.added.fire()
	return answerDone, nil
}

func (m *Machine) advance(writer ledger.Writer, fields [][]byte) error {
	listed := false
	for _, field := range fields {
		s, err := decodeStep(field)
		if err != nil {
			return err
		}
		final, err := m.advanceItem(writer, s)
		if err != nil {
			return err
		}
		listed = listed || final
	}
	if listed {
		m.added.fire()
	}
	return nil
}

// advanceItem applies one step and says whether the item got its position.
func (m *Machine) advanceItem(writer ledger.Writer, s step) (bool, error) {
	job := m.jobs[s.job]
	if job == nil || job.ended || int(s.index) >= len(job.items) {
		return false, nil
	}
	item := &job.items[s.index]
	if item.state != StateOpen || item.lastEvent != s.from {
		return false, nil
	}
	if s.to > s.from {
		if err := writer.Set(key(keyText, s.job, uint64(s.index), s.to), s.text); err != nil {
			return false, err
		}
		item.lastEvent = s.to
	}
	item.failures += s.failures
	item.state = s.state
	if err := writer.Set(key(keyState, s.job, uint64(s.index)), encodeState(item)); err != nil {
		return false, err
	}
	if s.state == StateOpen {
		return false, nil
	}
	m.queued[job.queue()] -= item.tokens
	if s.state == StateSucceeded {
		// Bodies are asked for until the item is listed; it isn't run again.
		if err := writer.Delete(key(keyBody, s.job, uint64(s.index))); err != nil {
			return false, err
		}
	}
	position := uint64(job.positions)
	job.positions++
	job.listed.fire()
	return true, writer.Set(key(keyResult, s.job, position), marshal(fixedIndex{s.index}))
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

const endedIndex = ^uint64(0) // in place of an item: the job is ended

func (m *Machine) end(writer ledger.Writer, fields [][]byte) (byte, []byte, error) {
	if len(fields) != 2 {
		return 0, nil, wire.ErrLength
	}
	name := jobName{string(fields[0]), string(fields[1])}
	if shard, away := m.elsewhere(name); away {
		return answerElsewhere, marshal(fixedElsewhere{uint32(shard)}), nil
	}
	job := m.jobs[name.job]
	if !name.names(job) {
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
	job.listed.fire()
	m.added.fire()
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
		for _, letter := range []byte{keyJob, keyItem, keyBody, keyState, keyText, keyResult} {
			from, to := keyRange(letter, job.ID)
			if err := writer.DeleteRange(from, to); err != nil {
				return err
			}
		}
		delete(m.jobs, job.ID)
	}
	return nil
}

// closed says that nothing of the job is open.
func (j *jobState) closed() bool { return j.ended || j.positions == len(j.items) }

// knows says whether a job is there.
func (m *Machine) knows(job string) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.jobs[job] != nil
}

// size is the number of a job's items; 0 if its caller has no such job.
func (m *Machine) size(name jobName) int {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if state := m.jobs[name.job]; name.names(state) {
		return len(state.items)
	}
	return 0
}

// item returns what is remembered of an item.
func (m *Machine) item(job string, index uint32) (itemState, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	state := m.jobs[job]
	if state == nil || int(index) >= len(state.items) {
		return itemState{}, false
	}
	return state.items[index], true
}

// openItem is an item that is to be run.
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
	// promptTokens is about how long the prompt is that an engine has to read.
	promptTokens int
}

// openItems lists the items that are not final, the first due first. Jobs are
// sorted, not items: there are far fewer.
func (m *Machine) openItems() []openItem {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var jobs []*jobState
	count := 0
	for _, job := range m.jobs {
		if !job.closed() {
			jobs = append(jobs, job)
			count += len(job.items) - job.positions
		}
	}
	sort.Slice(jobs, func(i, j int) bool {
		if a, b := jobs[i].due(), jobs[j].due(); !a.Equal(b) {
			return a.Before(b)
		}
		return jobs[i].ID < jobs[j].ID
	})
	open := make([]openItem, 0, count)
	for _, job := range jobs {
		open = job.appendOpen(open)
	}
	return open
}

// due is when the job's results are due.
func (j *jobState) due() time.Time { return j.Submitted.Add(j.Completion) }

func (j *jobState) appendOpen(open []openItem) []openItem {
	due, giveUp := j.due(), j.Submitted.Add(j.Retention)
	for i := range j.items {
		item := &j.items[i]
		if item.state != StateOpen {
			continue
		}
		open = append(open, openItem{
			job: j.ID, index: uint32(i), host: j.Host, path: j.Path, tenant: j.Tenant, due: due, giveUp: giveUp,
			lastEvent: item.lastEvent, failures: item.failures, promptTokens: int(item.tokens / 2),
		})
	}
	return open
}

// Open is the number of items that are not final.
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

// purgeable lists closed jobs that were submitted before the time.
func (m *Machine) purgeable(before time.Time) []string {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var jobs []string
	for id, job := range m.jobs {
		if job.closed() && job.Submitted.Before(before) {
			jobs = append(jobs, id)
		}
	}
	sort.Strings(jobs)
	return jobs
}

// isOpen says whether the item still wants to be run.
func (m *Machine) isOpen(job string, index uint32) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	state := m.jobs[job]
	return state != nil && !state.ended && int(index) < len(state.items) && state.items[index].state == StateOpen
}

// results says how many positions the job has; false if its caller has no such job.
// changed closes once there are more.
func (m *Machine) results(name jobName) (positions int, closed bool, changed <-chan struct{}, found bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.jobs[name.job]
	if !name.names(state) {
		return 0, false, nil, false
	}
	return state.positions, state.closed(), state.listed.wait(), true
}

// Jobs counts the jobs here, and those for which stays is false.
func (m *Machine) Jobs(stays func(host, path, tenant string) bool) (all, astray int) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	for _, job := range m.jobs {
		if !stays(job.Host, job.Path, job.Tenant) {
			astray++
		}
	}
	return len(m.jobs), astray
}

// changes returns a channel that closes at the next change.
func (m *Machine) changes() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.added.wait()
}
