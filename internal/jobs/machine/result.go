package machine

import (
	"encoding/json"
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
)

// A result of status ItemOpen returns an item to its job. Its HTTPStatus is the
// reason: one of these, or the error status that the engine returned.
const (
	// ReturnNotRun means that no engine ran the item; no try is counted.
	ReturnNotRun uint16 = 0
	// ReturnLost means that the engine was lost while running the item.
	ReturnLost uint16 = http.StatusBadGateway
)

// maxLosses is the number of lost engines after which an item fails as the
// presumed cause.
const maxLosses = 8

const codeOutcomeUnknown = "outcome_unknown"

// errorBody returns an error response body in OpenAI format.
func errorBody(code, message string) []byte {
	type inner struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	body, _ := json.Marshal(struct { // two strings always encode
		Error inner `json:"error"`
	}{inner{code, message}})
	return body
}

func (tx *transaction) report(c *Report) (Answer, error) {
	answer := Answer{Code: CodeOK}
	for _, result := range c.Results {
		kept, err := tx.reportOne(result)
		if err != nil {
			return Answer{}, err
		}
		if kept {
			answer.Count++
		}
	}
	return answer, nil
}

func (tx *transaction) reportOne(result jobs.Result) (kept bool, err error) {
	job, ok := tx.machine.open[result.JobID]
	if !ok {
		return false, tx.drop(result)
	}
	if result.Index >= job.record.Items || result.Status > jobs.ItemExpired {
		return false, nil
	}
	if job.done.has(result.Index) {
		return false, tx.drop(result)
	}
	if result.Status == jobs.ItemOpen {
		return false, tx.returnItem(job, result)
	}
	return true, tx.record(job, result)
}

// drop counts a duplicate or late result, unless it repeats the stored one.
func (tx *transaction) drop(result jobs.Result) error {
	if result.Status == jobs.ItemOpen {
		return nil
	}
	stored, ok, err := GetResult(tx, result.JobID, result.Index)
	if err != nil || (ok && stored.Epoch == result.Epoch) {
		return err
	}
	touched, err := tx.touch(result.JobID)
	if err != nil || touched == nil {
		return err
	}
	touched.counters.Dropped++
	tx.machine.dropped++
	return nil
}

// record stores the first result of an item.
func (tx *transaction) record(job *openJob, result jobs.Result) error {
	jobID := job.record.JobID
	customID, err := tx.customID(job, result.Index)
	if err != nil {
		return err
	}
	kept := ResultRecord{
		Status: result.Status, HTTPStatus: result.HTTPStatus, Tokens: result.CompletionTokens,
		Epoch: result.Epoch, At: time.UnixMilli(tx.now), CustomID: customID, Body: result.Body,
	}
	encoded, err := kept.encode()
	if err != nil {
		return err
	}
	if err := tx.Set(key32(tableResult, jobID, result.Index), encoded); err != nil {
		return err
	}
	if err := tx.Delete(key32(tableItem, jobID, result.Index)); err != nil {
		return err
	}
	return tx.count(job, result)
}

// customID returns the custom_id of an item without a result.
func (tx *transaction) customID(job *openJob, index uint32) (string, error) {
	if known, leased := job.customIDs[index]; leased {
		return known, nil
	}
	item, err := GetItem(tx, job.record.JobID, index)
	return item.CustomID, err
}

// count updates the job's summary, counters and rate for a stored result.
func (tx *transaction) count(job *openJob, result jobs.Result) error {
	touched, err := tx.touch(job.record.JobID)
	if err != nil {
		return err
	}
	touched.blocks[result.Index/blockItems] = true
	switch result.Status {
	case jobs.ItemSucceeded:
		touched.counters.Succeeded++
	case jobs.ItemOutcomeUnknown:
		touched.counters.Unknown++
	default:
		touched.counters.Failed++
	}
	touched.counters.Tokens += uint64(result.CompletionTokens)
	tx.countCompletion(job.record.Model)
	epoch, leased := job.leased[result.Index]
	job.finish(result.Index)
	if leased {
		return tx.countDownLease(job, epoch)
	}
	return nil
}

// countDownLease decrements a lease's remaining items, and removes the lease at 0.
func (tx *transaction) countDownLease(job *openJob, epoch uint64) error {
	held := job.leases[epoch]
	held.remaining--
	if held.remaining > 0 {
		return nil
	}
	delete(job.leases, epoch)
	return tx.Delete(key64(tableLease, job.record.JobID, epoch))
}

// returnItem reopens a leased item, fails it after too many tries, or records an
// unknown outcome if it is non-repeatable and was sent.
func (tx *transaction) returnItem(job *openJob, result jobs.Result) error {
	if epoch, leased := job.leased[result.Index]; !leased || epoch != result.Epoch {
		return nil
	}
	if _, started := job.started[result.Index]; started {
		if result.HTTPStatus != ReturnNotRun {
			return tx.recordUnknown(job, result.Index, result.Epoch)
		}
		delete(job.started, result.Index)
		if err := tx.Delete(key32(tableStarted, job.record.JobID, result.Index)); err != nil {
			return err
		}
	}
	if result.HTTPStatus != ReturnNotRun {
		exhausted, err := tx.countTry(job, result)
		if err != nil {
			return err
		}
		if exhausted {
			result.Status = jobs.ItemFailed
			return tx.record(job, result)
		}
	}
	return tx.releaseItem(job, result.Index, result.Epoch)
}

func (tx *transaction) releaseItem(job *openJob, index uint32, epoch uint64) error {
	held := job.leases[epoch]
	for position, candidate := range held.indexes {
		if candidate == index {
			held.indexes = append(held.indexes[:position], held.indexes[position+1:]...)
			break
		}
	}
	job.reopen(index)
	held.remaining--
	if held.remaining > 0 {
		return tx.storeLease(job, epoch)
	}
	delete(job.leases, epoch)
	return tx.Delete(key64(tableLease, job.record.JobID, epoch))
}

// countTry counts a failed try and reports whether it was the last one allowed.
func (tx *transaction) countTry(job *openJob, result jobs.Result) (exhausted bool, err error) {
	storeKey := key32(tableTries, job.record.JobID, result.Index)
	var counted tries
	if stored, ok, err := tx.Get(storeKey); err != nil {
		return false, err
	} else if ok {
		if counted, err = decodeTries(stored); err != nil {
			return false, err
		}
	}
	if result.HTTPStatus == ReturnLost {
		counted.Losses++
	} else {
		counted.Faults++
	}
	encoded, err := counted.encode()
	if err != nil {
		return false, err
	}
	exhausted = counted.Faults >= job.record.MaxTries || counted.Losses >= maxLosses
	return exhausted, tx.Set(storeKey, encoded)
}
