package ingress

import (
	"io"
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
)

// readBody reads the whole body into memory, so that it can be sent more than once and with
// its length. A limit of 0 or less means that only BodyBudget bounds the body.
func (s *Server) readBody(control *http.ResponseController, r *http.Request, call *forward.Call, limit int64) *refusal {
	if limit > 0 && r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	if limit <= 0 {
		limit = s.cfg.BodyBudget
	}
	if s.bodyBytes.Load()+max(r.ContentLength, 0) > s.cfg.BodyBudget {
		return &refusal{status: http.StatusServiceUnavailable, reason: "too many bodies are in memory", retryAfter: retryAfterShortage}
	}
	// The error is ignored: all connections of net/http support deadlines. Without a
	// deadline, the only harm would be that a caller that sends nothing goes unnoticed.
	_ = control.SetReadDeadline(time.Now().Add(call.Remaining(call.Received)))
	body, err := readAll(r, limit)
	if err != nil {
		// The deadline stays: net/http reads the rest of the body before it closes the connection.
		return &refusal{status: http.StatusRequestTimeout, reason: "the body did not come: " + err.Error(), abort: r.Context().Err() != nil}
	}
	_ = control.SetReadDeadline(time.Time{})
	if int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	s.bodyBytes.Add(int64(len(body)))
	call.Body = body
	return nil
}

// readAll returns the request's body. Of a body without a declared length it reads at most
// limit+1 bytes, so that the caller can tell that it is too long.
func readAll(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, limit+1))
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
