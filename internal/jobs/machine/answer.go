package machine

import (
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/wire"
)

// Code says how the machine decided on a command.
type Code uint8

// Codes of answers. All but CodeOK leave the state as it was.
const (
	CodeOK        Code = iota + 1
	CodeMalformed      // the entry can't be decoded or breaks a limit
	CodeNotFound       // no such file or job of this tenant
	CodeConflict       // the idempotency key belongs to another content
	CodeGap            // a chunk or item before this one is missing
	CodeDeadline       // the deadline can't be met; Answer.Time says what can
	CodeRefused        // a start that must not happen, or a job that is final
)

// Answer is the machine's answer to a command.
type Answer struct {
	Code Code
	// Time is the earliest deadline that could be met, with CodeDeadline.
	Time time.Time
	// Count is: the next chunk or item expected (FileAppend, JobAppend); the
	// results kept (Report); the leases ended (ExpireLeases).
	Count uint32
	// Sealed says that the job was accepted before (JobBegin).
	Sealed bool
	// JobID is the job that the key names (JobBegin).
	JobID string
	// Leases are the leases given (LeaseItems).
	Leases []jobs.Lease
}

type answerNumbers struct {
	Code   Code
	Time   int64
	Count  uint32
	Sealed bool
}

// Encode encodes the answer.
func (a Answer) Encode() ([]byte, error) {
	fields := make([][]byte, 0, 1+len(a.Leases))
	fields = append(fields, []byte(a.JobID))
	for _, lease := range a.Leases {
		encoded, err := encodeLease(lease)
		if err != nil {
			return nil, err
		}
		fields = append(fields, encoded)
	}
	fixed := answerNumbers{Code: a.Code, Count: a.Count, Sealed: a.Sealed}
	if !a.Time.IsZero() {
		fixed.Time = a.Time.UnixMilli()
	}
	return wire.Marshal(bodyVersion, fixed, fields...)
}

// DecodeAnswer reads what Apply returned. Byte fields alias message.
func DecodeAnswer(message []byte) (Answer, error) {
	var fixed answerNumbers
	fields, err := wire.Unmarshal(message, bodyVersion, &fixed, -1)
	if err != nil {
		return Answer{}, err
	}
	if len(fields) == 0 {
		return Answer{}, wire.ErrLength
	}
	answer := Answer{Code: fixed.Code, Count: fixed.Count, Sealed: fixed.Sealed, JobID: string(fields[0])}
	if fixed.Time != 0 {
		answer.Time = time.UnixMilli(fixed.Time)
	}
	for _, field := range fields[1:] {
		lease, err := decodeLease(field)
		if err != nil {
			return Answer{}, err
		}
		answer.Leases = append(answer.Leases, lease)
	}
	return answer, nil
}

type leaseAnswerNumbers struct {
	Deadline int64
	Epoch    uint64
}

func encodeLease(lease jobs.Lease) ([]byte, error) {
	fields := make([][]byte, 0, 3+len(lease.Items))
	fields = append(fields, []byte(lease.JobID), []byte(lease.Tenant), []byte(lease.Model))
	for _, item := range lease.Items {
		encoded, err := encodeItem(item)
		if err != nil {
			return nil, err
		}
		fields = append(fields, encoded)
	}
	return wire.Marshal(bodyVersion, leaseAnswerNumbers{lease.Deadline.UnixMilli(), lease.Epoch}, fields...)
}

func decodeLease(message []byte) (jobs.Lease, error) {
	var fixed leaseAnswerNumbers
	fields, err := wire.Unmarshal(message, bodyVersion, &fixed, -1)
	if err != nil {
		return jobs.Lease{}, err
	}
	if len(fields) < 3 {
		return jobs.Lease{}, wire.ErrLength
	}
	lease := jobs.Lease{Deadline: time.UnixMilli(fixed.Deadline), Epoch: fixed.Epoch}
	setStrings(fields, &lease.JobID, &lease.Tenant, &lease.Model)
	for _, field := range fields[3:] {
		item, err := decodeItem(field)
		if err != nil {
			return jobs.Lease{}, err
		}
		lease.Items = append(lease.Items, item)
	}
	return lease, nil
}
