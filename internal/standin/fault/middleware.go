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

// RequestIDHeader names the request towards a stand-in.
const RequestIDHeader = "X-Request-Id"

// TargetOf describes an HTTP request to the injector.
func TargetOf(request *http.Request) Target {
	return Target{
		Method:  request.Method,
		Path:    request.URL.Path,
		Request: request.Header.Get(RequestIDHeader),
	}
}

// Middleware carries out the faults that concern any request.
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
			fail(writer, failing)
			return
		}
		if silent, found := i.Take(time.Now(), Silent, target); found {
			if silent.Effect {
				next.ServeHTTP(newDiscard(), request.WithContext(context.WithoutCancel(ctx)))
			}
			stay(ctx, time.Duration(silent.Duration))
			panic(http.ErrAbortHandler)
		}
		if lost, found := i.Take(time.Now(), LostAnswer, target); found {
			loseAnswer(next, writer, request, lost.AfterTokens)
		}
		next.ServeHTTP(&pausingWriter{ResponseWriter: writer, injector: i, ctx: ctx}, request)
	})
}

// loseAnswer handles the request, lets the given number of writes through and
// cuts the connection. The effect doesn't depend on the client: it is complete
// before the cut, or, behind the writes let through, goes on after it.
func loseAnswer(next http.Handler, writer http.ResponseWriter, request *http.Request, writes int) {
	cut := &cutWriter{header: http.Header{}, inner: writer, left: writes, full: make(chan struct{})}
	detached := request.WithContext(context.WithoutCancel(request.Context()))
	done := make(chan struct{})
	go func() {
		defer close(done)
		next.ServeHTTP(cut, detached)
	}()
	if writes == 0 {
		<-done
	}
	select {
	case <-done:
	case <-cut.full:
	}
	cut.close()
	panic(http.ErrAbortHandler)
}

func fail(writer http.ResponseWriter, failing Fault) {
	status := failing.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write([]byte(`{"error":{"message":"injected failure","type":"server_error","code":"injected"}}`))
}

// sleep waits and tells whether ctx still stands.
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

// stay keeps the connection until the client leaves, or for the duration.
func stay(ctx context.Context, duration time.Duration) {
	if duration > 0 {
		sleep(ctx, duration)
		return
	}
	<-ctx.Done()
}

// pausingWriter holds writes back during a pause.
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

// Unwrap lets http.ResponseController reach the connection.
func (w *pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// cutWriter lets a number of writes through and drops the rest.
type cutWriter struct {
	header http.Header

	// mutex guards the fields below; no other lock is taken under it.
	mutex sync.Mutex
	inner http.ResponseWriter // nil once closed
	left  int
	full  chan struct{} // closed when the last write was let through
}

// Header implements http.ResponseWriter.
func (w *cutWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter; the status goes with the first
// write.
func (w *cutWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (w *cutWriter) Write(data []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.inner == nil || w.left <= 0 {
		return len(data), nil
	}
	maps.Copy(w.inner.Header(), w.header)
	w.left--
	written, err := w.inner.Write(data)
	if w.left == 0 {
		_ = http.NewResponseController(w.inner).Flush()
		close(w.full)
	}
	return written, err
}

// Flush implements http.Flusher.
func (w *cutWriter) Flush() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.inner != nil && w.left > 0 {
		_ = http.NewResponseController(w.inner).Flush()
	}
}

func (w *cutWriter) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inner = nil
}

// discard is a response that nobody receives.
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

// Control serves /control/faults: GET lists the faults, POST adds one or an
// array of them, DELETE clears those of ?kind= or all.
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

// decodeFaults reads one fault or an array of them; none is taken unless all
// make sense.
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
