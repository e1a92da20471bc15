package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"

	client "chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// codeFenced marks an order whose fencing token is below the highest accepted one.
const codeFenced = "fenced"

// orderResponse reports the highest fencing token accepted.
type orderResponse struct {
	Token uint64       `json:"token"`
	Error *errorDetail `json:"error,omitempty"`
}

// handleOrder accepts a fenced order. Loading continues after the response;
// /v1/models and /metrics show when it is done.
func (s *Server) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var ordered client.Order
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, s.config.MaxBody)).Decode(&ordered); err != nil {
		writeError(writer, http.StatusBadRequest, errorDetail{err.Error(), "invalid_request_error", "invalid_order"})
		return
	}
	if !knownVerb(ordered.Verb) || ordered.Target == "" {
		writeError(writer, http.StatusBadRequest, errorDetail{"unknown verb or empty target", "invalid_request_error", "invalid_order"})
		return
	}
	highest, accepted := s.acceptOrder(ordered)
	if !accepted {
		detail := errorDetail{"the order's token is lower than one seen before", "conflict", codeFenced}
		writeJSON(writer, http.StatusConflict, orderResponse{Token: highest, Error: &detail})
		return
	}
	writeJSON(writer, http.StatusAccepted, orderResponse{Token: highest})
}

func knownVerb(verb client.OrderVerb) bool {
	switch verb {
	case client.OrderLoadModel, client.OrderUnloadModel, client.OrderLoadAdapter, client.OrderUnloadAdapter, client.OrderSetRole:
		return true
	}
	return false
}

// acceptOrder checks the fencing token and starts the order. A later order for
// the same target supersedes a load that is still running.
func (s *Server) acceptOrder(ordered client.Order) (uint64, bool) {
	entry := truth.Entry{Kind: truth.KindOrder, Name: string(ordered.Verb) + " " + ordered.Target, Token: ordered.Token}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ordered.Token < s.token {
		entry.Kind = truth.KindOrderRefused
		s.log.Record(entry)
		return s.token, false
	}
	s.log.Record(entry)
	s.token = ordered.Token
	s.serial++
	serial := s.serial
	s.orders[ordered.Target] = serial
	switch ordered.Verb {
	case client.OrderSetRole:
		s.role = ordered.Target
	case client.OrderUnloadModel:
		delete(s.models, ordered.Target)
	case client.OrderUnloadAdapter:
		delete(s.adapters, ordered.Target)
	default:
		go s.load(ordered, serial)
	}
	return s.token, true
}

// load fetches the weights and lists the target as loaded.
func (s *Server) load(ordered client.Order, serial uint64) {
	if err := s.fetchWeights(context.Background(), ordered); err != nil {
		EventLoadFailed.Error(err, "engine", s.config.Name, "target", ordered.Target)
		return
	}
	time.Sleep(s.config.LoadTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.orders[ordered.Target] != serial {
		return
	}
	if ordered.Verb == client.OrderLoadModel {
		s.models[ordered.Target] = ordered.Version
		return
	}
	s.adapters[ordered.Target] = ordered.Version
}

// fetchWeights reads the target's weights from the platform, if one is configured.
func (s *Server) fetchWeights(ctx context.Context, ordered client.Order) error {
	if s.config.Platform == "" {
		return nil
	}
	version := ordered.Version
	if version == "" {
		version = "latest"
	}
	address := "http://" + s.config.Platform + "/weights/" + url.PathEscape(ordered.Target) + "/" + url.PathEscape(version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return trace.Wrap(err, "weights of %s", ordered.Target)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err, "weights of %s", ordered.Target)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("weights of %s: platform returned %s", ordered.Target, response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return trace.Wrap(err, "weights of %s", ordered.Target)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Version string `json:"version,omitempty"`
}

// listModels sends the models and adapters loaded now, without ReportLag.
func (s *Server) listModels(writer http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	s.mutex.Lock()
	for _, loaded := range []map[string]string{s.models, s.adapters} {
		for name, version := range loaded {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: s.config.Name, Version: version})
		}
	}
	s.mutex.Unlock()
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(writer, http.StatusOK, list)
}

// suspend suspends all running attempts of a request.
func (s *Server) suspend(writer http.ResponseWriter, request *http.Request) {
	id := requestIDOf(request.PathValue("id"))
	s.mutex.Lock()
	changed := false
	for _, running := range slices.Clone(s.requests[id]) {
		changed = s.suspendStream(running) || changed
	}
	s.mutex.Unlock()
	respondChanged(writer, changed)
}

// cancelRequest cancels all attempts of a request and drops its suspended state.
func (s *Server) cancelRequest(writer http.ResponseWriter, request *http.Request) {
	id := requestIDOf(request.PathValue("id"))
	s.mutex.Lock()
	running, suspended := slices.Clone(s.requests[id]), s.suspended[id]
	for _, cancelled := range running {
		_ = s.scheduler.Cancel(cancelled.id)
		s.remove(cancelled, finish{reason: reasonCancelled, cause: truth.CauseCancelled, promptTokens: cancelled.promptTokens})
	}
	if suspended != nil {
		_ = s.scheduler.Cancel(suspended.id)
		s.dropSuspended(id)
	}
	s.mutex.Unlock()
	respondChanged(writer, len(running) > 0 || suspended != nil)
}

// respondChanged responds 204, or 404 if nothing changed.
func respondChanged(writer http.ResponseWriter, changed bool) {
	if !changed {
		writeError(writer, http.StatusNotFound, errorDetail{"no such request is running", "not_found", "not_running"})
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
