package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// RequestIDHeader is the header with the request ID that faults select by.
const RequestIDHeader = "X-Request-Id"

// TargetOf returns the target of an HTTP request.
func TargetOf(request *http.Request) Target {
	return Target{
		Method:  request.Method,
		Path:    request.URL.Path,
		Request: request.Header.Get(RequestIDHeader),
	}
}

// Middleware applies the faults that may hit any request.
func (i *Injector) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx := request.Context()
		if i.Wait(ctx, Pause) != nil {
			return
		}
		target := TargetOf(request)
		if slow, found := i.Take(time.Now(), Slow, target); found && !sleep(ctx, time.Duration(slow.Latency)) {
			return
		}
		if failing, found := i.Take(time.Now(), Failing, target); found {
			writeFailure(writer, failing)
			return
		}
		if silent, found := i.Take(time.Now(), Silent, target); found {
			if silent.Effect {
				next.ServeHTTP(newDiscard(), request.WithContext(context.WithoutCancel(ctx)))
			}
			holdConnection(ctx, time.Duration(silent.Duration))
			panic(http.ErrAbortHandler)
		}
		if lost, found := i.Take(time.Now(), LostAnswer, target); found {
			loseResponse(next, writer, request, lost.AfterTokens)
		}
		next.ServeHTTP(&pausingWriter{ResponseWriter: writer, injector: i, ctx: ctx}, request)
	})
}

// loseResponse handles the request, passes the given number of writes on and
// closes the connection. Handling doesn't depend on the client: it is complete
// before the close if writes is 0, and otherwise continues after it.
func loseResponse(next http.Handler, writer http.ResponseWriter, request *http.Request, writes int) {
	truncating := &truncatingWriter{header: http.Header{}, inner: writer, remaining: writes, exhausted: make(chan struct{})}
	detached := request.WithContext(context.WithoutCancel(request.Context()))
	done := make(chan struct{})
	go func() {
		defer close(done)
		next.ServeHTTP(truncating, detached)
	}()
	if writes == 0 {
		<-done
	}
	select {
	case <-done:
	case <-truncating.exhausted:
	}
	truncating.close()
	panic(http.ErrAbortHandler)
}

func writeFailure(writer http.ResponseWriter, failing Fault) {
	status := failing.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write([]byte(`{"error":{"message":"injected failure","type":"server_error","code":"injected"}}`))
}

// sleep waits for the duration and reports whether ctx is still valid.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// holdConnection keeps the connection for the duration or, if that is 0, until the client
// disconnects.
func holdConnection(ctx context.Context, duration time.Duration) {
	if duration > 0 {
		sleep(ctx, duration)
		return
	}
	<-ctx.Done()
}

// pausingWriter blocks writes during a pause.
type pausingWriter struct {
	http.ResponseWriter
	injector *Injector
	ctx      context.Context
}

// Write implements http.ResponseWriter.
func (w *pausingWriter) Write(data []byte) (int, error) {
	if err := w.injector.Wait(w.ctx, Pause); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// truncatingWriter passes a number of writes on and drops the rest.
type truncatingWriter struct {
	header http.Header

	// mutex guards the fields below. No other lock is taken under it.
	mutex     sync.Mutex
	inner     http.ResponseWriter // nil once closed
	remaining int
	exhausted chan struct{} // closed after the last write passed on
}

// Header implements http.ResponseWriter.
func (w *truncatingWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. It drops the status: the first
// write sends 200.
func (w *truncatingWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (w *truncatingWriter) Write(data []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.inner == nil || w.remaining <= 0 {
		return len(data), nil
	}
	maps.Copy(w.inner.Header(), w.header)
	w.remaining--
	written, err := w.inner.Write(data)
	if w.remaining == 0 {
		_ = http.NewResponseController(w.inner).Flush()
		close(w.exhausted)
	}
	return written, err
}

// Flush implements http.Flusher.
func (w *truncatingWriter) Flush() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.inner != nil && w.remaining > 0 {
		_ = http.NewResponseController(w.inner).Flush()
	}
}

func (w *truncatingWriter) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inner = nil
}

// discard is a response writer that drops everything.
type discard struct{ header http.Header }

func newDiscard() *discard { return &discard{header: http.Header{}} }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }

// Flush implements http.Flusher.
func (d *discard) Flush() {}

// Control returns the handler of /control/faults: GET lists the faults, POST
// adds one or an array of them, DELETE clears those of ?kind= or all.
func (i *Injector) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/faults", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(i.List(time.Now()))
	})
	mux.HandleFunc("DELETE /control/faults", func(_ http.ResponseWriter, request *http.Request) {
		i.Clear(Kind(request.URL.Query().Get("kind")))
	})
	mux.HandleFunc("POST /control/faults", func(writer http.ResponseWriter, request *http.Request) {
		added, err := decodeFaults(request.Body)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		for _, one := range added {
			if err := i.Add(time.Now(), one); err != nil {
				http.Error(writer, err.Error(), http.StatusBadRequest)
				return
			}
		}
	})
	return mux
}

// decodeFaults decodes one fault or an array of them, and returns an error if
// any is invalid.
func decodeFaults(body io.Reader) ([]Fault, error) {
	content, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	content = bytes.TrimSpace(content)
	if !bytes.HasPrefix(content, []byte("[")) {
		content = slices.Concat([]byte("["), content, []byte("]"))
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var added []Fault
	if err := decoder.Decode(&added); err != nil {
		return nil, err
	}
	for _, one := range added {
		if err := one.Validate(); err != nil {
			return nil, err
		}
	}
	return added, nil
}
