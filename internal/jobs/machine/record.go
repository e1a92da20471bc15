package machine

import (
	"encoding/binary"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/wire"
)

const recordVersion = 1

// FileRecord is the stored metadata of an input file.
type FileRecord struct {
	FileID    string
	Tenant    string
	Name      string
	Purpose   string
	Created   time.Time
	Retention time.Duration
	Sealed    bool
	// Chunks is the number of chunks stored.
	Chunks uint32
	// The fields below are set when the file is sealed.
	Lines    uint32
	Bytes    uint64
	Digest   Digest
	Model    string
	Endpoint string
}

type fileRecordFixedFields struct {
	Created   int64
	Retention int64
	Sealed    bool
	Chunks    uint32
	Lines     uint32
	Bytes     uint64
	Digest    Digest
}

// Encode returns the stored form of the record.
func (f *FileRecord) Encode() ([]byte, error) {
	fixed := fileRecordFixedFields{f.Created.UnixMilli(), int64(f.Retention), f.Sealed, f.Chunks, f.Lines, f.Bytes, f.Digest}
	return wire.Marshal(recordVersion, fixed, []byte(f.FileID), []byte(f.Tenant), []byte(f.Name),
		[]byte(f.Purpose), []byte(f.Model), []byte(f.Endpoint))
}

// DecodeFile decodes a stored file record.
func DecodeFile(stored []byte) (FileRecord, error) {
	var fixed fileRecordFixedFields
	fields, err := wire.Unmarshal(stored, recordVersion, &fixed, 6)
	if err != nil {
		return FileRecord{}, err
	}
	record := FileRecord{
		Created: time.UnixMilli(fixed.Created), Retention: time.Duration(fixed.Retention), Sealed: fixed.Sealed,
		Chunks: fixed.Chunks, Lines: fixed.Lines, Bytes: fixed.Bytes, Digest: fixed.Digest,
	}
	setStrings(fields, &record.FileID, &record.Tenant, &record.Name, &record.Purpose, &record.Model, &record.Endpoint)
	return record, nil
}

// State is the state of a job.
type State uint8

// States of a job. The last three are final.
const (
	StateReceiving  State = iota + 1 // not accepted yet
	StateInProgress                  // accepted
	StateCompleted                   // every item has a result
	StateCancelled
	StateExpired // its deadline passed before every item had a result
)

// Final reports whether the state is final.
func (s State) Final() bool { return s >= StateCompleted }

// JobRecord is the stored metadata of a job; see JobBegin for its parameters.
type JobRecord struct {
	JobID      string
	Tenant     string
	Key        string
	Content    Digest
	FileID     string
	FileDigest Digest
	Model      string
	Endpoint   string
	Window     string
	Metadata   []byte
	Items      uint32
	Appended   uint32
	Created    time.Time
	Accepted   time.Time // zero until accepted
	Ended      time.Time // zero until final
	Deadline   time.Time
	Weight     uint32
	MaxTries   uint8
	Retention  time.Duration
	State      State
}

type jobRecordFixedFields struct {
	Content    Digest
	FileDigest Digest
	Items      uint32
	Appended   uint32
	Created    int64
	Accepted   int64
	Ended      int64
	Deadline   int64
	Weight     uint32
	MaxTries   uint8
	Retention  int64
	State      State
}

// Encode returns the stored form of the record.
func (j *JobRecord) Encode() ([]byte, error) {
	fixed := jobRecordFixedFields{
		Content: j.Content, FileDigest: j.FileDigest, Items: j.Items, Appended: j.Appended, Created: j.Created.UnixMilli(),
		Accepted: milliseconds(j.Accepted), Ended: milliseconds(j.Ended), Deadline: j.Deadline.UnixMilli(),
		Weight: j.Weight, MaxTries: j.MaxTries, Retention: int64(j.Retention), State: j.State,
	}
	return wire.Marshal(recordVersion, fixed, []byte(j.JobID), []byte(j.Tenant), []byte(j.Key), []byte(j.FileID),
		[]byte(j.Model), []byte(j.Endpoint), []byte(j.Window), j.Metadata)
}

// DecodeJob decodes a stored job record. The result does not alias stored.
func DecodeJob(stored []byte) (JobRecord, error) {
	var fixed jobRecordFixedFields
	fields, err := wire.Unmarshal(stored, recordVersion, &fixed, 8)
	if err != nil {
		return JobRecord{}, err
	}
	record := JobRecord{
		Content: fixed.Content, FileDigest: fixed.FileDigest, Items: fixed.Items, Appended: fixed.Appended,
		Created: time.UnixMilli(fixed.Created), Accepted: timeOf(fixed.Accepted), Ended: timeOf(fixed.Ended),
		Deadline: time.UnixMilli(fixed.Deadline), Weight: fixed.Weight, MaxTries: fixed.MaxTries,
		Retention: time.Duration(fixed.Retention), State: fixed.State,
	}
	setStrings(fields, &record.JobID, &record.Tenant, &record.Key, &record.FileID, &record.Model, &record.Endpoint,
		&record.Window)
	record.Metadata = append([]byte(nil), fields[7]...)
	return record, nil
}

func milliseconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func timeOf(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}

// Counters counts a job's results.
type Counters struct {
	Succeeded uint32
	Failed    uint32
	Unknown   uint32
	// Dropped counts duplicate and late results.
	Dropped uint32
	Tokens  uint64
}

// Final returns the number of items that have a result.
func (c Counters) Final() uint32 { return c.Succeeded + c.Failed + c.Unknown }

// Encode returns the stored form of the counters.
func (c Counters) Encode() ([]byte, error) { return wire.Marshal(recordVersion, c) }

// DecodeCounters decodes a job's stored counters.
func DecodeCounters(stored []byte) (Counters, error) {
	var counters Counters
	_, err := wire.Unmarshal(stored, recordVersion, &counters, 0)
	return counters, err
}

// ResultRecord is the stored result of an item.
type ResultRecord struct {
	Index      uint32
	Status     jobs.ItemStatus
	HTTPStatus uint16
	Tokens     uint32
	Epoch      uint64
	At         time.Time
	CustomID   string
	Body       []byte
}

type resultRecordFixedFields struct {
	Status     jobs.ItemStatus
	HTTPStatus uint16
	Tokens     uint32
	Epoch      uint64
	At         int64
}

func (r *ResultRecord) encode() ([]byte, error) {
	fixed := resultRecordFixedFields{r.Status, r.HTTPStatus, r.Tokens, r.Epoch, r.At.UnixMilli()}
	return wire.Marshal(recordVersion, fixed, []byte(r.CustomID), r.Body)
}

// DecodeResult decodes a stored result. Body aliases stored; the caller sets
// Index, which is part of the key.
func DecodeResult(stored []byte) (ResultRecord, error) {
	var fixed resultRecordFixedFields
	fields, err := wire.Unmarshal(stored, recordVersion, &fixed, 2)
	if err != nil {
		return ResultRecord{}, err
	}
	return ResultRecord{
		Status: fixed.Status, HTTPStatus: fixed.HTTPStatus, Tokens: fixed.Tokens, Epoch: fixed.Epoch,
		At: time.UnixMilli(fixed.At), CustomID: string(fields[0]), Body: fields[1],
	}, nil
}

// leaseRecord is a stored lease. indexes includes items with a result, but not
// those returned to the job.
type leaseRecord struct {
	dispatcher string
	indexes    []uint32
}

func (l *leaseRecord) encode() ([]byte, error) {
	indexes := make([]byte, 0, 4*len(l.indexes))
	for _, index := range l.indexes {
		indexes = binary.BigEndian.AppendUint32(indexes, index)
	}
	return wire.Marshal(recordVersion, noFixedFields{}, []byte(l.dispatcher), indexes)
}

func decodeLeaseRecord(stored []byte) (leaseRecord, error) {
	fields, err := wire.Unmarshal(stored, recordVersion, &noFixedFields{}, 2)
	if err != nil {
		return leaseRecord{}, err
	}
	record := leaseRecord{dispatcher: string(fields[0])}
	for rest := fields[1]; len(rest) >= 4; rest = rest[4:] {
		record.indexes = append(record.indexes, binary.BigEndian.Uint32(rest))
	}
	return record, nil
}

// tries counts the failed tries of an item.
type tries struct {
	Faults uint8 // errors returned by the engine
	Losses uint8 // engines lost while running it
}

func (t tries) encode() ([]byte, error) { return wire.Marshal(recordVersion, t) }

func decodeTries(stored []byte) (tries, error) {
	var decoded tries
	_, err := wire.Unmarshal(stored, recordVersion, &decoded, 0)
	return decoded, err
}
