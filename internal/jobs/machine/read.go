package machine

import (
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/ledger"
)

// GetFile returns a file's record, sealed or not.
func GetFile(reader ledger.Reader, fileID string) (FileRecord, bool, error) {
	stored, ok, err := reader.Get(key(tableFile, fileID))
	if err != nil || !ok {
		return FileRecord{}, false, err
	}
	record, err := DecodeFile(stored)
	return record, err == nil, err
}

// GetChunk returns a copy of a chunk of a file.
func GetChunk(reader ledger.Reader, fileID string, chunk uint32) ([]byte, bool, error) {
	stored, ok, err := reader.Get(key32(tableChunk, fileID, chunk))
	return append([]byte(nil), stored...), ok, err
}

// GetJob returns a job's record.
func GetJob(reader ledger.Reader, jobID string) (JobRecord, bool, error) {
	stored, ok, err := reader.Get(key(tableJob, jobID))
	if err != nil || !ok {
		return JobRecord{}, false, err
	}
	record, err := DecodeJob(stored)
	return record, err == nil, err
}

// GetJobByKey returns the job of a tenant's idempotency key.
func GetJobByKey(reader ledger.Reader, tenant, idempotencyKey string) (JobRecord, bool, error) {
	stored, ok, err := reader.Get(keyOfIdempotency(tenant, idempotencyKey))
	if err != nil || !ok {
		return JobRecord{}, false, err
	}
	return GetJob(reader, string(stored))
}

// GetCounters returns a job's counters, which are zero before the first result.
func GetCounters(reader ledger.Reader, jobID string) (Counters, error) {
	stored, ok, err := reader.Get(key(tableCounters, jobID))
	if err != nil || !ok {
		return Counters{}, err
	}
	return DecodeCounters(stored)
}

// GetItem returns a copy of an item that has no result yet.
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

// GetResult returns an item's result. Its Body aliases the store.
func GetResult(reader ledger.Reader, jobID string, index uint32) (ResultRecord, bool, error) {
	stored, ok, err := reader.Get(key32(tableResult, jobID, index))
	if err != nil || !ok {
		return ResultRecord{}, false, err
	}
	record, err := DecodeResult(stored)
	record.Index = index
	return record, err == nil, err
}

// ScanResults visits a job's results in index order, starting at first. Bodies
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

// ScanUnfinished visits a job's items without a result in index order, starting
// at first; started reports whether a non-repeatable item was started.
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

// ScanTenantJobs visits a tenant's accepted jobs from newest to oldest, starting
// after the job after unless that is the zero record.
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

// HeldLease identifies an active lease.
type HeldLease struct {
	JobID      string
	Dispatcher string
	Epoch      uint64
}

// HeldLeases returns the active leases.
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

// Closed returns those of jobIDs that are not open: final, not accepted or
// unknown.
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

// WaitingItems summarizes a model's items that are available for leasing.
type WaitingItems struct {
	Items uint64
	// Slack is the least slack of their jobs, as in candidate.
	Slack time.Duration
	// Weight is the sum of the weights of their tenants, in thousandths.
	Weight uint64
}

// Waiting returns the waiting items of each model that has any.
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

// DeadlinePassed reports whether a Tick at now would expire a job.
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

// RemovalDue reports whether a Tick at now has removals to process.
func RemovalDue(reader ledger.Reader, now time.Time) (due bool, err error) {
	from, _ := tableRange(tableExpiry)
	err = reader.Scan(from, keyOfExpiry(now.UnixMilli()+1, ""), func(_, _ []byte) (bool, error) {
		due = true
		return false, nil
	})
	return due, err
}

// Summary holds counts of a machine's in-memory state.
type Summary struct {
	OpenJobs    int
	LeasedItems int
	// DroppedResults counts duplicate and late results since this replica
	// started.
	DroppedResults uint64
}

// Summary returns current counts.
func (m *Machine) Summary() Summary {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	summary := Summary{OpenJobs: len(m.open), DroppedResults: m.dropped}
	for _, job := range m.open {
		summary.LeasedItems += len(job.leased)
	}
	return summary
}
