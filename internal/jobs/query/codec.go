package query

import (
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/wire"
)

// kind names a question.
type kind uint8

const (
	kindFile kind = iota + 1
	kindChunk
	kindJob
	kindJobs
	kindResults
	kindJobByKey
)

const version = 1

// question is what a node asks a shard's leader.
type question struct {
	Kind   kind
	Number uint32 // the chunk, or the first index
	Limit  uint32
	Errors bool
	After  int64 // creation time of the job behind which a listing starts
}

type request struct {
	question
	identifier string
	tenant     string
}

func (r request) encode() ([]byte, error) {
	return wire.Marshal(version, r.question, []byte(r.identifier), []byte(r.tenant))
}

func decodeRequest(message []byte) (request, error) {
	var decoded request
	fields, err := wire.Unmarshal(message, version, &decoded.question, 2)
	if err != nil {
		return request{}, err
	}
	decoded.identifier, decoded.tenant = string(fields[0]), string(fields[1])
	return decoded, nil
}

// found is the fixed part of an answer.
type found struct {
	Found bool
	// Next is the index to go on from, when More.
	Next uint32
	More bool
}

// Job is a job and what it has done so far.
type Job struct {
	machine.JobRecord
	machine.Counters
}

// Remaining counts the items without a result.
func (j *Job) Remaining() uint32 { return j.Items - j.Counters.Final() }

// InputFile is what the job remembers of its input file, which may be gone.
func (j *Job) InputFile() machine.FileRecord {
	return machine.FileRecord{
		FileID: j.FileID, Tenant: j.Tenant, Lines: j.Items, Digest: j.FileDigest, Model: j.Model, Endpoint: j.Endpoint,
	}
}

type resultNumbers struct {
	Index      uint32
	Status     jobs.ItemStatus
	HTTPStatus uint16
	Tokens     uint32
	At         int64
}

func encodeResult(result machine.ResultRecord) ([]byte, error) {
	fixed := resultNumbers{result.Index, result.Status, result.HTTPStatus, result.Tokens, result.At.UnixMilli()}
	return wire.Marshal(version, fixed, []byte(result.CustomID), result.Body)
}

func decodeResult(message []byte) (machine.ResultRecord, error) {
	var fixed resultNumbers
	fields, err := wire.Unmarshal(message, version, &fixed, 2)
	if err != nil {
		return machine.ResultRecord{}, err
	}
	return machine.ResultRecord{
		Index: fixed.Index, Status: fixed.Status, HTTPStatus: fixed.HTTPStatus, Tokens: fixed.Tokens,
		At: time.UnixMilli(fixed.At), CustomID: string(fields[0]), Body: fields[1],
	}, nil
}
