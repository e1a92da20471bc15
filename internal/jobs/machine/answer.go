package machine

import (
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/wire"
)

// Code is the outcome of a command.
type Code uint8

// Codes of answers. All but CodeOK leave jobs and files unchanged.
const (
	CodeOK        Code = iota + 1
	CodeMalformed      // the entry can't be decoded or exceeds a limit
	CodeNotFound       // no such file or job of this tenant
	CodeConflict       // the idempotency key was used with different content
	CodeGap            // a chunk or item before this one is missing
	CodeDeadline       // the deadline can't be met; Answer.Time is the earliest feasible one
	CodeRefused        // the item must not be started
)

// Answer is the result of applying a command.
type Answer struct {
	Code Code
	// Time is the earliest feasible deadline, with CodeDeadline.
	Time time.Time
	// Count is the next chunk or item expected (files and jobs being
	// received), the results stored (Report) or the leases ended (ExpireLeases).
	Count uint32
	// Sealed reports that the file or job was sealed by an earlier command.
	Sealed bool
	// JobID is the job of the idempotency key (JobBegin) or the job sealed (JobSeal).
	JobID string
	// Leases are the leases granted (LeaseItems).
	Leases []jobs.Lease
}

type answerFixedFields struct {
	Code   Code
	Time   int64
	Count  uint32
	Sealed bool
}

// Encode returns the wire form of the answer.
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
	fixed := answerFixedFields{Code: a.Code, Count: a.Count, Sealed: a.Sealed}
	if !a.Time.IsZero() {
		fixed.Time = a.Time.UnixMilli()
	}
	return wire.Marshal(bodyVersion, fixed, fields...)
}

// DecodeAnswer decodes an answer returned by Machine.Apply. Byte fields alias message.
func DecodeAnswer(message []byte) (Answer, error) {
	var fixed answerFixedFields
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

type leaseAnswerFixedFields struct {
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
	return wire.Marshal(bodyVersion, leaseAnswerFixedFields{lease.Deadline.UnixMilli(), lease.Epoch}, fields...)
}

func decodeLease(message []byte) (jobs.Lease, error) {
	var fixed leaseAnswerFixedFields
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
