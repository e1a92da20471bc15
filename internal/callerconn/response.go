package callerconn

import "net/http"

// ResponseWriter announces the end of the connection in a response that begins while the node stops, and
// knows whether the response has begun.
type ResponseWriter struct {
	http.ResponseWriter
	stopping func() bool
	begun    bool
}

// NewResponseWriter returns a writer of one response; stopping reports whether the node stops and may be
// nil.
func NewResponseWriter(w http.ResponseWriter, stopping func() bool) *ResponseWriter {
	return &ResponseWriter{ResponseWriter: w, stopping: stopping}
}

// Begun reports whether the head was written.
func (w *ResponseWriter) Begun() bool { return w.begun }

// WriteHeader implements http.ResponseWriter.
func (w *ResponseWriter) WriteHeader(status int) {
	if !w.begun && w.stopping != nil && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *ResponseWriter) Write(data []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *ResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
