package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/settings/agent"
	"chutelock.dev/chutelock/internal/settings/command"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// maxBodyBytes limits a request body; it leaves room for 50,000 tenants.
const maxBodyBytes = 64 << 20

// Settings is the part of the settings agent that the handlers use.
type Settings interface {
	Nodes(path string, recursive bool) ([]*tree.Node, error)
	Status(ctx context.Context) (agent.Status, error)
	Zones(ctx context.Context) ([]dissemination.ZoneStatus, error)
	Tree() *tree.Live
}

// Writer applies changes to the settings store.
type Writer interface {
	Apply(ctx context.Context, change command.Change) (*command.Result, error)
	RecoverStore(ctx context.Context, id, by string) (*command.Recovery, error)
}

type handler struct {
	settings Settings
	writer   Writer
}

// Register registers the handlers on the mux of the operator port.
func Register(mux *http.ServeMux, settings Settings, writer Writer) {
	h := &handler{settings: settings, writer: writer}
	mux.HandleFunc("POST "+PathApply, h.apply)
	mux.HandleFunc("POST "+PathRecover, h.recover)
	mux.HandleFunc("GET "+PathNodes, h.nodes)
	mux.HandleFunc("GET "+PathExplain, h.explain)
	mux.HandleFunc("GET "+PathStatus, h.status)
}

func (h *handler) apply(writer http.ResponseWriter, request *http.Request) {
	var body ApplyRequest
	if !decodeBody(writer, request, &body) {
		return
	}
	change := body.Change
	for _, node := range body.Nodes {
		decoded, err := tree.Decode(node.Path, node.Spec)
		if err != nil {
			writeError(writer, &command.BadRequestError{Reason: err.Error()}, nil)
			return
		}
		decoded.Revision = node.Revision
		change.Nodes = append(change.Nodes, decoded)
	}
	result, err := h.writer.Apply(request.Context(), change)
	if err != nil {
		writeError(writer, err, result)
		return
	}
	writeJSON(writer, http.StatusOK, result)
}

func (h *handler) recover(writer http.ResponseWriter, request *http.Request) {
	var body RecoverRequest
	if !decodeBody(writer, request, &body) {
		return
	}
	recovery, err := h.writer.RecoverStore(request.Context(), body.ID, body.By)
	if err != nil {
		writeError(writer, err, nil)
		return
	}
	writeJSON(writer, http.StatusOK, recovery)
}

func (h *handler) nodes(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	nodes, err := h.settings.Nodes(query.Get("path"), query.Get("recursive") != "")
	if err != nil {
		writeError(writer, err, nil)
		return
	}
	list := NodesAnswer{Nodes: []NodeBody{}}
	for _, node := range nodes {
		spec, err := tree.Encode(node)
		if err != nil {
			writeError(writer, err, nil)
			return
		}
		list.Nodes = append(list.Nodes, NodeBody{Path: node.Path, Revision: node.Revision, Spec: spec})
	}
	writeJSON(writer, http.StatusOK, list)
}

func (h *handler) explain(writer http.ResponseWriter, request *http.Request) {
	explanation, err := h.settings.Tree().Explain(request.URL.Query().Get("path"))
	if err != nil {
		writeError(writer, err, nil)
		return
	}
	writeJSON(writer, http.StatusOK, explanation)
}

func (h *handler) status(writer http.ResponseWriter, request *http.Request) {
	status := StatusAnswer{At: time.Now(), Problems: h.settings.Tree().Problems()}
	var err error
	if status.Node, err = h.settings.Status(request.Context()); err != nil {
		writeError(writer, err, nil)
		return
	}
	if status.Zones, err = h.settings.Zones(request.Context()); err != nil {
		status.ZonesError = err.Error()
	}
	writeJSON(writer, http.StatusOK, status)
}

// decodeBody decodes the JSON body, or writes an error response and returns
// false.
func decodeBody(writer http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeError(writer, &command.BadRequestError{Reason: "malformed request: " + err.Error()}, nil)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// writeError maps an error to its code and HTTP status and writes the response.
func writeError(writer http.ResponseWriter, err error, result *command.Result) {
	body := ErrorBody{Message: err.Error(), Result: result}
	status := http.StatusBadGateway
	var invalid *tree.InvalidError
	var unknown *command.UnknownOutcomeError
	var behind *command.StoreBehindError
	var notReady *command.NotReadyError
	var badRequest *command.BadRequestError
	var notFound *tree.NotFoundError
	switch {
	case errors.As(err, &invalid):
		status, body.Code, body.Problems = http.StatusUnprocessableEntity, CodeInvalid, invalid.Problems
	case errors.As(err, &body.Conflict):
		status, body.Code = http.StatusConflict, CodeConflict
	case errors.As(err, &unknown):
		status, body.Code = http.StatusGatewayTimeout, CodeOutcomeUnknown
	case errors.As(err, &behind):
		status, body.Code = http.StatusConflict, CodeStoreBehind
	case errors.As(err, &notReady):
		status, body.Code = http.StatusServiceUnavailable, CodeNotReady
		writer.Header().Set("Retry-After", "1")
	case errors.As(err, &badRequest):
		status, body.Code = http.StatusBadRequest, CodeBadRequest
	case errors.As(err, &notFound):
		status, body.Code = http.StatusNotFound, CodeNotFound
	default:
		body.Code = CodeStoreFailed
	}
	writeJSON(writer, status, ErrorAnswer{Error: body})
}
