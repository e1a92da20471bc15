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
	// pageItems and pageBytes bound one page of results.
	pageItems = 1024
	pageBytes = 1 << 20
	// maxListed bounds one page of jobs.
	maxListed = 101
)

// Handle answers a question at the shard's leader; it is the handler of
// remote.OperationQuery.
func Handle(ctx context.Context, _ ledger.ShardID, shard ledger.Shard, payload []byte) (answer []byte, err error) {
	asked, err := decodeRequest(payload)
	if err != nil {
		return nil, err
	}
	err = shard.Read(ctx, func(reader ledger.Reader) error {
		answer, err = answerFrom(reader, asked)
		return err
	})
	return answer, err
}

func answerFrom(reader ledger.Reader, asked request) ([]byte, error) {
	switch asked.Kind {
	case kindFile:
		return answerFile(reader, asked)
	case kindChunk:
		chunk, ok, err := machine.GetChunk(reader, asked.identifier, asked.Number)
		return marshal(found{Found: ok}, [][]byte{chunk}, err)
	case kindJob:
		record, ok, err := machine.GetJob(reader, asked.identifier)
		return answerJob(reader, asked, record, ok, err)
	case kindJobByKey:
		record, ok, err := machine.GetJobByKey(reader, asked.tenant, asked.identifier)
		return answerJob(reader, asked, record, ok, err)
	case kindJobs:
		return answerJobs(reader, asked)
	case kindResults:
		return answerResults(reader, asked)
	default:
		return nil, trace.BadParameter("query: unknown question %d", asked.Kind)
	}
}

func marshal(fixed found, fields [][]byte, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return wire.Marshal(version, fixed, fields...)
}

func answerFile(reader ledger.Reader, asked request) ([]byte, error) {
	record, ok, err := machine.GetFile(reader, asked.identifier)
	if err != nil {
		return nil, err
	}
	if !ok || !record.Sealed || record.Tenant != asked.tenant {
		return marshal(found{}, nil, nil)
	}
	encoded, err := record.Encode()
	return marshal(found{Found: true}, [][]byte{encoded}, err)
}

func answerJob(reader ledger.Reader, asked request, record machine.JobRecord, ok bool, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if !ok || record.Tenant != asked.tenant || record.State == machine.StateReceiving {
		return marshal(found{}, nil, nil)
	}
	fields, err := encodeJob(reader, record)
	return marshal(found{Found: true}, fields, err)
}

// encodeJob encodes a job as two fields.
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

func answerJobs(reader ledger.Reader, asked request) ([]byte, error) {
	after := machine.JobRecord{}
	if asked.identifier != "" {
		after = machine.JobRecord{JobID: asked.identifier, Created: time.UnixMilli(asked.After)}
	}
	var fields [][]byte
	limit := min(int(asked.Limit), maxListed)
	err := machine.ScanTenantJobs(reader, asked.tenant, after, func(record machine.JobRecord) (bool, error) {
		job, err := encodeJob(reader, record)
		fields = append(fields, job...)
		return len(fields) < 2*limit, err
	})
	return marshal(found{Found: true}, fields, err)
}

func answerResults(reader ledger.Reader, asked request) ([]byte, error) {
	record, ok, err := machine.GetJob(reader, asked.identifier)
	if err != nil {
		return nil, err
	}
	if !ok || record.Tenant != asked.tenant || record.State == machine.StateReceiving {
		return marshal(found{}, nil, nil)
	}
	page, err := collectResults(reader, record, asked)
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
	return marshal(found{Found: true, Next: page.next, More: page.next < record.Items}, fields, nil)
}

type resultPage struct {
	results []machine.ResultRecord
	next    uint32
}

// collectResults reads one page: results that are (or are not) good and, for
// the error file of a job that ended early, the items without one.
func collectResults(reader ledger.Reader, record machine.JobRecord, asked request) (resultPage, error) {
	page := resultPage{next: min(asked.Number+pageItems, record.Items)}
	size := 0
	err := machine.ScanResults(reader, record.JobID, asked.Number, func(result machine.ResultRecord) (bool, error) {
		if result.Index >= page.next {
			return false, nil
		}
		if (result.Status != jobs.ItemSucceeded) != asked.Errors {
			return true, nil
		}
		if size > 0 && size+len(result.Body) > pageBytes {
			page.next = result.Index
			return false, nil
		}
		size += len(result.Body)
		result.Body = append([]byte(nil), result.Body...)
		page.results = append(page.results, result)
		return true, nil
	})
	if err != nil || !asked.Errors || !endedEarly(record.State) {
		return page, err
	}
	return page, addUnfinished(reader, record, asked.Number, &page)
}

func endedEarly(state machine.State) bool {
	return state == machine.StateCancelled || state == machine.StateExpired
}

// addUnfinished adds what became of the items without a result.
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
