package machine

import (
	"time"
)

// maxRemovals bounds the files and jobs that one Tick removes.
const maxRemovals = 64

func (tx *transaction) cancel(c *Cancel) (Answer, error) {
	record, ok, err := GetJob(tx, c.JobID)
	if err != nil || !ok || record.Tenant != c.Tenant {
		return Answer{Code: CodeNotFound}, err
	}
	if record.State == StateReceiving {
		return Answer{Code: CodeOK}, tx.removeJob(record)
	}
	if job, open := tx.machine.open[c.JobID]; open {
		return Answer{Code: CodeOK}, tx.finishJob(job, StateCancelled)
	}
	return Answer{Code: CodeOK}, nil
}

// finishJob makes a job final and drops its summary and its leases. Items
// without a result keep their records, so that results can name them.
func (tx *transaction) finishJob(job *openJob, state State) error {
	record := job.record
	record.State = state
	record.Ended = time.UnixMilli(tx.now)
	if err := tx.setJob(record); err != nil {
		return err
	}
	if err := tx.Delete(key(tableOpen, record.JobID)); err != nil {
		return err
	}
	for _, table := range []byte{tableLease, tableTries, tableDone} {
		from, to := rangeOf(table, record.JobID)
		if err := tx.DeleteRange(from, to); err != nil {
			return err
		}
	}
	delete(tx.machine.open, record.JobID)
	if err := tx.leaveShares(record.Tenant); err != nil {
		return err
	}
	return tx.Set(keyOfExpiry(removalTime(record), record.JobID), []byte{tableJob})
}

// removalTime is when a final job is removed, in Unix milliseconds.
func removalTime(record JobRecord) int64 {
	return record.Ended.Add(record.Retention).UnixMilli()
}

func (tx *transaction) removeJob(record JobRecord) error {
	for _, table := range []byte{tableItem, tableResult, tableStarted} {
		from, to := rangeOf(table, record.JobID)
		if err := tx.DeleteRange(from, to); err != nil {
			return err
		}
	}
	for _, storeKey := range [][]byte{
		key(tableJob, record.JobID),
		key(tableCounters, record.JobID),
		keyOfIdempotency(record.Tenant, record.Key),
		keyOfTenantJob(record.Tenant, milliseconds(record.Created), record.JobID),
	} {
		if err := tx.Delete(storeKey); err != nil {
			return err
		}
	}
	return nil
}

func (tx *transaction) tick() (Answer, error) {
	for _, jobID := range sortedKeys(tx.machine.open) {
		job := tx.machine.open[jobID]
		if job.record.Deadline.UnixMilli() > tx.now {
			continue
		}
		if err := tx.finishJob(job, StateExpired); err != nil {
			return Answer{}, err
		}
	}
	return Answer{Code: CodeOK}, tx.removeExpired()
}

type expired struct {
	key        []byte
	identifier string
	table      byte
}

// removeExpired removes files and jobs whose time has come, a bounded number
// at a time.
func (tx *transaction) removeExpired() error {
	var due []expired
	from, _ := tableRange(tableExpiry)
	err := tx.Scan(from, keyOfExpiry(tx.now+1, ""), func(key, value []byte) (bool, error) {
		_, identifier := splitExpiry(key)
		due = append(due, expired{append([]byte(nil), key...), identifier, value[0]})
		return len(due) < maxRemovals, nil
	})
	if err != nil {
		return err
	}
	for _, candidate := range due {
		if err := tx.Delete(candidate.key); err != nil {
			return err
		}
		if err := tx.removeCandidate(candidate); err != nil {
			return err
		}
	}
	return nil
}

// removeCandidate removes a file or job unless the time noted for it was
// overtaken: a sealed file or accepted job has a later one, and so has one
// that was begun again.
func (tx *transaction) removeCandidate(candidate expired) error {
	if candidate.table == tableFile {
		file, ok, err := GetFile(tx, candidate.identifier)
		if err != nil || !ok {
			return err
		}
		due := file.Created.Add(receiveTimeout)
		if file.Sealed {
			due = file.Created.Add(file.Retention)
		}
		if due.UnixMilli() > tx.now {
			return nil
		}
		return tx.removeFile(candidate.identifier)
	}
	job, ok, err := GetJob(tx, candidate.identifier)
	if err != nil || !ok {
		return err
	}
	abandoned := job.State == StateReceiving && job.Created.Add(receiveTimeout).UnixMilli() <= tx.now
	outlived := job.State.Final() && removalTime(job) <= tx.now
	if !abandoned && !outlived {
		return nil
	}
	return tx.removeJob(job)
}
