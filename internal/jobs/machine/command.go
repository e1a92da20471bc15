package machine

import (
	"encoding/binary"
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/wire"
)

// Kind identifies a command type in an entry.
type Kind uint8

// Kinds of commands.
const (
	KindFileBegin Kind = iota + 1
	KindFileAppend
	KindFileSeal
	KindFileDelete
	KindJobBegin
	KindJobAppend
	KindJobSeal
	KindLease
	KindStart
	KindReport
	KindExpireLeases
	KindCancel
	KindTick
)

const entryVersion = 1

// DigestSize is the size of a content digest in bytes.
const DigestSize = 32

// Digest is a SHA-256 digest.
type Digest [DigestSize]byte

// Command is implemented by the command types of this package only.
type Command interface {
	kind() Kind
	marshal() ([]byte, error)
	unmarshal(message []byte) error
}

type entryHeader struct {
	Kind Kind
	At   int64 // Unix milliseconds at the proposer
}

// Encode encodes a command as a log entry. The shard's leader replaces the
// proposer's time, at, by its own.
func Encode(at time.Time, command Command) ([]byte, error) {
	body, err := command.marshal()
	if err != nil {
		return nil, err
	}
	return wire.Marshal(entryVersion, entryHeader{command.kind(), at.UnixMilli()}, body)
}

// Decode decodes a log entry. The command's byte fields alias entry.
func Decode(entry []byte) (time.Time, Command, error) {
	var header entryHeader
	fields, err := wire.Unmarshal(entry, entryVersion, &header, 1)
	if err != nil {
		return time.Time{}, nil, err
	}
	command := newCommand(header.Kind)
	if command == nil {
		return time.Time{}, nil, fmt.Errorf("machine: unknown command kind %d", header.Kind)
	}
	if err := command.unmarshal(fields[0]); err != nil {
		return time.Time{}, nil, err
	}
	return time.UnixMilli(header.At), command, nil
}

// headerSize is the size of an entry's version and header.
const headerSize = 1 + 1 + 8

// Stamp returns a copy of an entry with its time replaced. Input that is not an
// entry is returned unchanged.
func Stamp(entry []byte, at time.Time) []byte {
	if len(entry) < headerSize || entry[0] != entryVersion {
		return entry
	}
	stamped := append([]byte(nil), entry...)
	binary.BigEndian.PutUint64(stamped[headerSize-8:], uint64(at.UnixMilli()))
	return stamped
}

func newCommand(kind Kind) Command {
	switch kind {
	case KindFileBegin:
		return &FileBegin{}
	case KindFileAppend:
		return &FileAppend{}
	case KindFileSeal:
		return &FileSeal{}
	case KindFileDelete:
		return &FileDelete{}
	case KindJobBegin:
		return &JobBegin{}
	case KindJobAppend:
		return &JobAppend{}
	case KindJobSeal:
		return &JobSeal{}
	case KindLease:
		return &LeaseItems{}
	case KindStart:
		return &Start{}
	case KindReport:
		return &Report{}
	case KindExpireLeases:
		return &ExpireLeases{}
	case KindCancel:
		return &Cancel{}
	case KindTick:
		return &Tick{}
	default:
		return nil
	}
}

// FileBegin creates an input file, which is not readable until FileSeal.
type FileBegin struct {
	FileID    string
	Tenant    string
	Name      string
	Purpose   string
	Retention time.Duration
}

// FileAppend adds chunk number Chunk, counted from 0, of complete lines. An
// existing chunk is not overwritten.
type FileAppend struct {
	FileID string
	Chunk  uint32
	Data   []byte
}

// FileSeal makes the file readable if it has all Chunks chunks.
type FileSeal struct {
	FileID   string
	Chunks   uint32
	Lines    uint32
	Bytes    uint64
	Digest   Digest
	Model    string
	Endpoint string
}

// FileDelete removes a file if it belongs to Tenant.
type FileDelete struct {
	FileID string
	Tenant string
}

// JobBegin creates a job, or finds the existing job of the idempotency key.
type JobBegin struct {
	JobID  string
	Tenant string
	// Key is the idempotency key; never empty.
	Key string
	// Content is the digest of the input and the parameters, which a retry
	// must repeat.
	Content    Digest
	FileID     string
	FileDigest Digest
	Model      string
	Endpoint   string
	Window     string
	Metadata   []byte // JSON object, or empty
	Items      uint32
	Deadline   time.Time
	Weight     uint32 // the tenant's weight in fair sharing, in thousandths
	MaxTries   uint8
	Retention  time.Duration
}

// JobAppend adds items First, First+1, ... to a job that is not sealed yet.
type JobAppend struct {
	JobID string
	First uint32
	Items []jobs.Item
}

// JobSeal accepts the job if all Items items were appended.
type JobSeal struct {
	JobID string
	Items uint32
}

// LeaseItems leases up to Count open items of a model to a dispatcher, limited
// to about MaxBytes of item bodies in total.
type LeaseItems struct {
	Dispatcher string
	Model      string
	Count      uint32
	MaxBytes   uint32
}

// Start records that a non-repeatable item is about to be sent.
type Start struct {
	JobID string
	Index uint32
	Epoch uint64
}

// Report records results. A result of status ItemOpen returns the item to its
// job: see ReturnNotRun.
type Report struct {
	Results []jobs.Result
}

// ExpireLeases ends leases that a dispatcher stopped renewing.
type ExpireLeases struct {
	Dispatcher string
	Epochs     []uint64
}

// Cancel cancels a job if it belongs to Tenant.
type Cancel struct {
	JobID  string
	Tenant string
}

// Tick applies deadlines, retention periods and the timeout for sealing.
type Tick struct{}

func (*FileBegin) kind() Kind    { return KindFileBegin }
func (*FileAppend) kind() Kind   { return KindFileAppend }
func (*FileSeal) kind() Kind     { return KindFileSeal }
func (*FileDelete) kind() Kind   { return KindFileDelete }
func (*JobBegin) kind() Kind     { return KindJobBegin }
func (*JobAppend) kind() Kind    { return KindJobAppend }
func (*JobSeal) kind() Kind      { return KindJobSeal }
func (*LeaseItems) kind() Kind   { return KindLease }
func (*Start) kind() Kind        { return KindStart }
func (*Report) kind() Kind       { return KindReport }
func (*ExpireLeases) kind() Kind { return KindExpireLeases }
func (*Cancel) kind() Kind       { return KindCancel }
func (*Tick) kind() Kind         { return KindTick }
