package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// slowReader is a connection of which nothing is read until a write has failed, so that the write is the one that meets
// the connection's error.
type slowReader struct {
	net.Conn
	writeFailed chan struct{}
}

func (c *slowReader) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.writeFailed)
	}
	return n, err
}

func (c *slowReader) Read(p []byte) (int, error) {
	<-c.writeFailed
	return c.Conn.Read(p)
}

// sendLong sends a request with a long body to an upstream that answers early, over connections that dial makes.
func sendLong(t *testing.T, answer testkit.RawAnswer, wrap func(net.Conn) net.Conn) (body string, verdict completion.Verdict, err error) {
	t.Helper()
	server := testkit.NewEarlyServer(t)
	server.SetAnswer(func(*http.Request) testkit.RawAnswer { return answer })
	pool := NewPool(boottime.Now)
	pool.DialWith(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(c), nil
	})
	req := &Request{Method: http.MethodPost, URI: "/x", Host: "app", Header: http.Header{}, Body: make([]byte, 16<<20)}
	got, failure := pool.Send(t.Context(), Target{ID: "u", Address: server.Address()}, req)
	if failure != nil {
		return "", completion.Incomplete, failure
	}
	defer got.Close()
	data, err := io.ReadAll(got)
	return string(data), got.End(completion.NotAStream).Verdict(), err
}

// Guards against a part of an answer without a length that counts as the whole, because its connection was reset while
// the request's body was still written, and the write was told of the reset.
func TestAnAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	answer := testkit.RawAnswer{Status: http.StatusOK, Framing: testkit.UntilClose, Body: "the whole answer", Cut: 4, Reset: true}
	body, verdict, err := sendLong(t, answer, func(c net.Conn) net.Conn {
		return &slowReader{Conn: c, writeFailed: make(chan struct{})}
	})
	if err == nil || verdict != completion.Incomplete {
		t.Errorf("read %q, verdict %s, no error", body, verdict)
	}
}

// Guards against whole answers that count as broken off: their upstreams answer before they have read the request's
// body, and end the answer in an orderly way.
func TestAnEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	const whole = "the whole answer"
	for _, framing := range testkit.Framings() {
		t.Run(string(framing), func(t *testing.T) {
			answer := testkit.RawAnswer{Status: http.StatusOK, Framing: framing, Body: whole, Cut: -1}
			body, verdict, err := sendLong(t, answer, func(c net.Conn) net.Conn { return c })
			if body != whole || verdict != completion.Complete || err != nil {
				t.Errorf("read %q, verdict %s, error %v", strings.TrimSpace(body), verdict, err)
			}
		})
	}
}
