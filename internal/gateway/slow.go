package gateway

import (
	"net/http"
	"time"
)

const (
	// callerWriteTimeout is how long a caller's connection may take in nothing of
	// what is sent to it.
	//
	// What goes wrong without: a caller's connection goes silent for good.
	// Writes to it fill the kernel's buffer and then block for as long as
	// the kernel keeps sending again, a quarter of an hour, and hold the
	// request's memory and slot.
	callerWriteTimeout = 10 * time.Second
	// callerReadTimeout is how long a caller may take to send a request's body.
	//
	// What goes wrong without: a caller sends its header and then nothing,
	// or a byte a minute. Each such request holds a goroutine, a buffer and
	// a place among its connection's streams for as long as the caller
	// likes.
	callerReadTimeout = 10 * time.Second
)

// callerTimeouts bound how slow a caller may be.
type callerTimeouts struct{ read, write time.Duration }

// withCallerTimeouts returns a handler whose requests end when the caller is slower
// than the limits in sending its request or in taking in the answer.
func withCallerTimeouts(next http.Handler, limits callerTimeouts) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// A request without a body is read to its end already, and a
		// deadline would end it: the server goes on to read the connection
		// in order to notice its end.
		if r.Body != http.NoBody {
			_ = control.SetReadDeadline(time.Now().Add(limits.read))
		}
		writer := &deadlineWriter{ResponseWriter: w, control: control, timeout: limits.write}
		next.ServeHTTP(writer, r)
		// What is still buffered is written now.
		writer.extendDeadline()
	})
}

// deadlineWriter gives each write its own deadline.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout   time.Duration
}

// Write implements io.Writer.
func (l *deadlineWriter) Write(data []byte) (int, error) {
	l.extendDeadline()
	return l.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (l *deadlineWriter) Flush() {
	l.extendDeadline()
	_ = l.control.Flush()
}

// Unwrap lets http.ResponseController reach the connection.
func (l *deadlineWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }

// extendDeadline sets the deadline anew. A connection without deadlines (in tests) has
// none to set.
func (l *deadlineWriter) extendDeadline() { _ = l.control.SetWriteDeadline(time.Now().Add(l.timeout)) }
