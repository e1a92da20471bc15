package machine

import (
	"encoding/binary"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
)

// Machine is the state machine of one shard. Apply and Reload are called by
// the shard; the other methods may be called concurrently.
type Machine struct {
	// mutex guards all fields. Lock order: after the shard's locks; no other
	// lock is acquired while it is held.
	mutex sync.RWMutex
	// clock is the highest time of an entry in milliseconds since the Unix
	// epoch; it never moves back.
	clock  int64
	open   map[string]*openJob
	shares map[string]uint64 // virtual time of each tenant with an open job
	rates  map[string]*rate
	// dropped counts dropped results for metrics; it is not replicated.
	dropped uint64
}

var _ ledger.StateMachine = (*Machine)(nil)

// New returns a machine without files or jobs.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.clock = 0
	m.open = map[string]*openJob{}
	m.shares = map[string]uint64{}
	m.rates = map[string]*rate{}
}

// transaction is the state of applying one entry.
type transaction struct {
	ledger.Writer
	machine *Machine
	index   uint64
	now     int64 // the machine's clock, in Unix milliseconds
	// touched and touchedModels are the jobs whose counters and the models
	// whose rates change in this entry.
	touched       map[string]*touchedJob
	touchedModels map[string]bool
}

type touchedJob struct {
	counters *Counters
	open     *openJob        // nil when the job is final
	blocks   map[uint32]bool // changed blocks of the bitmap of final items
}

// Apply implements ledger.StateMachine.
func (m *Machine) Apply(writer ledger.Writer, index uint64, entry []byte) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	at, command, err := Decode(entry)
	if err != nil {
		return Answer{Code: CodeMalformed}.Encode()
	}
	tx := &transaction{Writer: writer, machine: m, index: index}
	if err := tx.advanceClock(at); err != nil {
		return nil, trace.Wrap(err, "apply entry %d: clock", index)
	}
	answer, err := tx.apply(command)
	if err != nil {
		return nil, trace.Wrap(err, "apply entry %d: %T", index, command)
	}
	if err := tx.storeTouched(); err != nil {
		return nil, trace.Wrap(err, "apply entry %d: counters", index)
	}
	return answer.Encode()
}

// advanceClock sets the clock to at unless that would move it back.
func (tx *transaction) advanceClock(at time.Time) error {
	tx.now = max(tx.machine.clock, at.UnixMilli())
	if tx.now == tx.machine.clock {
		return nil
	}
	tx.machine.clock = tx.now
	return tx.Set([]byte{tableClock}, binary.BigEndian.AppendUint64(nil, uint64(tx.now)))
}

func (tx *transaction) apply(command Command) (Answer, error) {
	switch c := command.(type) {
	case *FileBegin:
		return tx.beginFile(c)
	case *FileAppend:
		return tx.appendFile(c)
	case *FileSeal:
		return tx.sealFile(c)
	case *FileDelete:
		return tx.deleteFile(c)
	case *JobBegin:
		return tx.beginJob(c)
	case *JobAppend:
		return tx.appendJob(c)
	case *JobSeal:
		return tx.sealJob(c)
	case *LeaseItems:
		return tx.leaseItems(c)
	case *Start:
		return tx.start(c)
	case *Report:
		return tx.report(c)
	case *ExpireLeases:
		return tx.expireLeases(c)
	case *Cancel:
		return tx.cancel(c)
	case *Tick:
		return tx.tick()
	default:
		return Answer{Code: CodeMalformed}, nil
	}
}

// Reload implements ledger.StateMachine.
func (m *Machine) Reload(reader ledger.Reader) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reset()
	if stored, ok, err := reader.Get([]byte{tableClock}); err != nil {
		return trace.Wrap(err, "reload: clock")
	} else if ok {
		m.clock = int64(binary.BigEndian.Uint64(stored))
	}
	if err := m.reloadShares(reader); err != nil {
		return trace.Wrap(err, "reload: shares")
	}
	if err := m.reloadRates(reader); err != nil {
		return trace.Wrap(err, "reload: rates")
	}
	return trace.Wrap(m.reloadJobs(reader), "reload: jobs")
}

func (m *Machine) reloadShares(reader ledger.Reader) error {
	from, to := tableRange(tableShare)
	return reader.Scan(from, to, func(key, value []byte) (bool, error) {
		tenant := string(key[1 : len(key)-1])
		m.shares[tenant] = binary.BigEndian.Uint64(value)
		return true, nil
	})
}

func (m *Machine) reloadRates(reader ledger.Reader) error {
	from, to := tableRange(tableRate)
	return reader.Scan(from, to, func(key, value []byte) (bool, error) {
		decoded, err := decodeRate(value)
		m.rates[string(key[1:len(key)-1])] = decoded
		return err == nil, err
	})
}

func (m *Machine) reloadJobs(reader ledger.Reader) error {
	var identifiers []string
	from, to := tableRange(tableOpen)
	err := reader.Scan(from, to, func(key, _ []byte) (bool, error) {
		identifiers = append(identifiers, string(key[1:len(key)-1]))
		return true, nil
	})
	if err != nil {
		return err
	}
	for _, jobID := range identifiers {
		job, err := loadOpenJob(reader, jobID)
		if err != nil {
			return trace.Wrap(err, "job %s", jobID)
		}
		m.open[jobID] = job
	}
	return nil
}

func loadOpenJob(reader ledger.Reader, jobID string) (*openJob, error) {
	record, ok, err := GetJob(reader, jobID)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, trace.NotFound("the record of open job %s is missing", jobID)
	}
	job := newOpenJob(record)
	if job.counters, err = GetCounters(reader, jobID); err != nil {
		return nil, err
	}
	if err := job.loadDone(reader); err != nil {
		return nil, err
	}
	if err := job.loadLeases(reader); err != nil {
		return nil, err
	}
	return job, job.loadStarted(reader)
}

// loadDone loads the items with a result; loadLeases then adds the leased ones to
// taken and subtracts them from available.
func (j *openJob) loadDone(reader ledger.Reader) error {
	from, to := rangeOf(tableDone, j.record.JobID)
	err := reader.Scan(from, to, func(key, value []byte) (bool, error) {
		j.done.decodeBlock(last32(key), value)
		return true, nil
	})
	copy(j.taken, j.done)
	j.available = j.remainingItems()
	return err
}

func (j *openJob) loadLeases(reader ledger.Reader) error {
	from, to := rangeOf(tableLease, j.record.JobID)
	return reader.Scan(from, to, func(key, value []byte) (bool, error) {
		stored, err := decodeLeaseRecord(value)
		if err != nil {
			return false, err
		}
		held := &lease{dispatcher: stored.dispatcher, indexes: stored.indexes}
		epoch := last64(key)
		j.leases[epoch] = held
		for _, index := range stored.indexes {
			if j.done.has(index) {
				continue
			}
			item, err := GetItem(reader, j.record.JobID, index)
			if err != nil {
				return false, err
			}
			j.leased[index] = epoch
			j.customIDs[index] = item.CustomID
			j.taken.add(index)
			j.available--
			held.remaining++
		}
		return true, nil
	})
}

func (j *openJob) loadStarted(reader ledger.Reader) error {
	from, to := rangeOf(tableStarted, j.record.JobID)
	return reader.Scan(from, to, func(key, value []byte) (bool, error) {
		if index := last32(key); !j.done.has(index) {
			j.started[index] = binary.BigEndian.Uint64(value)
		}
		return true, nil
	})
}

// touch marks a job's counters as changed in this entry. It returns nil for a
// job that is neither open nor final.
func (tx *transaction) touch(jobID string) (*touchedJob, error) {
	if touched, ok := tx.touched[jobID]; ok {
		return touched, nil
	}
	touched := &touchedJob{blocks: map[uint32]bool{}}
	if open, ok := tx.machine.open[jobID]; ok {
		touched.open = open
		touched.counters = &open.counters
	} else {
		record, ok, err := GetJob(tx, jobID)
		if err != nil || !ok || !record.State.Final() {
			return nil, err
		}
		counters, err := GetCounters(tx, jobID)
		if err != nil {
			return nil, err
		}
		touched.counters = &counters
	}
	if tx.touched == nil {
		tx.touched = map[string]*touchedJob{}
	}
	tx.touched[jobID] = touched
	return touched, nil
}

// storeTouched writes the counters, bitmap blocks and rates that this entry
// changed, and completes jobs whose items all have results.
func (tx *transaction) storeTouched() error {
	for _, jobID := range sortedKeys(tx.touched) {
		touched := tx.touched[jobID]
		encoded, err := touched.counters.Encode()
		if err != nil {
			return err
		}
		if err := tx.Set(key(tableCounters, jobID), encoded); err != nil {
			return err
		}
		if touched.open == nil {
			continue
		}
		if touched.open.remainingItems() == 0 {
			if err := tx.finishJob(touched.open, StateCompleted); err != nil {
				return err
			}
			continue
		}
		// The order is irrelevant: each block has its own key, and the writes
		// of an entry become durable atomically.
		for block := range touched.blocks {
			if err := tx.Set(key32(tableDone, jobID, block), touched.open.done.encodeBlock(block)); err != nil {
				return err
			}
		}
	}
	for _, model := range sortedKeys(tx.touchedModels) {
		if err := tx.storeRate(model); err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys[V any](from map[string]V) []string {
	keys := make([]string, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
