package machine

import (
	"time"

	"chutelock.dev/chutelock/internal/jobs"
)

// receiveTimeout is the longest time from creation to seal of a file or job.
const receiveTimeout = time.Hour

// MaxJobItems is the largest number of items in one job.
const MaxJobItems = 1 << 20

func (tx *transaction) beginFile(c *FileBegin) (Answer, error) {
	if !validIdentifier(c.FileID) || !validIdentifier(c.Tenant) {
		return Answer{Code: CodeMalformed}, nil
	}
	if stored, ok, err := GetFile(tx, c.FileID); err != nil || ok {
		return Answer{Code: CodeOK, Count: stored.Chunks}, err
	}
	record := FileRecord{
		FileID: c.FileID, Tenant: c.Tenant, Name: c.Name, Purpose: c.Purpose,
		Created: time.UnixMilli(tx.now), Retention: c.Retention,
	}
	if err := tx.Set(keyOfExpiry(tx.now+receiveTimeout.Milliseconds(), c.FileID), []byte{tableFile}); err != nil {
		return Answer{}, err
	}
	return Answer{Code: CodeOK}, tx.setFile(record)
}

func (tx *transaction) setFile(record FileRecord) error {
	encoded, err := record.Encode()
	if err != nil {
		return err
	}
	return tx.Set(key(tableFile, record.FileID), encoded)
}

func (tx *transaction) appendFile(c *FileAppend) (Answer, error) {
	record, ok, err := GetFile(tx, c.FileID)
	if err != nil || !ok {
		return Answer{Code: CodeNotFound}, err
	}
	if c.Chunk < record.Chunks {
		return Answer{Code: CodeOK, Count: record.Chunks}, nil
	}
	if c.Chunk > record.Chunks || record.Sealed {
		return Answer{Code: CodeGap, Count: record.Chunks}, nil
	}
	if err := tx.Set(key32(tableChunk, c.FileID, c.Chunk), c.Data); err != nil {
		return Answer{}, err
	}
	record.Chunks++
	return Answer{Code: CodeOK, Count: record.Chunks}, tx.setFile(record)
}

func (tx *transaction) sealFile(c *FileSeal) (Answer, error) {
	record, ok, err := GetFile(tx, c.FileID)
	if err != nil || !ok {
		return Answer{Code: CodeNotFound}, err
	}
	if record.Sealed {
		return Answer{Code: CodeOK, Sealed: true}, nil
	}
	if record.Chunks != c.Chunks {
		return Answer{Code: CodeGap, Count: record.Chunks}, nil
	}
	record.Sealed = true
	record.Lines, record.Bytes, record.Digest = c.Lines, c.Bytes, c.Digest
	record.Model, record.Endpoint = c.Model, c.Endpoint
	if err := tx.setFile(record); err != nil {
		return Answer{}, err
	}
	expires := record.Created.Add(record.Retention).UnixMilli()
	return Answer{Code: CodeOK}, tx.Set(keyOfExpiry(expires, c.FileID), []byte{tableFile})
}

func (tx *transaction) deleteFile(c *FileDelete) (Answer, error) {
	record, ok, err := GetFile(tx, c.FileID)
	if err != nil || !ok || record.Tenant != c.Tenant {
		return Answer{Code: CodeNotFound}, err
	}
	return Answer{Code: CodeOK}, tx.removeFile(c.FileID)
}

func (tx *transaction) removeFile(fileID string) error {
	if err := tx.Delete(key(tableFile, fileID)); err != nil {
		return err
	}
	from, to := rangeOf(tableChunk, fileID)
	return tx.DeleteRange(from, to)
}

func (c *JobBegin) valid() bool {
	return validIdentifier(c.JobID) && validIdentifier(c.Tenant) && validIdentifier(c.Model) &&
		c.Key != "" && c.Items > 0 && c.Items <= MaxJobItems && c.Weight > 0 && c.MaxTries > 0
}

func (tx *transaction) beginJob(c *JobBegin) (Answer, error) {
	if !c.valid() {
		return Answer{Code: CodeMalformed}, nil
	}
	existing, ok, err := GetJobByKey(tx, c.Tenant, c.Key)
	if err != nil {
		return Answer{}, err
	}
	if ok {
		return duplicateBeginAnswer(existing, c), nil
	}
	if _, taken, err := GetJob(tx, c.JobID); err != nil || taken {
		return Answer{Code: CodeMalformed}, err
	}
	if possible, ok := tx.feasible(c.Model, c.Items, c.Deadline.UnixMilli()); !ok {
		return Answer{Code: CodeDeadline, Time: time.UnixMilli(possible)}, nil
	}
	return tx.createJob(c)
}

// duplicateBeginAnswer answers a JobBegin whose idempotency key has a job.
func duplicateBeginAnswer(existing JobRecord, c *JobBegin) Answer {
	if existing.Content != c.Content {
		return Answer{Code: CodeConflict, JobID: existing.JobID}
	}
	return Answer{
		Code: CodeOK, JobID: existing.JobID, Count: existing.Appended, Sealed: existing.State != StateReceiving,
	}
}

func (tx *transaction) createJob(c *JobBegin) (Answer, error) {
	record := JobRecord{
		JobID: c.JobID, Tenant: c.Tenant, Key: c.Key, Content: c.Content, FileID: c.FileID, FileDigest: c.FileDigest, Model: c.Model,
		Endpoint: c.Endpoint, Window: c.Window, Metadata: c.Metadata, Items: c.Items,
		Created: time.UnixMilli(tx.now), Deadline: c.Deadline, Weight: c.Weight, MaxTries: c.MaxTries,
		Retention: c.Retention, State: StateReceiving,
	}
	if err := tx.Set(keyOfIdempotency(c.Tenant, c.Key), []byte(c.JobID)); err != nil {
		return Answer{}, err
	}
	if err := tx.Set(keyOfExpiry(tx.now+receiveTimeout.Milliseconds(), c.JobID), []byte{tableJob}); err != nil {
		return Answer{}, err
	}
	return Answer{Code: CodeOK, JobID: c.JobID}, tx.setJob(record)
}

func (tx *transaction) setJob(record JobRecord) error {
	encoded, err := record.Encode()
	if err != nil {
		return err
	}
	return tx.Set(key(tableJob, record.JobID), encoded)
}

func (tx *transaction) appendJob(c *JobAppend) (Answer, error) {
	record, ok, err := GetJob(tx, c.JobID)
	if err != nil || !ok {
		return Answer{Code: CodeNotFound}, err
	}
	if record.State != StateReceiving {
		return Answer{Code: CodeOK, Count: record.Appended, Sealed: true}, nil
	}
	if c.First > record.Appended {
		return Answer{Code: CodeGap, Count: record.Appended}, nil
	}
	if uint64(c.First)+uint64(len(c.Items)) > uint64(record.Items) {
		return Answer{Code: CodeMalformed, Count: record.Appended}, nil
	}
	known := min(int(record.Appended-c.First), len(c.Items))
	for _, item := range c.Items[known:] {
		if err := tx.addItem(&record, item); err != nil {
			return Answer{}, err
		}
	}
	return Answer{Code: CodeOK, Count: record.Appended}, tx.setJob(record)
}

func (tx *transaction) addItem(record *JobRecord, item jobs.Item) error {
	item.Index = record.Appended
	record.Appended++
	encoded, err := encodeItem(item)
	if err != nil {
		return err
	}
	return tx.Set(key32(tableItem, record.JobID, item.Index), encoded)
}

func (tx *transaction) sealJob(c *JobSeal) (Answer, error) {
	record, ok, err := GetJob(tx, c.JobID)
	if err != nil || !ok {
		return Answer{Code: CodeNotFound}, err
	}
	if record.State != StateReceiving {
		return Answer{Code: CodeOK, JobID: c.JobID, Sealed: true}, nil
	}
	if record.Appended != record.Items || c.Items != record.Items {
		return Answer{Code: CodeGap, Count: record.Appended}, nil
	}
	record.State = StateInProgress
	record.Accepted = time.UnixMilli(tx.now)
	if err := tx.Set(key(tableOpen, c.JobID), nil); err != nil {
		return Answer{}, err
	}
	if err := tx.Set(keyOfTenantJob(record.Tenant, milliseconds(record.Created), c.JobID), nil); err != nil {
		return Answer{}, err
	}
	if err := tx.addTenantShare(record.Tenant); err != nil {
		return Answer{}, err
	}
	tx.machine.open[c.JobID] = newOpenJob(record)
	return Answer{Code: CodeOK, JobID: c.JobID}, tx.setJob(record)
}
