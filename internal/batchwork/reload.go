package batchwork

import (
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
)

// Reload implements ledger.StateMachine.
func (m *Machine) Reload(reader ledger.Reader) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.jobs
	for _, job := range known {
		job.changed.fire()
	}
	m.clear()
	for _, load := range []struct {
		prefix  byte
		numbers int
		take    func(job string, numbers []uint64, value []byte) error
	}{
		{keyJob, 0, m.loadJob},
		{keyItem, 1, m.loadItem},
		{keyState, 1, m.loadState},
		{keyOrigin, 1, m.loadOrigin},
		{keyResult, 1, m.loadResult},
		{keyHome, 0, m.loadHome},
		{keyClaim, 0, m.loadClaim},
		{keyFence, 0, m.loadFence},
	} {
		from, to := keyRange(load.prefix, "")
		err := reader.Scan(from, to, func(k, value []byte) (bool, error) {
			job, numbers, err := splitKey(k, load.numbers)
			if err != nil {
				return false, err
			}
			return true, load.take(job, numbers, value)
		})
		if err != nil {
			return trace.Wrap(err, "reload records with prefix %q", load.prefix)
		}
	}
	now := m.now()
	for id, job := range m.jobs {
		job.jobAge = jobAge{knownSince: now, reloaded: true}
		if before := known[id]; before != nil && before.Submitted.Equal(job.Submitted) {
			job.jobAge = before.jobAge
		}
	}
	m.countQueued()
	m.changed.fire()
	return nil
}

func (m *Machine) loadJob(id string, _ []uint64, value []byte) error {
	job, err := decodeJob(value)
	if err != nil {
		return err
	}
	m.jobs[id] = &jobState{Job: *job}
	return nil
}

func (m *Machine) loadItem(id string, _ []uint64, value []byte) error {
	item, err := decodeItem(value)
	if err != nil {
		return err
	}
	if job := m.jobs[id]; job != nil {
		job.items = append(job.items, itemState{id: item.ID, tokens: item.Tokens})
	}
	return nil
}

func (m *Machine) loadState(id string, numbers []uint64, value []byte) error {
	job := m.jobs[id]
	if job == nil {
		return nil
	}
	if numbers[0] == endedIndex {
		job.ended = true
		return nil
	}
	var fixed fixedState
	if _, err := unmarshal(value, &fixed, 0); err != nil {
		return err
	}
	if numbers[0] < uint64(len(job.items)) {
		item := &job.items[numbers[0]]
		item.state, item.lastEvent, item.failures = fixed.State, fixed.LastEvent, fixed.Failures
	}
	return nil
}

func (m *Machine) loadOrigin(id string, numbers []uint64, value []byte) error {
	job := m.jobs[id]
	if job == nil || numbers[0] >= uint64(len(job.items)) {
		return nil
	}
	origin, _, err := decodeOrigin(value)
	job.items[numbers[0]].origin = origin
	return err
}

func (m *Machine) loadResult(id string, _ []uint64, _ []byte) error {
	if job := m.jobs[id]; job != nil {
		job.positions++
	}
	return nil
}

func (m *Machine) countQueued() {
	for _, job := range m.jobs {
		for i := range job.items {
			if !job.ended && job.items[i].state == StateOpen {
				m.queued[job.queue()] += job.items[i].tokens
			}
		}
	}
}
