package gateway

import (
	"net/http"
	"time"
)

const (
	// callerWriteTimeout is the longest time that one write to a caller may take.
	//
	// Without it, writes to a connection that went silent for good would fill the
	// kernel's buffer and then block while the kernel retransmits, for a quarter of an
	// hour. All that time, the request would hold its memory and its slot.
	callerWriteTimeout = 10 * time.Second
	// callerReadTimeout is how long a caller may take to send a request's body.
	//
	// Without it, a caller that sends its header and then nothing, or a byte a minute,
	// would hold a goroutine, a buffer and one of its connection's streams for as long
	// as it likes.
	callerReadTimeout = 10 * time.Second
)

// callerTimeouts are the timeouts for reading the body of a request and for each write
// of the response.
type callerTimeouts struct{ read, write time.Duration }

// withCallerTimeouts returns a handler that ends the requests of callers that are too
// slow to send the body or to read the response.
func withCallerTimeouts(next http.Handler, timeouts callerTimeouts) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// A request without a body gets no read deadline. The server goes on reading
		// the request's connection to notice when the caller closes it, and the
		// deadline would end the request.
		if r.Body != http.NoBody {
			_ = control.SetReadDeadline(time.Now().Add(timeouts.read))
		}
		writer := &deadlineWriter{ResponseWriter: w, control: control, timeout: timeouts.write}
		next.ServeHTTP(writer, r)
		// The server writes what is still buffered after this handler returns.
		writer.extendDeadline()
	})
}

// deadlineWriter gives each write its own deadline.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (w *deadlineWriter) Flush() {
	w.extendDeadline()
	_ = w.control.Flush()
}

// Unwrap lets http.ResponseController reach the connection.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline sets a new write deadline. It ignores the error of a connection that
// has no deadlines, as in some tests.
func (w *deadlineWriter) extendDeadline() { _ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) }
