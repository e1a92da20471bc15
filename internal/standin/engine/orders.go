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

// codeFenced says that an order's token was lower than one seen before.
const codeFenced = "fenced"

// orderAnswer tells the highest token seen.
type orderAnswer struct {
	Token uint64       `json:"token"`
	Error *errorDetail `json:"error,omitempty"`
}

// order takes a fenced order. Loading and unloading go on after the answer;
// /v1/models and /metrics tell when they are done.
func (s *Server) order(writer http.ResponseWriter, request *http.Request) {
	var ordered client.Order
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, s.config.MaxBody)).Decode(&ordered); err != nil {
		writeError(writer, http.StatusBadRequest, errorDetail{err.Error(), "invalid_request_error", "invalid_order"})
		return
	}
	if !knownVerb(ordered.Verb) || ordered.Target == "" {
		writeError(writer, http.StatusBadRequest, errorDetail{"unknown verb or empty target", "invalid_request_error", "invalid_order"})
		return
	}
	highest, accepted := s.accept(ordered)
	if !accepted {
		detail := errorDetail{"the order's token is lower than one seen before", "conflict", codeFenced}
		writeJSON(writer, http.StatusConflict, orderAnswer{Token: highest, Error: &detail})
		return
	}
	writeJSON(writer, http.StatusAccepted, orderAnswer{Token: highest})
}

func knownVerb(verb client.OrderVerb) bool {
	switch verb {
	case client.OrderLoadModel, client.OrderUnloadModel, client.OrderLoadAdapter, client.OrderUnloadAdapter, client.OrderSetRole:
		return true
	}
	return false
}

// accept checks the token and begins to carry the order out. A later order for
// the same target makes the present one void if it isn't done yet.
func (s *Server) accept(ordered client.Order) (uint64, bool) {
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

// load fetches the weights and makes the target usable.
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

// fetchWeights reads the target's weights from the platform, if there is one.
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
		return trace.BadParameter("weights of %s: platform answered %s", ordered.Target, response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return trace.Wrap(err, "weights of %s", ordered.Target)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Version string `json:"version,omitempty"`
}

// listModels tells the loaded models and adapters as they are, without lag.
func (s *Server) listModels(writer http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	s.mutex.Lock()
	for _, loaded := range []map[string]string{s.models, s.adapters} {
		for name, version := range loaded {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: s.config.Name, Version: version})
		}
	}
	s.mutex.Unlock()
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(writer, http.StatusOK, list)
}

// suspend parks all running attempts of a request.
func (s *Server) suspend(writer http.ResponseWriter, request *http.Request) {
	id := requestOf(request.PathValue("id"))
	s.mutex.Lock()
	changed := false
	for _, running := range slices.Clone(s.requests[id]) {
		changed = s.park(running) || changed
	}
	s.mutex.Unlock()
	answerChanged(writer, changed)
}

// cancelRequest ends all attempts of a request and drops its suspended state.
func (s *Server) cancelRequest(writer http.ResponseWriter, request *http.Request) {
	id := requestOf(request.PathValue("id"))
	s.mutex.Lock()
	running, parked := slices.Clone(s.requests[id]), s.parked[id]
	for _, cancelled := range running {
		_ = s.scheduler.Cancel(cancelled.id)
		s.remove(cancelled, finish{reason: reasonCancelled, cause: truth.CauseCancelled, promptTokens: cancelled.promptTokens})
	}
	if parked != nil {
		_ = s.scheduler.Cancel(parked.id)
		s.unpark(id)
	}
	s.mutex.Unlock()
	answerChanged(writer, len(running) > 0 || parked != nil)
}

// answerChanged answers 404 if there was nothing to change.
func answerChanged(writer http.ResponseWriter, changed bool) {
	if !changed {
		writeError(writer, http.StatusNotFound, errorDetail{"no such request is running", "not_found", "not_running"})
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
