package drainer

import (
	"io"
	"net/http"
)

// Handler returns a handler that serves like h. Once the process stops, its responses tell
// callers to close their connections.
func (d *Drainer) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&responseWriter{ResponseWriter: w, drainer: d}, r)
	})
}

// responseWriter writes a response of a process that may begin to stop while it is written.
type responseWriter struct {
	http.ResponseWriter
	drainer *Drainer
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.setClose()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (n int, err error) {
	w.setClose()
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom, which io.Copy needs to use the buffers of net/http.
func (w *responseWriter) ReadFrom(r io.Reader) (n int64, err error) {
	w.setClose()
	return io.Copy(w.ResponseWriter, r)
}

// Unwrap returns the writer that http.ResponseController uses.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// setClose has no effect once the headers are written.
func (w *responseWriter) setClose() {
	if w.drainer.isStopping() {
		w.Header().Set("Connection", "close")
		w.Header().Del("Keep-Alive")
	}
}
