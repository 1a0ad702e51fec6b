package ingress

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// refusal says why a request is not forwarded.
type refusal struct {
	status int
	reason string
	// retryAfter is the retry-after time; 0 if the caller is given none.
	retryAfter time.Duration
	// abort: the connection is closed without an answer.
	abort bool
	// barredBy are the features because of which a request is barred; nil for others.
	barredBy []ident.Feature
}

// refuse logs and answers a request that is not forwarded.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, call *forward.Call, why *refusal) {
	s.cfg.Metrics.Refused(why.status)
	var id ident.Request
	route := ""
	if call != nil {
		id = call.ID
		if call.Route != nil {
			route = call.Route.Name
		}
	}
	fields := []any{"id", id, "route", route, "host", r.Host, "target", r.RequestURI, "status", why.status,
		"reason", why.reason, "after_ms", why.retryAfter.Milliseconds()}
	if why.barredBy != nil {
		fields = append(fields, "barred_by", why.barredBy, "content", call.Content(), "parts", call.PartsForLog(), "account", call.Account)
	}
	if call != nil {
		fields = append(fields, takeUpFields(call)...)
	}
	s.cfg.Log.Info("request refused", fields...)
	if why.abort {
		panic(http.ErrAbortHandler)
	}
	writeError(w, why.status, why.reason, why.retryAfter)
}

// writeError answers with a reason of the gateway's own instead of an upstream's answer.
// retryAfter is the retry-after time; 0 for none.
func writeError(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	// The error is ignored: it means that the caller has gone.
	_, _ = io.WriteString(w, reason+"\n")
}
