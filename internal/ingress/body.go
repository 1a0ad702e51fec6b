package ingress

import (
	"errors"
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
)

// readBody reads the whole body into memory, so that it can be sent more than once and with its length. A
// limit of 0 or less means that only the memory budget bounds the body.
func (s *Server) readBody(control *http.ResponseController, r *http.Request, call *forward.Call, share *membudget.Request, limit int64) *refusal {
	if limit <= 0 {
		limit = s.cfg.Memory.LongestBody()
	}
	// The error is ignored: all connections of net/http support deadlines. Without a
	// deadline, the only harm would be that a caller that sends nothing goes unnoticed.
	_ = control.SetReadDeadline(time.Now().Add(call.Remaining(call.Received)))
	body, err := share.ReadBody(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, membudget.ErrTooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	case errors.Is(err, membudget.ErrNoRoom), errors.Is(err, membudget.ErrYielded):
		return &refusal{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: membudget.RetryAfter}
	case err != nil:
		return &refusal{status: http.StatusRequestTimeout, reason: "the body did not come: " + err.Error(), abort: r.Context().Err() != nil}
	}
	_ = control.SetReadDeadline(time.Time{})
	call.Body = body
	return nil
}

// headerSize returns the approximate size of the request line and the headers in bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
