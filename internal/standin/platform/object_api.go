package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/platform/objects"
)

// objectsRoot is the path of the object API, apiVersion its version in objects.
const (
	objectsRoot = "/apis/chutelock.dev/v1"
	apiVersion  = "chutelock.dev/v1"
)

// objectBody is the JSON encoding of an object.
type objectBody struct {
	APIVersion string          `json:"apiVersion,omitempty"`
	Kind       string          `json:"kind,omitempty"`
	Metadata   metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type listBody struct {
	APIVersion string       `json:"apiVersion"`
	Kind       string       `json:"kind"`
	Metadata   metadata     `json:"metadata"`
	Items      []objectBody `json:"items"`
}

// eventBody is one line of a watch. Object is an objectBody or, in an event of
// type ERROR, a statusBody.
type eventBody struct {
	Type   string `json:"type"`
	Object any    `json:"object"`
}

const (
	eventBookmark = "BOOKMARK"
	eventError    = "ERROR"
)

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }

func objectBodyOf(object objects.Object) objectBody {
	return objectBody{
		APIVersion: apiVersion,
		Kind:       object.Kind,
		Metadata:   metadata{Name: object.Name, ResourceVersion: formatRevision(object.Revision)},
		Spec:       object.Spec,
	}
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func keyOf(request *http.Request) objects.Key {
	return objects.Key{Kind: request.PathValue("kind"), Name: request.PathValue("name")}
}

func (s *Server) get(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	object, err := s.store.Get(keyOf(request))
	s.mutex.Unlock()
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, objectBodyOf(object))
}

// put creates the object, or replaces it if the body has a resourceVersion.
func (s *Server) put(writer http.ResponseWriter, request *http.Request) {
	var body objectBody
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, s.config.MaxBody)).Decode(&body); err != nil {
		writeStatus(writer, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	expected := parseRevision(body.Metadata.ResourceVersion)
	written, err := s.write(func(store *objects.Store) (objects.Change, error) {
		object, err := store.Put(objects.Object{Key: keyOf(request), Revision: expected, Spec: body.Spec})
		kind := objects.Modified
		if expected == 0 {
			kind = objects.Added
		}
		return objects.Change{Type: kind, Object: object}, err
	})
	switch {
	case err != nil:
		writeFailure(writer, err)
	case expected == 0:
		writeJSON(writer, http.StatusCreated, objectBodyOf(written))
	default:
		writeJSON(writer, http.StatusOK, objectBodyOf(written))
	}
}

func (s *Server) delete(writer http.ResponseWriter, request *http.Request) {
	expected := parseRevision(request.URL.Query().Get("resourceVersion"))
	deleted, err := s.write(func(store *objects.Store) (objects.Change, error) {
		object, err := store.Delete(keyOf(request), expected)
		return objects.Change{Type: objects.Deleted, Object: object}, err
	})
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, objectBodyOf(deleted))
}

func (s *Server) listOrWatch(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Query().Get("watch") {
	case "1", "true":
		s.watch(writer, request)
	default:
		s.list(writer, request)
	}
}

func (s *Server) list(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	listed := s.store.List(request.PathValue("kind"))
	revision := s.store.Revision()
	s.mutex.Unlock()
	body := listBody{
		APIVersion: apiVersion,
		Kind:       "List",
		Metadata:   metadata{ResourceVersion: formatRevision(revision)},
		Items:      make([]objectBody, 0, len(listed)),
	}
	for _, object := range listed {
		body.Items = append(body.Items, objectBodyOf(object))
	}
	writeJSON(writer, http.StatusOK, body)
}

// watcher streams one open watch.
type watcher struct {
	server     *Server
	kind       string
	after      uint64
	bookmarks  bool
	generation int
	encoder    *json.Encoder
	controller *http.ResponseController
}

// watch streams the changes after ?resourceVersion=. Without that parameter it
// first sends the current objects as ADDED.
func (s *Server) watch(writer http.ResponseWriter, request *http.Request) {
	if !s.openWatch() {
		s.refused.Add(1)
		writeStatus(writer, http.StatusTooManyRequests, "TooManyRequests", "the budget of open watches is used up")
		return
	}
	defer s.closeWatch()
	query := request.URL.Query()
	opened := &watcher{
		server:     s,
		kind:       request.PathValue("kind"),
		after:      parseRevision(query.Get("resourceVersion")),
		bookmarks:  query.Get("allowWatchBookmarks") == "true",
		encoder:    json.NewEncoder(writer),
		controller: http.NewResponseController(writer),
	}
	current, err := opened.begin(query.Has("resourceVersion"))
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = opened.controller.Flush()
	for _, object := range current {
		if opened.encoder.Encode(eventBody{string(objects.Added), objectBodyOf(object)}) != nil {
			return
		}
	}
	_ = opened.controller.Flush()
	opened.run(request.Context())
}

func (s *Server) openWatch() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watches >= s.config.WatchLimit {
		return false
	}
	s.watches++
	return true
}

func (s *Server) closeWatch() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches--
}

// begin checks the revision or, without one, returns the current objects.
func (w *watcher) begin(hasRevision bool) ([]objects.Object, error) {
	w.server.mutex.Lock()
	defer w.server.mutex.Unlock()
	w.generation = w.server.generation
	if !hasRevision {
		w.after = w.server.store.Revision()
		return w.server.store.List(w.kind), nil
	}
	_, _, err := w.server.store.Since(w.kind, w.after)
	return nil, err
}

func (w *watcher) run(ctx context.Context) {
	bookmark := time.NewTicker(w.server.config.BookmarkEvery)
	defer bookmark.Stop()
	for {
		if w.server.injector.Wait(ctx, fault.StaleWatch) != nil {
			return
		}
		changed, ok := w.send()
		if !ok {
			return
		}
		select {
		case <-changed:
		case <-bookmark.C:
			if w.bookmarks && w.server.injector.Wait(ctx, fault.StaleWatch) == nil && !w.sendBookmark() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// send writes the pending changes and returns a channel that is closed on the
// next change, and whether the watch is still open.
func (w *watcher) send() (<-chan struct{}, bool) {
	changes, changed, err := w.pending()
	if err != nil {
		_ = w.encoder.Encode(eventBody{eventError, statusOf(err)})
		_ = w.controller.Flush()
		return nil, false
	}
	for _, change := range changes {
		if w.encoder.Encode(eventBody{string(change.Type), objectBodyOf(change.Object)}) != nil {
			return nil, false
		}
	}
	return changed, len(changes) == 0 || w.controller.Flush() == nil
}

func (w *watcher) pending() ([]objects.Change, <-chan struct{}, error) {
	w.server.mutex.Lock()
	defer w.server.mutex.Unlock()
	if w.generation != w.server.generation {
		return nil, nil, objects.ErrCompacted
	}
	changes, revision, err := w.server.store.Since(w.kind, w.after)
	if err == nil {
		w.after = revision
	}
	return changes, w.server.changed, err
}

// sendBookmark writes the revision up to which all changes have been sent.
func (w *watcher) sendBookmark() bool {
	body := objectBody{APIVersion: apiVersion, Kind: w.kind, Metadata: metadata{ResourceVersion: formatRevision(w.after)}}
	if w.encoder.Encode(eventBody{eventBookmark, body}) != nil {
		return false
	}
	return w.controller.Flush() == nil
}
