package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"

	"go.opentelemetry.io/otel/trace"
)

// TestNotSentStopsLateWrites guards against a call that is reported as not sent and yet
// runs at the upstream. A request gets its connection and is given up before its first
// byte is written. The transport's writer, which is already running, writes the request
// after that. So NotSent must prevent later writes, besides counting the earlier ones.
func TestNotSentStopsLateWrites(t *testing.T) {
	ours, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	defer func() { _ = theirs.Close() }()
	c := &trackedConn{Conn: ours}
	attempt := &Attempt{}
	attempt.gotConn(httptrace.GotConnInfo{Conn: c})
	if !attempt.NotSent() {
		t.Fatal("nothing was written")
	}
	if _, err := c.Write([]byte("POST")); !errors.Is(err, errSealed) {
		t.Errorf("a late write: got %v, want errSealed", err)
	}
}

func TestNotSentCountsOnlyTheRequestsOwnWrites(t *testing.T) {
	ours, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	defer func() { _ = theirs.Close() }()
	c := &trackedConn{Conn: ours}
	write := func() {
		if _, err := c.Write([]byte("POST")); err != nil {
			t.Fatal(err)
		}
	}
	write()
	second := &Attempt{}
	second.gotConn(httptrace.GotConnInfo{Conn: c, Reused: true})
	write()
	if second.NotSent() {
		t.Error("the second request was written")
	}
	third := &Attempt{}
	third.gotConn(httptrace.GotConnInfo{Conn: c, Reused: true})
	if !third.NotSent() {
		t.Error("the third request was not written")
	}
	unknown := &Attempt{}
	unknown.gotConn(httptrace.GotConnInfo{Conn: ours})
	if unknown.NotSent() {
		t.Error("nothing is known of a connection that is not counted")
	}
}

// recorder is a round tripper that records the request and fails.
type recorder struct{ got *http.Request }

func (r *recorder) RoundTrip(req *http.Request) (*http.Response, error) {
	r.got = req
	return nil, io.EOF
}

func TestRequestsCarryTheTraceContext(t *testing.T) {
	span := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled,
	})
	ctx := trace.ContextWithSpanContext(context.Background(), span)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1/", nil)
	if err != nil {
		t.Fatal(err)
	}
	next := &recorder{}
	_, _ = (&noRetryTransport{next: next}).RoundTrip(req)
	want := "00-01000000000000000000000000000000-0200000000000000-01"
	if got := next.got.Header.Get("Traceparent"); got != want {
		t.Errorf("traceparent %q, want %q", got, want)
	}
	if req.Header.Get("Traceparent") != "" {
		t.Error("the caller's request was changed")
	}
}
