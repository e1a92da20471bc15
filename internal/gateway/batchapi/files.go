package batchapi

import (
	"context"
	"errors"
	"io"
	"mime"
	"mime/multipart"
	"net/http"
	"os"
	"time"

	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/settings"
)

const (
	purposeBatch       = "batch"
	purposeBatchOutput = "batch_output"
)

const (
	// multipartOverhead is the allowance for the form around the file, in bytes.
	multipartOverhead = 64 << 10
	// maxFormValue is the maximum size of a form value other than the file, in bytes.
	maxFormValue = 1 << 10
	// bodyIdleTimeout is the maximum time between two reads of an upload.
	bodyIdleTimeout = 20 * time.Second
)

func (h *handler) createFile(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error {
	if kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")); kind != "multipart/form-data" {
		return &apierror.Error{
			Status: http.StatusUnsupportedMediaType, Code: apierror.CodeUnsupportedMedia,
			Type: apierror.TypeInvalidRequest, Message: "an upload must be multipart/form-data",
		}
	}
	r.Body = http.MaxBytesReader(w, &idleTimeoutReader{
		ReadCloser: r.Body, ctx: r.Context(), controller: http.NewResponseController(w),
	}, h.Limits.FileBytes+multipartOverhead)
	parts, err := r.MultipartReader()
	if err != nil {
		return apierror.Invalid("body", "not a multipart body: %v", err)
	}
	form := &uploadForm{handler: h, tenant: tenant}
	if err := form.read(r.Context(), parts); err != nil {
		form.discard(r.Context())
		return uploadError(r.Context(), err)
	}
	record, err := h.Queries.File(r.Context(), tenant.Name, form.fileID)
	if err != nil {
		return err
	}
	return writeJSON(w, newFileJSON(record))
}

// uploadError returns the error for a body that was not read to its end.
func uploadError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), apierror.ErrStopping) {
		return apierror.Stopping()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return apierror.BodyTimeout(bodyIdleTimeout)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return apierror.Invalid("body", "the upload ended early")
	}
	return err
}

// idleTimeoutReader extends the read deadline at each read, so that only an idle
// upload times out.
type idleTimeoutReader struct {
	io.ReadCloser
	ctx        context.Context // of the request
	controller *http.ResponseController
}

// Read implements io.Reader.
func (p *idleTimeoutReader) Read(into []byte) (int, error) {
	// If deadlines are not supported, the timeouts of the server apply.
	_ = p.controller.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
	if err := p.ctx.Err(); err != nil { // its end has set the deadline before
		return 0, err
	}
	return p.ReadCloser.Read(into)
}

// uploadForm reads a multipart upload with its parts in any order.
type uploadForm struct {
	handler *handler
	tenant  *settings.Tenant
	purpose string
	fileID  string
}

func (f *uploadForm) read(ctx context.Context, parts *multipart.Reader) error {
	for {
		part, err := parts.NextPart()
		if errors.Is(err, io.EOF) {
			return f.check()
		}
		if err != nil {
			return err
		}
		if err := f.readPart(ctx, part); err != nil {
			return err
		}
	}
}

func (f *uploadForm) check() error {
	switch {
	case f.fileID == "":
		return apierror.Invalid("file", "is missing")
	case f.purpose != purposeBatch:
		return apierror.Invalid("purpose", "is %q, want %q", f.purpose, purposeBatch)
	default:
		return nil
	}
}

func (f *uploadForm) readPart(ctx context.Context, part *multipart.Part) (err error) {
	switch part.FormName() {
	case "purpose":
		f.purpose, err = formValue(part)
		return err
	case "file":
		if f.fileID != "" {
			return apierror.Invalid("file", "is given twice")
		}
		return f.store(ctx, part)
	default:
		_, err := formValue(part)
		return err
	}
}

func formValue(part *multipart.Part) (string, error) {
	value, err := io.ReadAll(io.LimitReader(part, maxFormValue+1))
	if err == nil && len(value) > maxFormValue {
		return "", apierror.Invalid(part.FormName(), "is longer than %d bytes", maxFormValue)
	}
	return string(value), err
}

func (f *uploadForm) store(ctx context.Context, part *multipart.Part) error {
	limits := f.handler.Limits
	if f.tenant.MaxJobItems > 0 {
		limits.Items = f.tenant.MaxJobItems
	}
	fileID, _, err := f.handler.Files.Store(ctx, command.Upload{
		Tenant: f.tenant.Name, Name: part.FileName(), Purpose: purposeBatch, Retention: retention(f.tenant),
		Limits:     limits,
		CheckModel: func(model string) error { return f.handler.checkModel(f.tenant, model) },
	}, part)
	f.fileID = fileID
	return err
}

// discardTimeout limits the deletion of a file whose form was rejected.
const discardTimeout = 5 * time.Second

func (f *uploadForm) discard(ctx context.Context) {
	if f.fileID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	// If this fails, the file is deleted when its retention ends.
	_ = f.handler.Files.Delete(ctx, f.tenant.Name, f.fileID)
}

// fileShape is OpenAI's file object.
type fileJSON struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     uint64 `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at,omitempty"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileJSON(record machine.FileRecord) fileJSON {
	return fileJSON{
		ID: record.FileID, Object: "file", Bytes: record.Bytes, CreatedAt: record.Created.Unix(),
		ExpiresAt: record.Created.Add(record.Retention).Unix(), Filename: record.Name, Purpose: record.Purpose,
		Status: "processed",
	}
}

func (h *handler) getFile(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error {
	fileID := r.PathValue("id")
	if jobID, _, ok := jobs.ResultFile(fileID); ok {
		return h.getResultFile(w, r, tenant, fileID, jobID)
	}
	record, err := h.Queries.File(r.Context(), tenant.Name, fileID)
	if err != nil {
		return err
	}
	return writeJSON(w, newFileJSON(record))
}

// getResultFile omits the size, because result files are generated when they are
// read.
func (h *handler) getResultFile(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant, fileID, jobID string) error {
	job, err := h.Queries.Job(r.Context(), tenant.Name, jobID)
	if err != nil {
		return err
	}
	return writeJSON(w, fileJSON{
		ID: fileID, Object: "file", CreatedAt: job.Accepted.Unix(), Filename: fileID + ".jsonl",
		Purpose: purposeBatchOutput, Status: "processed",
	})
}

func (h *handler) deleteFile(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error {
	fileID := r.PathValue("id")
	if err := h.Files.Delete(r.Context(), tenant.Name, fileID); err != nil {
		return err
	}
	return writeJSON(w, struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Deleted bool   `json:"deleted"`
	}{fileID, "file", true})
}

func (h *handler) getContent(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error {
	fileID := r.PathValue("id")
	if jobID, errorFile, ok := jobs.ResultFile(fileID); ok {
		return h.writeResults(w, r, tenant, jobID, errorFile)
	}
	record, err := h.Queries.File(r.Context(), tenant.Name, fileID)
	if err != nil {
		return err
	}
	for chunk := range record.Chunks {
		lines, err := h.Queries.Chunk(r.Context(), fileID, chunk)
		if err != nil && chunk == 0 {
			return err
		}
		if err != nil {
			panic(http.ErrAbortHandler) // lets the caller see that the content is incomplete
		}
		w.Header().Set("Content-Type", contentTypeLines)
		if _, err := w.Write(lines); err != nil {
			return nil
		}
	}
	return nil
}
