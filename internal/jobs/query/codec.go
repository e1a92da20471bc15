package query

import (
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/wire"
)

// kind is the kind of a request.
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

// requestHeader is the fixed part of a request to a shard's leader.
type requestHeader struct {
	Kind   kind
	Number uint32 // the chunk, or the first index
	Limit  uint32
	Errors bool
	After  int64 // creation time of the job after which a listing starts, in milliseconds
}

type request struct {
	requestHeader
	identifier string
	tenant     string
}

func (r request) encode() ([]byte, error) {
	return wire.Marshal(version, r.requestHeader, []byte(r.identifier), []byte(r.tenant))
}

func decodeRequest(message []byte) (request, error) {
	var decoded request
	fields, err := wire.Unmarshal(message, version, &decoded.requestHeader, 2)
	if err != nil {
		return request{}, err
	}
	decoded.identifier, decoded.tenant = string(fields[0]), string(fields[1])
	return decoded, nil
}

// responseHeader is the fixed part of an answer.
type responseHeader struct {
	Found bool
	// Next is the first index of the next page, if More.
	Next uint32
	More bool
}

// Job is a job with the counters of its progress.
type Job struct {
	machine.JobRecord
	machine.Counters
}

// Remaining returns the number of items without a result.
func (j *Job) Remaining() uint32 { return j.Items - j.Counters.Final() }

// InputFile returns the job's copy of its input file's record, which outlives
// the file.
func (j *Job) InputFile() machine.FileRecord {
	return machine.FileRecord{
		FileID: j.FileID, Tenant: j.Tenant, Lines: j.Items, Digest: j.FileDigest, Model: j.Model, Endpoint: j.Endpoint,
	}
}

type resultHeader struct {
	Index      uint32
	Status     jobs.ItemStatus
	HTTPStatus uint16
	Tokens     uint32
	At         int64
}

func encodeResult(result machine.ResultRecord) ([]byte, error) {
	fixed := resultHeader{result.Index, result.Status, result.HTTPStatus, result.Tokens, result.At.UnixMilli()}
	return wire.Marshal(version, fixed, []byte(result.CustomID), result.Body)
}

func decodeResult(message []byte) (machine.ResultRecord, error) {
	var fixed resultHeader
	fields, err := wire.Unmarshal(message, version, &fixed, 2)
	if err != nil {
		return machine.ResultRecord{}, err
	}
	return machine.ResultRecord{
		Index: fixed.Index, Status: fixed.Status, HTTPStatus: fixed.HTTPStatus, Tokens: fixed.Tokens,
		At: time.UnixMilli(fixed.At), CustomID: string(fields[0]), Body: fields[1],
	}, nil
}
