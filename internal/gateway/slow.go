package gateway

import (
	"net/http"
	"time"
)

// writeLimit is how long a caller's connection may take in nothing of what is
// sent to it.
//
// What goes wrong without: a caller's connection goes silent for good. Writes
// to it fill the kernel's buffer and then block for as long as the kernel keeps
// sending again, a quarter of an hour, and hold the request's memory and slot.
const writeLimit = 10 * time.Second

// limitWrites returns a handler whose answers end when the caller takes in
// nothing for writeLimit.
func limitWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&limitedWriter{ResponseWriter: w, control: http.NewResponseController(w)}, r)
	})
}

// limitedWriter gives each write its own deadline.
type limitedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write implements io.Writer.
func (l *limitedWriter) Write(data []byte) (int, error) {
	l.extend()
	return l.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (l *limitedWriter) Flush() {
	l.extend()
	_ = l.control.Flush()
}

// Unwrap lets http.ResponseController reach the connection.
func (l *limitedWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }

// extend sets the deadline anew. A connection without deadlines (in tests) has
// none to set.
func (l *limitedWriter) extend() { _ = l.control.SetWriteDeadline(time.Now().Add(writeLimit)) }
