package machine

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/jobs"
)

// UrgentSlack is the slack below which a job takes precedence over fair sharing
// between tenants.
const UrgentSlack = time.Minute

const (
	urgentMilliseconds = int64(UrgentSlack / time.Millisecond)
	// maxLeaseItems bounds one LeaseItems command.
	maxLeaseItems = 1024
	// shareUnit is the virtual time of one item at weight 1 (1000 thousandths).
	shareUnit = 1_000_000
)

func (tx *transaction) leaseItems(c *LeaseItems) (Answer, error) {
	if !validIdentifier(c.Dispatcher) || c.Count > maxLeaseItems {
		return Answer{Code: CodeMalformed}, nil
	}
	answer := Answer{Code: CodeOK}
	budget := leaseBudget{items: c.Count, bytes: int64(c.MaxBytes)}
	for budget.items > 0 && budget.bytes > 0 {
		job := tx.machine.mostUrgent(c.Model, tx.now)
		if job == nil {
			break
		}
		given, err := tx.leaseFrom(job, c.Dispatcher, &budget)
		if err != nil {
			return Answer{}, err
		}
		if len(given.Items) == 0 {
			break
		}
		answer.Leases = append(answer.Leases, given)
	}
	return answer, nil
}

// leaseBudget is what a LeaseItems command may still lease.
type leaseBudget struct {
	items uint32
	bytes int64
}

// candidate is an open job with its slack.
type candidate struct {
	*openJob
	// slack is the time in milliseconds from the predicted completion of this
	// job and all jobs due before it, at the measured rate, to its deadline.
	slack int64
}

// candidates returns a model's open jobs, ordered by deadline.
func (m *Machine) candidates(model string, now int64) []candidate {
	var found []candidate
	for _, job := range m.open {
		if job.record.Model == model && job.record.Deadline.UnixMilli() > now {
			found = append(found, candidate{openJob: job})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(a.record.Deadline.Compare(b.record.Deadline), cmp.Compare(a.record.JobID, b.record.JobID))
	})
	ahead := uint64(0)
	measured, known := m.rates[model]
	for i := range found {
		ahead += uint64(found[i].remainingItems())
		found[i].slack = found[i].record.Deadline.UnixMilli() - now
		if known {
			found[i].slack -= measured.timeFor(ahead)
		}
	}
	return found
}

// mostUrgent returns the next job to lease from: the urgent one with the least
// slack, else the one with the least slack of the tenant with the lowest virtual time.
func (m *Machine) mostUrgent(model string, now int64) *openJob {
	var best candidate
	for _, next := range m.candidates(model, now) {
		if next.available > 0 && (best.openJob == nil || m.before(next, best)) {
			best = next
		}
	}
	return best.openJob
}

// before is a total order, which makes the choice independent of map iteration
// order.
func (m *Machine) before(a, b candidate) bool {
	urgentA, urgentB := a.slack < urgentMilliseconds, b.slack < urgentMilliseconds
	if urgentA != urgentB {
		return urgentA
	}
	if shareA, shareB := m.shares[a.record.Tenant], m.shares[b.record.Tenant]; !urgentA && shareA != shareB {
		return shareA < shareB
	}
	if a.slack != b.slack {
		return a.slack < b.slack
	}
	return a.record.JobID < b.record.JobID
}

func (tx *transaction) leaseFrom(job *openJob, dispatcher string, budget *leaseBudget) (jobs.Lease, error) {
	record := &job.record
	given := jobs.Lease{
		JobID: record.JobID, Tenant: record.Tenant, Model: record.Model, Deadline: record.Deadline, Epoch: tx.index,
	}
	held := &lease{dispatcher: dispatcher}
	if err := tx.takeItems(job, held, &given, budget); err != nil {
		return jobs.Lease{}, err
	}
	if len(given.Items) == 0 {
		return given, nil
	}
	job.leases[tx.index] = held
	if err := tx.storeLease(job, tx.index); err != nil {
		return jobs.Lease{}, err
	}
	return given, tx.charge(job, uint64(len(given.Items)))
}

// takeItems leases open items in index order, within the budget.
func (tx *transaction) takeItems(job *openJob, held *lease, given *jobs.Lease, budget *leaseBudget) error {
	jobID := job.record.JobID
	_, to := rangeOf(tableItem, jobID)
	return tx.Scan(key32(tableItem, jobID, job.nextOpen()), to, func(key, value []byte) (bool, error) {
		index := last32(key)
		if job.taken.has(index) {
			return true, nil
		}
		if expected := job.nextOpen(); index != expected {
			return false, trace.NotFound("item %d of job %s is missing", expected, jobID)
		}
		item, err := decodeItem(append([]byte(nil), value...))
		if err != nil {
			return false, err
		}
		size := int64(len(item.Body))
		if size > budget.bytes && len(given.Items) > 0 {
			budget.bytes = 0
			return false, nil
		}
		job.take(tx.index, held, item.CustomID)
		budget.items--
		budget.bytes -= size
		given.Items = append(given.Items, item)
		return job.available > 0 && budget.items > 0 && budget.bytes > 0, nil
	})
}

func (tx *transaction) storeLease(job *openJob, epoch uint64) error {
	held := job.leases[epoch]
	record := leaseRecord{dispatcher: held.dispatcher, indexes: held.indexes}
	encoded, err := record.encode()
	if err != nil {
		return err
	}
	return tx.Set(key64(tableLease, job.record.JobID, epoch), encoded)
}

// charge advances the tenant's virtual time by the leased items over its weight.
func (tx *transaction) charge(job *openJob, items uint64) error {
	share := tx.machine.shares[job.record.Tenant] + items*shareUnit/uint64(job.record.Weight)
	return tx.setShare(job.record.Tenant, share)
}

func (tx *transaction) setShare(tenant string, share uint64) error {
	tx.machine.shares[tenant] = share
	return tx.Set(key(tableShare, tenant), binary.BigEndian.AppendUint64(nil, share))
}

// addTenantShare starts a tenant at the lowest virtual time of the others, so
// that it neither starves nor catches up for the time without open jobs.
func (tx *transaction) addTenantShare(tenant string) error {
	if _, ok := tx.machine.shares[tenant]; ok {
		return nil
	}
	least := uint64(math.MaxUint64)
	for _, share := range tx.machine.shares {
		least = min(least, share)
	}
	if least == math.MaxUint64 {
		least = 0
	}
	return tx.setShare(tenant, least)
}

// removeTenantShare removes the share of a tenant without an open job.
func (tx *transaction) removeTenantShare(tenant string) error {
	for _, job := range tx.machine.open {
		if job.record.Tenant == tenant {
			return nil
		}
	}
	delete(tx.machine.shares, tenant)
	return tx.Delete(key(tableShare, tenant))
}

func (tx *transaction) start(c *Start) (Answer, error) {
	job, ok := tx.machine.open[c.JobID]
	if !ok || job.record.Deadline.UnixMilli() <= tx.now {
		return Answer{Code: CodeRefused}, nil
	}
	if epoch, leased := job.leased[c.Index]; !leased || epoch != c.Epoch {
		return Answer{Code: CodeRefused}, nil
	}
	if epoch, started := job.started[c.Index]; started {
		// Under the same lease this is a retry after a lost answer.
		if epoch == c.Epoch {
			return Answer{Code: CodeOK}, nil
		}
		return Answer{Code: CodeRefused}, nil
	}
	job.started[c.Index] = c.Epoch
	return Answer{Code: CodeOK}, tx.Set(key32(tableStarted, c.JobID, c.Index),
		binary.BigEndian.AppendUint64(nil, c.Epoch))
}

func (tx *transaction) expireLeases(c *ExpireLeases) (Answer, error) {
	answer := Answer{Code: CodeOK}
	for _, jobID := range sortedKeys(tx.machine.open) {
		job := tx.machine.open[jobID]
		for _, epoch := range c.Epochs {
			held, ok := job.leases[epoch]
			if !ok || held.dispatcher != c.Dispatcher {
				continue
			}
			answer.Count++
			if err := tx.endLease(job, epoch); err != nil {
				return Answer{}, err
			}
		}
	}
	return answer, nil
}

// endLease reopens a lease's items, except started non-repeatable ones, which
// get the result ItemOutcomeUnknown.
func (tx *transaction) endLease(job *openJob, epoch uint64) error {
	held := job.leases[epoch]
	for _, index := range held.indexes {
		if job.leased[index] != epoch || job.done.has(index) {
			continue
		}
		if _, started := job.started[index]; started {
			if err := tx.recordUnknown(job, index, epoch); err != nil {
				return err
			}
			continue
		}
		job.reopen(index)
	}
	delete(job.leases, epoch)
	return tx.Delete(key64(tableLease, job.record.JobID, epoch))
}

func (tx *transaction) recordUnknown(job *openJob, index uint32, epoch uint64) error {
	return tx.record(job, jobs.Result{
		JobID: job.record.JobID, Index: index, Epoch: epoch, Status: jobs.ItemOutcomeUnknown,
		Body: errorBody(codeOutcomeUnknown, "the item was sent once and its outcome is not known; it is not repeatable"),
	})
}
