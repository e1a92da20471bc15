package batchapi

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/settings"
)

const contentTypeLines = "application/jsonl"

// resultLine is a line of OpenAI's output and error files.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

type resultResponse struct {
	StatusCode uint16          `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type resultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// itemErrors has the error of each status for items without an engine's response.
var itemErrors = map[jobs.ItemStatus]resultError{
	jobs.ItemFailed:         {"engine_failed", "the item failed"},
	jobs.ItemOutcomeUnknown: {"outcome_unknown", "the item was sent to an engine once and its outcome is not known"},
	jobs.ItemCancelled:      {"batch_cancelled", "the batch was cancelled before the item was done"},
	jobs.ItemExpired:        {"batch_expired", "the deadline of the batch passed before the item was done"},
}

// newResultLine converts a result to a line of the output or error file.
func newResultLine(jobID string, result machine.ResultRecord) resultLine {
	requestID := fmt.Sprintf("%s-%d", strings.TrimPrefix(jobID, "batch_"), result.Index)
	line := resultLine{ID: "batch_req_" + requestID, CustomID: result.CustomID}
	if result.HTTPStatus != 0 && json.Valid(result.Body) {
		line.Response = &resultResponse{StatusCode: result.HTTPStatus, RequestID: requestID, Body: result.Body}
		return line
	}
	itemError := itemErrors[result.Status]
	var body struct {
		Error resultError `json:"error"`
	}
	if json.Unmarshal(result.Body, &body) == nil && body.Error.Code != "" {
		itemError = body.Error
	}
	line.Error = &itemError
	return line
}

// resultBuffer is the size of the write buffer for results, in bytes.
const resultBuffer = 64 << 10

// writeResults streams a job's output or error file.
func (h *handler) writeResults(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant, jobID string, errorFile bool) error {
	buffered := bufio.NewWriterSize(w, resultBuffer)
	encoder := json.NewEncoder(buffered)
	encoder.SetEscapeHTML(false)
	written := 0
	err := h.Queries.Results(r.Context(), tenant.Name, jobID, errorFile, func(result machine.ResultRecord) error {
		if written == 0 {
			w.Header().Set("Content-Type", contentTypeLines)
		}
		written++
		return encoder.Encode(newResultLine(jobID, result))
	})
	if err != nil && written == 0 {
		return err
	}
	if err != nil {
		panic(http.ErrAbortHandler) // lets the caller see that the file is incomplete
	}
	w.Header().Set("Content-Type", contentTypeLines)
	_ = buffered.Flush() // fails only if the caller disconnected
	return nil
}
