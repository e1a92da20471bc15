package machine

import (
	"time"
)

// maxRemovals is the largest number of files and jobs that one Tick removes.
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

// finishJob makes a job final and deletes its summary and leases. Items without
// a result stay in the store, because the result files list them.
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
	if err := tx.removeTenantShare(record.Tenant); err != nil {
		return err
	}
	return tx.Set(keyOfExpiry(removalTime(record), record.JobID), []byte{tableJob})
}

// removalTime returns when a final job is removed, in Unix milliseconds.
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

type dueRemoval struct {
	key        []byte
	identifier string
	table      byte
}

// removeExpired removes due files and jobs, reading at most maxRemovals entries.
func (tx *transaction) removeExpired() error {
	var due []dueRemoval
	from, _ := tableRange(tableExpiry)
	err := tx.Scan(from, keyOfExpiry(tx.now+1, ""), func(key, value []byte) (bool, error) {
		_, identifier := splitExpiry(key)
		due = append(due, dueRemoval{append([]byte(nil), key...), identifier, value[0]})
		return len(due) < maxRemovals, nil
	})
	if err != nil {
		return err
	}
	for _, candidate := range due {
		if err := tx.Delete(candidate.key); err != nil {
			return err
		}
		if err := tx.removeIfDue(candidate); err != nil {
			return err
		}
	}
	return nil
}

// removeIfDue removes a file or job unless its removal entry is outdated, because
// it was sealed, accepted or created again since.
func (tx *transaction) removeIfDue(candidate dueRemoval) error {
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
	retentionOver := job.State.Final() && removalTime(job) <= tx.now
	if !abandoned && !retentionOver {
		return nil
	}
	return tx.removeJob(job)
}
