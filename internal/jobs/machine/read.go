package machine

import (
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/ledger"
)

// GetFile reads a file's record, sealed or not.
func GetFile(reader ledger.Reader, fileID string) (FileRecord, bool, error) {
	stored, ok, err := reader.Get(key(tableFile, fileID))
	if err != nil || !ok {
		return FileRecord{}, false, err
	}
	record, err := DecodeFile(stored)
	return record, err == nil, err
}

// GetChunk reads a copy of a chunk of a file.
func GetChunk(reader ledger.Reader, fileID string, chunk uint32) ([]byte, bool, error) {
	stored, ok, err := reader.Get(key32(tableChunk, fileID, chunk))
	return append([]byte(nil), stored...), ok, err
}

// GetJob reads a job's record.
func GetJob(reader ledger.Reader, jobID string) (JobRecord, bool, error) {
	stored, ok, err := reader.Get(key(tableJob, jobID))
	if err != nil || !ok {
		return JobRecord{}, false, err
	}
	record, err := DecodeJob(stored)
	return record, err == nil, err
}

// GetJobByKey finds the job that a tenant's idempotency key names.
func GetJobByKey(reader ledger.Reader, tenant, idempotencyKey string) (JobRecord, bool, error) {
	stored, ok, err := reader.Get(keyOfIdempotency(tenant, idempotencyKey))
	if err != nil || !ok {
		return JobRecord{}, false, err
	}
	return GetJob(reader, string(stored))
}

// GetCounters reads a job's counters; they are zero before the first result.
func GetCounters(reader ledger.Reader, jobID string) (Counters, error) {
	stored, ok, err := reader.Get(key(tableCounters, jobID))
	if err != nil || !ok {
		return Counters{}, err
	}
	return DecodeCounters(stored)
}

// GetItem reads a copy of an item that has no result yet.
func GetItem(reader ledger.Reader, jobID string, index uint32) (jobs.Item, error) {
	stored, ok, err := reader.Get(key32(tableItem, jobID, index))
	if err != nil {
		return jobs.Item{}, err
	}
	if !ok {
		return jobs.Item{}, trace.NotFound("item %d of job %s is missing", index, jobID)
	}
	return decodeItem(append([]byte(nil), stored...))
}

// GetResult reads an item's result; Body aliases the store.
func GetResult(reader ledger.Reader, jobID string, index uint32) (ResultRecord, bool, error) {
	stored, ok, err := reader.Get(key32(tableResult, jobID, index))
	if err != nil || !ok {
		return ResultRecord{}, false, err
	}
	record, err := DecodeResult(stored)
	record.Index = index
	return record, err == nil, err
}

// ScanResults visits a job's results from index first on, in order. Bodies
// alias the store.
func ScanResults(reader ledger.Reader, jobID string, first uint32, visit func(ResultRecord) (bool, error)) error {
	_, to := rangeOf(tableResult, jobID)
	return reader.Scan(key32(tableResult, jobID, first), to, func(key, value []byte) (bool, error) {
		record, err := DecodeResult(value)
		if err != nil {
			return false, err
		}
		record.Index = last32(key)
		return visit(record)
	})
}

// ScanUnfinished visits the items without a result from index first on, and
// says which of them were started.
func ScanUnfinished(reader ledger.Reader, jobID string, first uint32,
	visit func(item jobs.Item, started bool) (bool, error)) error {
	_, to := rangeOf(tableItem, jobID)
	return reader.Scan(key32(tableItem, jobID, first), to, func(key, value []byte) (bool, error) {
		item, err := decodeItem(value)
		if err != nil {
			return false, err
		}
		item.Index = last32(key)
		_, started, err := reader.Get(key32(tableStarted, jobID, item.Index))
		if err != nil {
			return false, err
		}
		return visit(item, started)
	})
}

// ScanTenantJobs visits a tenant's accepted jobs from the newest on, or from
// the one behind after when that is not the zero record.
func ScanTenantJobs(reader ledger.Reader, tenant string, after JobRecord, visit func(JobRecord) (bool, error)) error {
	from, to := rangeOf(tableTenant, tenant)
	if after.JobID != "" {
		from = append(keyOfTenantJob(tenant, milliseconds(after.Created), after.JobID), 0)
	}
	return reader.Scan(from, to, func(key, _ []byte) (bool, error) {
		record, ok, err := GetJob(reader, jobOfTenantKey(tenant, key))
		if err != nil || !ok {
			return err == nil, err
		}
		return visit(record)
	})
}

// HeldLease names a lease in force.
type HeldLease struct {
	JobID      string
	Dispatcher string
	Epoch      uint64
}

// HeldLeases lists the leases in force, from the summary in memory.
func (m *Machine) HeldLeases() []HeldLease {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var held []HeldLease
	for jobID, job := range m.open {
		for epoch, lease := range job.leases {
			held = append(held, HeldLease{jobID, lease.dispatcher, epoch})
		}
	}
	return held
}

// Closed returns those of the jobs that are not open, from the summary in
// memory.
func (m *Machine) Closed(jobIDs []string) []string {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var closed []string
	for _, jobID := range jobIDs {
		if _, open := m.open[jobID]; !open {
			closed = append(closed, jobID)
		}
	}
	return closed
}

// WaitingItems are the items of a model that wait to be leased.
type WaitingItems struct {
	Items uint64
	// Slack is the least slack of their jobs.
	Slack time.Duration
	// Weight is the sum of the weights of their tenants, in thousandths.
	Weight uint64
}

// Waiting tells what waits for each model, from the summary in memory.
func (m *Machine) Waiting(now time.Time) map[string]WaitingItems {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	waiting := map[string]WaitingItems{}
	for _, job := range m.open {
		if _, seen := waiting[job.record.Model]; !seen && job.available > 0 {
			if total := m.waitingOf(job.record.Model, now.UnixMilli()); total.Items > 0 {
				waiting[job.record.Model] = total
			}
		}
	}
	return waiting
}

func (m *Machine) waitingOf(model string, now int64) (total WaitingItems) {
	counted := map[string]bool{}
	for _, next := range m.candidates(model, now) {
		if next.available == 0 {
			continue
		}
		if tenant := next.record.Tenant; !counted[tenant] {
			counted[tenant] = true
			total.Weight += uint64(next.record.Weight)
		}
		slack := time.Duration(next.slack) * time.Millisecond
		if total.Items == 0 || slack < total.Slack {
			total.Slack = slack
		}
		total.Items += uint64(next.available)
	}
	return total
}

// DeadlinePassed says whether a Tick at now would expire a job.
func (m *Machine) DeadlinePassed(now time.Time) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	for _, job := range m.open {
		if !job.record.Deadline.After(now) {
			return true
		}
	}
	return false
}

// RemovalDue says whether a Tick at now would remove a file or job.
func RemovalDue(reader ledger.Reader, now time.Time) (due bool, err error) {
	from, _ := tableRange(tableExpiry)
	err = reader.Scan(from, keyOfExpiry(now.UnixMilli()+1, ""), func(_, _ []byte) (bool, error) {
		due = true
		return false, nil
	})
	return due, err
}

// Summary is what a machine holds at one moment.
type Summary struct {
	OpenJobs    int
	LeasedItems int
	// DroppedResults counts results that came second or too late, since this
	// replica started.
	DroppedResults uint64
}

// Summary counts what is in memory.
func (m *Machine) Summary() Summary {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	summary := Summary{OpenJobs: len(m.open), DroppedResults: m.dropped}
	for _, job := range m.open {
		summary.LeasedItems += len(job.leased)
	}
	return summary
}
