package batchapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/jobs/input"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/query"
	"chutelock.dev/chutelock/internal/settings"
)

// Files stores and deletes input files.
type Files interface {
	Store(ctx context.Context, upload command.Upload, from io.Reader) (fileID string, summary input.Summary, err error)
	Delete(ctx context.Context, tenant, fileID string) error
}

// Jobs submits and cancels jobs.
type Jobs interface {
	Submit(ctx context.Context, submission command.Submission) (jobID string, err error)
	Cancel(ctx context.Context, tenant, jobID string) error
}

// Queries reads files, jobs and results.
type Queries interface {
	File(ctx context.Context, tenant, fileID string) (machine.FileRecord, error)
	Chunk(ctx context.Context, fileID string, chunk uint32) ([]byte, error)
	Job(ctx context.Context, tenant, jobID string) (query.Job, error)
	JobByKey(ctx context.Context, tenant, idempotencyKey string) (query.Job, error)
	Jobs(ctx context.Context, tenant, after string, limit int) ([]query.Job, error)
	Results(ctx context.Context, tenant, jobID string, errors bool, visit func(machine.ResultRecord) error) error
}

// Authenticator identifies the tenant of a request. Only errors of type
// *apierror.Error are shown to the caller.
type Authenticator interface {
	Authenticate(r *http.Request) (*settings.Tenant, error)
}

// Dependencies are the services that the handler uses.
type Dependencies struct {
	Files         Files
	Jobs          Jobs
	Queries       Queries
	Settings      settings.Source
	Authenticator Authenticator
	// Limits apply to input files; the zero value means input.DefaultLimits.
	Limits input.Limits
}

// DefaultRetention applies to files and results of tenants without a configured
// retention.
const DefaultRetention = 30 * 24 * time.Hour

// maxJSONBody is the maximum size of a JSON body, in bytes.
const maxJSONBody = 64 << 10

type handler struct {
	Dependencies
}

// New returns the handler of /v1/files and /v1/batches.
func New(dependencies Dependencies) http.Handler {
	if dependencies.Limits == (input.Limits{}) {
		dependencies.Limits = input.DefaultLimits
	}
	if dependencies.Authenticator == nil {
		dependencies.Authenticator = keyAuthenticator{dependencies.Settings}
	}
	h := &handler{dependencies}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/files", h.authenticated(h.createFile))
	mux.Handle("GET /v1/files/{id}", h.authenticated(h.getFile))
	mux.Handle("DELETE /v1/files/{id}", h.authenticated(h.deleteFile))
	mux.Handle("GET /v1/files/{id}/content", h.authenticated(h.getContent))
	mux.Handle("POST /v1/batches", h.authenticated(h.createBatch))
	mux.Handle("GET /v1/batches", h.authenticated(h.listBatches))
	mux.Handle("GET /v1/batches/{id}", h.authenticated(h.getBatch))
	mux.Handle("POST /v1/batches/{id}/cancel", h.authenticated(h.cancelBatch))
	mux.HandleFunc("/", h.noRoute)
	return mux
}

// endpoint handles a tenant's request; its error is sent as the response.
type endpoint func(w http.ResponseWriter, r *http.Request, tenant *settings.Tenant) error

func (h *handler) authenticated(serve endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setRequestID(w)
		tenant, err := h.Authenticator.Authenticate(r)
		if err == nil {
			err = serve(w, r, tenant)
		}
		if err != nil {
			apierror.Write(w, toAPIError(err))
		}
	})
}

func setRequestID(w http.ResponseWriter) {
	if w.Header().Get(apierror.HeaderRequestID) == "" {
		w.Header().Set(apierror.HeaderRequestID, uuid.NewString())
	}
}

func (h *handler) noRoute(w http.ResponseWriter, r *http.Request) {
	setRequestID(w)
	apierror.Write(w, apierror.NotFound("there is no %s %s", r.Method, r.URL.Path))
}

func writeJSON(w http.ResponseWriter, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded) // fails only if the caller disconnected
	return nil
}

// retention returns how long a tenant's files and results are kept.
func retention(tenant *settings.Tenant) time.Duration {
	if tenant.Retention > 0 {
		return tenant.Retention
	}
	return DefaultRetention
}
