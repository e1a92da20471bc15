package batchapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/jobs/input"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/query"
	"chutelock.dev/chutelock/internal/settings"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	maxIdempotencyKey    = 255
	metadataDeadline     = "deadline"
	maxMetadata          = 16
	defaultPageSize      = 20
	maxPageSize          = 100
)

// batchRequest is the body of POST /v1/batches.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func readBatchRequest(w http.ResponseWriter, r *http.Request) (batchRequest, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxJSONBody))
	if err != nil {
		return batchRequest{}, uploadError(r.Context(), err)
	}
	var request batchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		var typed *json.UnmarshalTypeError
		if errors.As(err, &typed) {
			return batchRequest{}, apierror.Invalid(typed.Field, "want %s, have %s", typed.Type, typed.Value)
		}
		return batchRequest{}, apierror.InvalidJSON("body", "not a JSON object: %v", err)
	}
	return request, request.check()
}

func (b *batchRequest) check() error {
	switch {
	case b.InputFileID == "":
		return apierror.Invalid("input_file_id", "is missing")
	case b.Endpoint != input.PathCompletions && b.Endpoint != input.PathChatCompletions:
		return apierror.Invalid("endpoint", "is %q, want %s or %s", b.Endpoint, input.PathCompletions, input.PathChatCompletions)
	case len(b.Metadata) > maxMetadata:
		return apierror.Invalid("metadata", "has more than %d fields", maxMetadata)
	default:
		return nil
	}
}

// deadline returns metadata.deadline if it is set, or else the end of the
// completion window.
func (b *batchRequest) deadline(now time.Time) (time.Time, error) {
	if text := b.Metadata[metadataDeadline]; text != "" {
		deadline, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return time.Time{}, apierror.Invalid("metadata.deadline", "is %q, want a time as in RFC 3339", text)
		}
		return deadline, nil
	}
	window, err := parseWindow(b.CompletionWindow)
	if err != nil || window <= 0 {
		return time.Time{}, apierror.Invalid("completion_window", "is %q, want a duration such as 24h or 90m", b.CompletionWindow)
	}
	return now.Add(window), nil
}

const day = 24 * time.Hour

// parseWindow parses a Go duration or a number of days such as "7d".
func parseWindow(text string) (time.Duration, error) {
	if days, found := strings.CutSuffix(text, "d"); found {
		count, err := strconv.ParseUint(days, 10, 16)
		return time.Duration(count) * day, err
	}
	return time.ParseDuration(text)
}

func (h *handler) createBatch(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error {
	request, err := readBatchRequest(w, r)
	if err != nil {
		return err
	}
	submission, err := h.submission(r, tenant, &request)
	if err != nil {
		return err
	}
	keyed := r.Header.Get(headerIdempotencyKey) != ""
	jobID, err := h.Jobs.Submit(r.Context(), submission)
	if err != nil {
		return submissionError(err, keyed)
	}
	job, err := h.Queries.Job(r.Context(), tenant.Name, jobID)
	if err != nil {
		return submissionError(err, keyed)
	}
	return writeJSON(w, newBatchJSON(&job))
}

func (h *handler) submission(r *http.Request, tenant *settings.Tenant, request *batchRequest) (command.Submission, error) {
	key, err := idempotencyKey(r)
	if err != nil {
		return command.Submission{}, err
	}
	repeatable, ok := input.ParseRepeatable(r.Header.Get(input.RepeatableHeader))
	if !ok {
		return command.Submission{}, apierror.Invalid(input.RepeatableHeader, "want true or false")
	}
	deadline, err := request.deadline(time.Now())
	if err != nil {
		return command.Submission{}, err
	}
	file, err := h.inputFile(r, tenant, key, request)
	if err != nil {
		return command.Submission{}, err
	}
	metadata, err := canonicalMetadata(request.Metadata)
	return command.Submission{
		Tenant: tenant.Name, Key: key, File: file, Endpoint: request.Endpoint, Window: request.CompletionWindow,
		Metadata: metadata, Deadline: deadline, DefaultRepeatable: repeatable, Weight: tenant.BatchWeight,
		Retention: retention(tenant),
	}, err
}

func idempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKey {
		return "", apierror.Invalid(headerIdempotencyKey, "is longer than %d bytes", maxIdempotencyKey)
	}
	if key == "" {
		return jobs.NewKey(), nil
	}
	return key, nil
}

// canonicalMetadata encodes metadata with sorted keys, so that equal submissions
// have equal encodings.
func canonicalMetadata(metadata map[string]string) ([]byte, error) {
	if len(metadata) == 0 {
		return nil, nil
	}
	return json.Marshal(metadata)
}

// inputFile returns the record of the input file. A resubmission of a job may name
// a file that was deleted since.
func (h *handler) inputFile(r *http.Request, tenant *settings.Tenant, key string, request *batchRequest) (machine.FileRecord, error) {
	file, err := h.Queries.File(r.Context(), tenant.Name, request.InputFileID)
	if errors.Is(err, query.ErrNotFound) {
		return h.deletedFile(r, tenant, key, request)
	}
	if err != nil {
		return machine.FileRecord{}, submissionError(err, r.Header.Get(headerIdempotencyKey) != "")
	}
	if file.Endpoint != request.Endpoint {
		return machine.FileRecord{}, apierror.Invalid("endpoint", "is %s, but the items of the file name %s", request.Endpoint, file.Endpoint)
	}
	if err := h.checkModel(tenant, file.Model); err != nil {
		return machine.FileRecord{}, apierror.ModelNotFound(file.Model)
	}
	return file, nil
}

func (h *handler) deletedFile(r *http.Request, tenant *settings.Tenant, key string, request *batchRequest) (machine.FileRecord, error) {
	job, err := h.Queries.JobByKey(r.Context(), tenant.Name, key)
	if err != nil || job.FileID != request.InputFileID {
		return machine.FileRecord{}, apierror.NotFound("there is no file %q", request.InputFileID)
	}
	return job.InputFile(), nil
}

func (h *handler) getBatch(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error {
	job, err := h.Queries.Job(r.Context(), tenant.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	return writeJSON(w, newBatchJSON(&job))
}

func (h *handler) cancelBatch(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error {
	if err := h.Jobs.Cancel(r.Context(), tenant.Name, r.PathValue("id")); err != nil {
		return submissionError(err, true)
	}
	return h.getBatch(w, r, tenant)
}

// batchList is OpenAI's list of batch objects.
type batchList struct {
	Object  string      `json:"object"`
	Data    []batchJSON `json:"data"`
	FirstID string      `json:"first_id,omitempty"`
	LastID  string      `json:"last_id,omitempty"`
	HasMore bool        `json:"has_more"`
}

func (h *handler) listBatches(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error {
	limit := defaultPageSize
	if text := r.URL.Query().Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxPageSize {
			return apierror.Invalid("limit", "is %q, want 1 to %d", text, maxPageSize)
		}
	}
	found, err := h.Queries.Jobs(r.Context(), tenant.Name, r.URL.Query().Get("after"), limit+1)
	if err != nil {
		return err
	}
	list := batchList{Object: "list", Data: []batchJSON{}, HasMore: len(found) > limit}
	for i := range found[:min(limit, len(found))] {
		list.Data = append(list.Data, newBatchJSON(&found[i]))
	}
	if len(list.Data) > 0 {
		list.FirstID, list.LastID = list.Data[0].ID, list.Data[len(list.Data)-1].ID
	}
	return writeJSON(w, list)
}

// batchJSON is OpenAI's batch object.
type batchJSON struct {
	ID               string          `json:"id"`
	Object           string          `json:"object"`
	Endpoint         string          `json:"endpoint"`
	Model            string          `json:"model"`
	Errors           *struct{}       `json:"errors"`
	InputFileID      string          `json:"input_file_id"`
	CompletionWindow string          `json:"completion_window"`
	Status           string          `json:"status"`
	OutputFileID     *string         `json:"output_file_id"`
	ErrorFileID      *string         `json:"error_file_id"`
	CreatedAt        int64           `json:"created_at"`
	InProgressAt     *int64          `json:"in_progress_at"`
	ExpiresAt        int64           `json:"expires_at"`
	CompletedAt      *int64          `json:"completed_at"`
	ExpiredAt        *int64          `json:"expired_at"`
	CancelledAt      *int64          `json:"cancelled_at"`
	RequestCounts    requestCounts   `json:"request_counts"`
	Metadata         json.RawMessage `json:"metadata"`
}

type requestCounts struct {
	Total     uint32 `json:"total"`
	Completed uint32 `json:"completed"`
	Failed    uint32 `json:"failed"`
}

var statusNames = map[machine.State]string{
	machine.StateInProgress: "in_progress",
	machine.StateCompleted:  "completed",
	machine.StateCancelled:  "cancelled",
	machine.StateExpired:    "expired",
}

func newBatchJSON(job *query.Job) batchJSON {
	object := batchJSON{
		ID: job.JobID, Object: "batch", Endpoint: job.Endpoint, Model: job.Model, InputFileID: job.FileID,
		CompletionWindow: job.Window, Status: statusNames[job.State], CreatedAt: job.Created.Unix(),
		InProgressAt: seconds(job.Accepted), ExpiresAt: job.Deadline.Unix(),
		RequestCounts: requestCounts{job.Items, job.Succeeded, job.Failed + job.Unknown},
		Metadata:      json.RawMessage("null"),
	}
	if len(job.Metadata) > 0 {
		object.Metadata = job.Metadata
	}
	switch job.State {
	case machine.StateCompleted:
		object.CompletedAt = seconds(job.Ended)
	case machine.StateCancelled:
		object.CancelledAt = seconds(job.Ended)
	case machine.StateExpired:
		object.ExpiredAt = seconds(job.Ended)
	}
	if job.Succeeded > 0 {
		id := jobs.OutputFileID(job.JobID)
		object.OutputFileID = &id
	}
	if job.Counters.Failed+job.Unknown > 0 || job.State.Final() && job.Remaining() > 0 {
		id := jobs.ErrorFileID(job.JobID)
		object.ErrorFileID = &id
	}
	return object
}

func seconds(at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	unix := at.Unix()
	return &unix
}
