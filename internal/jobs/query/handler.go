package query

import (
	"context"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

const (
	// maxPageItems and maxPageBytes bound one page of results.
	maxPageItems = 1024
	maxPageBytes = 1 << 20
	// maxPageJobs bounds one page of jobs.
	maxPageJobs = 101
)

// Handle answers a request at the shard's leader. It is the handler of
// remote.OperationQuery.
func Handle(ctx context.Context, _ ledger.ShardID, shard ledger.Shard, payload []byte) (answer []byte, err error) {
	req, err := decodeRequest(payload)
	if err != nil {
		return nil, err
	}
	err = shard.Read(ctx, func(reader ledger.Reader) error {
		answer, err = dispatchRequest(reader, req)
		return err
	})
	return answer, err
}

func dispatchRequest(reader ledger.Reader, req request) ([]byte, error) {
	switch req.Kind {
	case kindFile:
		return answerFile(reader, req)
	case kindChunk:
		chunk, ok, err := machine.GetChunk(reader, req.identifier, req.Number)
		return marshal(responseHeader{Found: ok}, [][]byte{chunk}, err)
	case kindJob:
		record, ok, err := machine.GetJob(reader, req.identifier)
		return answerJob(reader, req, record, ok, err)
	case kindJobByKey:
		record, ok, err := machine.GetJobByKey(reader, req.tenant, req.identifier)
		return answerJob(reader, req, record, ok, err)
	case kindJobs:
		return answerJobs(reader, req)
	case kindResults:
		return answerResults(reader, req)
	default:
		return nil, trace.BadParameter("query: unknown request kind %d", req.Kind)
	}
}

func marshal(fixed responseHeader, fields [][]byte, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return wire.Marshal(version, fixed, fields...)
}

func answerFile(reader ledger.Reader, req request) ([]byte, error) {
	record, ok, err := machine.GetFile(reader, req.identifier)
	if err != nil {
		return nil, err
	}
	if !ok || !record.Sealed || record.Tenant != req.tenant {
		return marshal(responseHeader{}, nil, nil)
	}
	encoded, err := record.Encode()
	return marshal(responseHeader{Found: true}, [][]byte{encoded}, err)
}

func answerJob(reader ledger.Reader, req request, record machine.JobRecord, ok bool, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if !ok || record.Tenant != req.tenant || record.State == machine.StateReceiving {
		return marshal(responseHeader{}, nil, nil)
	}
	fields, err := encodeJob(reader, record)
	return marshal(responseHeader{Found: true}, fields, err)
}

// encodeJob encodes a job as two fields: its record and its counters.
func encodeJob(reader ledger.Reader, record machine.JobRecord) ([][]byte, error) {
	counters, err := machine.GetCounters(reader, record.JobID)
	if err != nil {
		return nil, err
	}
	first, err := record.Encode()
	if err != nil {
		return nil, err
	}
	second, err := counters.Encode()
	return [][]byte{first, second}, err
}

func answerJobs(reader ledger.Reader, req request) ([]byte, error) {
	after := machine.JobRecord{}
	if req.identifier != "" {
		after = machine.JobRecord{JobID: req.identifier, Created: time.UnixMilli(req.After)}
	}
	var fields [][]byte
	limit := min(int(req.Limit), maxPageJobs)
	err := machine.ScanTenantJobs(reader, req.tenant, after, func(record machine.JobRecord) (bool, error) {
		job, err := encodeJob(reader, record)
		fields = append(fields, job...)
		return len(fields) < 2*limit, err
	})
	return marshal(responseHeader{Found: true}, fields, err)
}

func answerResults(reader ledger.Reader, req request) ([]byte, error) {
	record, ok, err := machine.GetJob(reader, req.identifier)
	if err != nil {
		return nil, err
	}
	if !ok || record.Tenant != req.tenant || record.State == machine.StateReceiving {
		return marshal(responseHeader{}, nil, nil)
	}
	page, err := collectResults(reader, record, req)
	if err != nil {
		return nil, err
	}
	fields := make([][]byte, 0, len(page.results))
	for _, result := range page.results {
		encoded, err := encodeResult(result)
		if err != nil {
			return nil, err
		}
		fields = append(fields, encoded)
	}
	return marshal(responseHeader{Found: true, Next: page.next, More: page.next < record.Items}, fields, nil)
}

type resultPage struct {
	results []machine.ResultRecord
	next    uint32
}

// collectResults reads one page of the successful results or of the others. For
// errors of a cancelled or expired job, it includes the items without a result.
func collectResults(reader ledger.Reader, record machine.JobRecord, req request) (resultPage, error) {
	page := resultPage{next: min(req.Number+maxPageItems, record.Items)}
	size := 0
	err := machine.ScanResults(reader, record.JobID, req.Number, func(result machine.ResultRecord) (bool, error) {
		if result.Index >= page.next {
			return false, nil
		}
		if (result.Status != jobs.ItemSucceeded) != req.Errors {
			return true, nil
		}
		if size > 0 && size+len(result.Body) > maxPageBytes {
			page.next = result.Index
			return false, nil
		}
		size += len(result.Body)
		result.Body = append([]byte(nil), result.Body...)
		page.results = append(page.results, result)
		return true, nil
	})
	if err != nil || !req.Errors || !endedEarly(record.State) {
		return page, err
	}
	return page, addUnfinished(reader, record, req.Number, &page)
}

func endedEarly(state machine.State) bool {
	return state == machine.StateCancelled || state == machine.StateExpired
}

// addUnfinished adds results for the items that have none.
func addUnfinished(reader ledger.Reader, record machine.JobRecord, first uint32, page *resultPage) error {
	status := jobs.ItemCancelled
	if record.State == machine.StateExpired {
		status = jobs.ItemExpired
	}
	err := machine.ScanUnfinished(reader, record.JobID, first, func(item jobs.Item, started bool) (bool, error) {
		if item.Index >= page.next {
			return false, nil
		}
		result := machine.ResultRecord{Index: item.Index, Status: status, CustomID: item.CustomID, At: record.Ended}
		if started {
			result.Status = jobs.ItemOutcomeUnknown
		}
		page.results = append(page.results, result)
		return true, nil
	})
	sort.Slice(page.results, func(a, b int) bool { return page.results[a].Index < page.results[b].Index })
	return err
}
