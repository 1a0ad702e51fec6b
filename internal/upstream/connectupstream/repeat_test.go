package connectupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/net/http2"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// testTimeout bounds waits that a correct implementation ends at once.
const testTimeout = 10 * time.Second

// serveConns listens until the test ends and runs serve for each connection.
func serveConns(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return "http://" + listener.Addr().String()
}

// pooledPlain returns a client whose every call uses the given HTTP client.
func pooledPlain(t *testing.T, baseURL string, options transport.Options) *Plain {
	client := transport.NewClient(options)
	t.Cleanup(client.CloseIdleConnections)
	return NewPlain(&Clients{pooled: client, fresh: client}, baseURL)
}

// invokeUncertain makes one call and expects an error after which it may have run.
func invokeUncertain(t *testing.T, ctx context.Context, p *Plain) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	_, err := p.Invoke(ctx, upstream.InvokeRequest{Method: "bid", Key: "k", Payload: []byte("lot 17")})
	if err == nil || !upstream.MayHaveRun(err) {
		t.Errorf("got %v; the call may have run", err)
	}
}

// One call of Invoke must send at most one request, or a booking may be made twice.
// Here a kept connection serves one call; the server then reads the next call from it,
// executes it and resets the connection before it answers. net/http holds a request
// that has GetBody and an Idempotency-Key to be replayable and would send it again on a
// new connection.
func TestInvokeIsNotRepeatedAfterAReset(t *testing.T) {
	var requests atomic.Int32
	baseURL := serveConns(t, func(c *net.TCPConn) {
		reader := bufio.NewReader(c)
		for first := true; ; first = false {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			requests.Add(1)
			if !first {
				_ = c.SetLinger(0)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := pooledPlain(t, baseURL, transport.Options{})
	if _, err := p.Invoke(t.Context(), upstream.InvokeRequest{Method: "bid"}); err != nil {
		t.Fatal(err)
	}
	ctx, call := connect.NewClientContext(t.Context())
	call.RequestHeader().Set("Idempotency-Key", "k")
	invokeUncertain(t, ctx, p)
	if got := requests.Load(); got != 2 {
		t.Errorf("the server read %d requests, want 2", got)
	}
}

// One call of Invoke must send at most one request over HTTP/2 too. Here a server
// executes a call and then refuses its stream, as a faulty proxy may. The HTTP/2
// transport would send a request that has GetBody again.
func TestInvokeIsNotRepeatedAfterARefusedStream(t *testing.T) {
	var requests atomic.Int32
	baseURL := serveConns(t, func(c *net.TCPConn) {
		preface := make([]byte, len(http2.ClientPreface))
		if _, err := io.ReadFull(c, preface); err != nil {
			return
		}
		framer := http2.NewFramer(c, c)
		_ = framer.WriteSettings()
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			if data, ok := frame.(*http2.DataFrame); ok && data.StreamEnded() {
				requests.Add(1)
				_ = framer.WriteRSTStream(data.StreamID, http2.ErrCodeRefusedStream)
			}
		}
	})
	p := pooledPlain(t, baseURL, transport.Options{HTTP2: true})
	invokeUncertain(t, t.Context(), p)
	if got := requests.Load(); got != 1 {
		t.Errorf("the server read %d requests, want 1", got)
	}
}

// One call of Invoke must send at most one request, also if a server executes the call
// and answers with a redirect. net/http would follow a 307 or 308 with the same body.
func TestInvokeFollowsNoRedirect(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			var second atomic.Int32
			target := testkit.Serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { second.Add(1) }))
			first := testkit.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, target+r.URL.Path, status)
			}))
			invokeUncertain(t, t.Context(), pooledPlain(t, first, transport.Options{}))
			if got := second.Load(); got != 0 {
				t.Errorf("the redirect's target got %d requests", got)
			}
		})
	}
}

// When a connection fails, the adapter must know whether it sent anything. Otherwise
// callers are told "unknown" although nothing can have run, or "not run" although the
// call may have.
func TestInvokeTellsWhetherAnythingWasSent(t *testing.T) {
	cases := []struct {
		story string
		// serve is nil if nobody listens.
		serve func(*net.TCPConn)
		ran   bool
	}{
		{"nobody listens", nil, false},
		{"closed after the first byte of the request", func(c *net.TCPConn) { _, _ = c.Read(make([]byte, 1)) }, true},
		{"closed after half an answer", func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		}, true},
		{"answer that is not the protocol's", func(c *net.TCPConn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nGoldcrestspool-Reason: leaving\r\nContent-Length: 0\r\n\r\n")
		}, true},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			baseURL := closedPort(t)
			if c.serve != nil {
				baseURL = serveConns(t, c.serve)
			}
			p := pooledPlain(t, baseURL, transport.Options{})
			_, err := p.Invoke(t.Context(), upstream.InvokeRequest{Method: "bid", Payload: []byte("lot 17")})
			if err == nil || upstream.MayHaveRun(err) != c.ran {
				t.Errorf("got %v, want Ran %v", err, c.ran)
			}
		})
	}
}

// closedPort returns the base URL of a port that was just closed.
func closedPort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return "http://" + listener.Addr().String()
}
