package gateway

import (
	"net/http"
	"time"
)

const (
	// writeLimit is how long a caller's connection may take in nothing of
	// what is sent to it.
	//
	// What goes wrong without: a caller's connection goes silent for good.
	// Writes to it fill the kernel's buffer and then block for as long as
	// the kernel keeps sending again, a quarter of an hour, and hold the
	// request's memory and slot.
	writeLimit = 10 * time.Second
	// readLimit is how long a caller may take to send a request's body.
	//
	// What goes wrong without: a caller sends its header and then nothing,
	// or a byte a minute. Each such request holds a goroutine, a buffer and
	// a place among its connection's streams for as long as the caller
	// likes.
	readLimit = 10 * time.Second
)

// callerLimits bound how slow a caller may be.
type callerLimits struct{ read, write time.Duration }

// limitCallers returns a handler whose requests end when the caller is slower
// than the limits in sending its request or in taking in the answer.
func limitCallers(next http.Handler, limits callerLimits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// A request without a body is read to its end already, and a
		// deadline would end it: the server goes on to read the connection
		// in order to notice its end.
		if r.Body != http.NoBody {
			_ = control.SetReadDeadline(time.Now().Add(limits.read))
		}
		writer := &limitedWriter{ResponseWriter: w, control: control, limit: limits.write}
		next.ServeHTTP(writer, r)
		// What is still buffered is written now.
		writer.extend()
	})
}

// limitedWriter gives each write its own deadline.
type limitedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
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
func (l *limitedWriter) extend() { _ = l.control.SetWriteDeadline(time.Now().Add(l.limit)) }
