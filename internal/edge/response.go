package edge

import "net/http"

// responseWriter announces the end of the connection in responses that begin while the node stops.
type responseWriter struct {
	http.ResponseWriter
	stopping func() bool
	begun    bool // the head was written
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.begun && w.stopping != nil && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap serves http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
