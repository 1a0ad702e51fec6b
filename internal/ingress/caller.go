package ingress

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
)

// caller delivers the answer of one request. It implements forward.Caller.
type caller struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// timeLimit is how long the call may take from when it was received.
	timeLimit time.Duration
	// abort: the connection must be closed, so that the caller sees that the answer is
	// incomplete.
	abort bool
	// headOnly: the answer has no body, but may state the length of one, as the answer to HEAD.
	headOnly bool
	// endedByClose is the connection if its end marks the end of an answer without length, as
	// with HTTP/1.0; nil otherwise.
	endedByClose *membudget.Conn
}

// pieceBytes is how much of a long answer is written at a time.
const pieceBytes = 64 << 10

// Answer delivers a complete answer.
func (c *caller) Answer(status int, header http.Header, body []byte, progress func()) {
	c.copyHeader(header)
	length := strconv.Itoa(len(body))
	if c.headOnly {
		length = header.Get("Content-Length")
	}
	if length != "" {
		c.w.Header().Set("Content-Length", length)
	}
	c.setWriteDeadline()
	c.w.WriteHeader(status)
	for piece := range slices.Chunk(body, pieceBytes) {
		if _, err := c.w.Write(piece); err != nil {
			c.abort = true
			return
		}
		progress()
	}
}

// Interrupt makes a write in progress, and all later ones, fail.
func (c *caller) Interrupt() {
	_ = c.control.SetWriteDeadline(longPast) // all connections of net/http support deadlines
}

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// Begin starts an answer that is delivered in parts.
func (c *caller) Begin(status int, header http.Header) {
	if c.endedByClose != nil {
		// From here on, whatever ends the connection, even the end of this process, resets it.
		resetOnClose(c.endedByClose, true)
	}
	c.copyHeader(header)
	c.setWriteDeadline()
	c.w.WriteHeader(status)
}

// Part delivers the next part without buffering it.
func (c *caller) Part(data []byte) error {
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	return c.control.Flush()
}

// End completes an answer that was delivered in parts; net/http writes the last chunk or closes
// the connection.
func (c *caller) End() {
	if c.endedByClose != nil {
		resetOnClose(c.endedByClose, false)
	}
}

// Break makes the server close the connection, so that the caller doesn't take the answer
// for complete.
func (c *caller) Break() { c.abort = true }

// Refuse tells the caller that the request did not run, and after how long to retry.
func (c *caller) Refuse(reason string, after time.Duration) {
	writeError(c.w, http.StatusServiceUnavailable, reason, after)
}

// Fail tells the caller that the request failed and may have run.
func (c *caller) Fail(reason string) { writeError(c.w, http.StatusBadGateway, reason, 0) }

// TimeOut tells the caller that the request's deadline passed.
func (c *caller) TimeOut() {
	writeError(c.w, http.StatusGatewayTimeout, "the request's time is over", 0)
}

// setWriteDeadline bounds how long a caller that doesn't read can block the writing of its
// answer.
func (c *caller) setWriteDeadline() {
	// The error is ignored: all connections of net/http support deadlines.
	_ = c.control.SetWriteDeadline(time.Now().Add(c.timeLimit + writeGrace))
}

// copyHeader copies the upstream's header to the caller's answer, without the headers that
// concern the upstream's connection.
func (c *caller) copyHeader(header http.Header) {
	own := c.w.Header()
	for name, values := range httpconn.RemoveHopByHop(header.Clone()) {
		own[name] = values
	}
	if header.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing a type from the body.
		own["Content-Type"] = nil
	}
}

// resetOnClose sets whether the close of a connection is a reset. To a caller of HTTP/1.0 an
// orderly close completes an answer that has no length.
func resetOnClose(c *membudget.Conn, reset bool) {
	if c.TCP() == nil {
		return
	}
	const atOnce, orderly = 0, -1
	seconds := orderly
	if reset {
		seconds = atOnce
	}
	_ = c.TCP().SetLinger(seconds) // fails only if the connection is closed already
}
