package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// caller delivers the answer of one request. It implements forward.Caller.
type caller struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// timeLimit is how long the call may take.
	timeLimit time.Duration
	// broken: the connection must end so that the answer looks cut off.
	abort bool
}

// Answer delivers a whole answer.
func (c *caller) Answer(status int, header http.Header, body []byte) {
	c.copyHeader(header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.setWriteDeadline()
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		c.abort = true
	}
}

// Begin starts an answer that comes in parts.
func (c *caller) Begin(status int, header http.Header) {
	c.copyHeader(header)
	c.setWriteDeadline()
	c.w.WriteHeader(status)
}

// Part delivers the next part at once.
func (c *caller) Part(data []byte) error {
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	return c.control.Flush()
}

// End ends an answer that came in parts.
func (c *caller) End() {}

// Break ends the connection, so that no caller takes the answer for complete.
func (c *caller) Break() { c.abort = true }

// Refuse says that the request did not run, and when to come back.
func (c *caller) Refuse(reason string, after time.Duration) {
	writeError(c.w, http.StatusServiceUnavailable, reason, after)
}

// Fail says that the request may have run.
func (c *caller) Fail(reason string) { writeError(c.w, http.StatusBadGateway, reason, 0) }

// TimeOut says that the request's time is over.
func (c *caller) TimeOut() {
	writeError(c.w, http.StatusGatewayTimeout, "the request's time is over", 0)
}

// setWriteDeadline bounds how long a caller that does not read holds the answer.
func (c *caller) setWriteDeadline() {
	// net/http's connections all take deadlines.
	_ = c.control.SetWriteDeadline(time.Now().Add(c.timeLimit + writeGrace))
}

// copyHeader takes over the upstream's header but for what concerns its
// connection.
func (c *caller) copyHeader(header http.Header) {
	own := c.w.Header()
	for name, values := range removeHopByHop(header.Clone()) {
		own[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Without it net/http would guess one from the body.
		own["Content-Type"] = nil
	}
}
