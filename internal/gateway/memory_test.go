package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Guards against a refusal for lack of memory that is not true, or that does not say when to come back: nothing
// of the request may have run, over either protocol, plain and compressed.
func TestARequestWithoutRoomIsRefusedTruly(t *testing.T) {
	for _, protocol := range bothProtocols {
		for name, options := range map[string][]connect.ClientOption{
			"plain": nil, "compressed": {connect.WithSendGzip()}, "gRPC": {connect.WithGRPC()},
		} {
			if name == "gRPC" && protocol == "HTTP/1.1" {
				continue
			}
			t.Run(protocol+", "+name, func(t *testing.T) {
				room := int64(128 << 10)
				if protocol == "HTTP/2" {
					room += http2Bytes + streamBytes
				}
				memory := memoryOf(room)
				env := newTestEnv(t, envOptions{memory: memory})
				client := env.clientOver(t, protocol, options)
				_, err := client.Call(context.Background(), lookupRequest(strings.Repeat("x", 60<<10)))
				if code := connect.CodeOf(err); code != connect.CodeResourceExhausted {
					t.Fatalf("got %v, want resource_exhausted", err)
				}
				var refusal *connect.Error
				if !errors.As(err, &refusal) || refusal.Meta().Get("Retry-After") == "" || !strings.Contains(refusal.Message(), "not run") {
					t.Errorf("the refusal %v does not say that it was not run and when to come back: %v", err, refusal.Meta())
				}
				if n := len(env.first.calls()) + len(env.second.calls()); n != 0 {
					t.Errorf("%d calls reached an upstream", n)
				}
				// A share is given back just after its answer.
				for memory.State().Arriving > 0 {
					time.Sleep(time.Millisecond)
				}
				if _, err := client.Call(context.Background(), lookupRequest("short")); err != nil && name != "compressed" {
					t.Errorf("a short call afterwards: %v; %+v", err, memory.State())
				}
			})
		}
	}
}

// clientOver returns a client that uses one protocol.
func (env *testEnv) clientOver(t *testing.T, protocol string, options []connect.ClientOption) callerv1connect.CallerServiceClient {
	var protocols http.Protocols
	protocols.SetHTTP1(protocol == "HTTP/1.1")
	protocols.SetUnencryptedHTTP2(protocol == "HTTP/2")
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return callerv1connect.NewCallerServiceClient(&http.Client{Transport: bearer{token: registrarToken, next: transport}}, env.url, options...)
}

// Guards against a request that yields its memory, and is cut off, while it is answered: it has been read whole.
// All requests must count as answered from then on, unary ones and streams, over either protocol.
func TestAnAcceptedRequestDoesNotYield(t *testing.T) {
	for _, protocol := range bothProtocols {
		t.Run(protocol, func(t *testing.T) {
			memory := ampleMemory()
			env := newTestEnv(t, envOptions{memory: memory, limits: envLimits()})
			running, goOn := make(chan struct{}), make(chan struct{})
			env.first.answer = func(i invocation) (upstream.Answer, error) {
				running <- struct{}{}
				<-goOn
				return upstream.Answer{Payload: i.request.Payload}, nil
			}
			env.second.answer = env.first.answer
			client := env.clientOver(t, protocol, nil)
			ended := make(chan error, 1)
			go func() {
				_, err := client.Call(context.Background(), lookupRequest("lot"))
				ended <- err
			}()
			<-running
			if s := memory.State(); s.Answered != 1 || s.Arriving != 0 || s.ByAccount["registrar"] == 0 {
				t.Errorf("while a call runs: %+v", s)
			}
			close(goOn)
			if err := <-ended; err != nil {
				t.Error(err)
			}
			stream, err := client.Generate(context.Background(), generateRequest(streamID, "p", 300))
			if err != nil {
				t.Fatal(err)
			}
			if !stream.Receive() {
				t.Fatal(stream.Err())
			}
			if s := memory.State(); s.Answered != 1 || s.Arriving != 0 {
				t.Errorf("while a stream runs: %+v, %v", s, stream.Msg())
			}
			_ = stream.Close() // the rest is not needed
		})
	}
}

// Guards against an unauthenticated caller whose body costs memory or keeps its connection: it is answered at
// once though the body does not come to its end, and its connection is closed.
func TestTheUnreadBodyOfARefusedCallerEnds(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100000\r\n\r\nbegins", "Transfer-Encoding: chunked\r\n\r\n6\r\nbegins\r\n"} {
		runInMemory(t, func(t *testing.T, start func(*http.Server) *pipeListener) {
			p := start(newEmptyServer(envLimits()))
			conn, _ := p.dial(context.Background(), "", "")
			defer conn.Close()
			go func() {
				_, _ = io.WriteString(conn, "POST "+callerv1connect.CallerServiceCallProcedure+" HTTP/1.1\r\nHost: gateway\r\nContent-Type: application/proto\r\n"+framing) // not all of it is read
			}()
			began := time.Now()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusUnauthorized || !response.Close {
				t.Errorf("status %d, closed %v; want 401 and a closed connection", response.StatusCode, response.Close)
			}
			if took := time.Since(began); took > drainedWithin {
				t.Errorf("%.20q: answered after %v", framing, took)
			}
		})
	}
}

// drainedWithin is far below callerReadTimeout.
const drainedWithin = callerReadTimeout / 10

// Guards against strangers who take all the room: what a compressed message may become is reserved for those
// who have a token.
func TestAStrangersCompressedMessageReservesNothing(t *testing.T) {
	memory := memoryOf(64 << 10)
	env := newTestEnv(t, envOptions{memory: memory})
	request, err := http.NewRequest(http.MethodPost, env.url+callerv1connect.CallerServiceCallProcedure, strings.NewReader("message"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/proto")
	request.Header.Set("Content-Encoding", "gzip")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close() // its status says all
	if s := memory.State(); response.StatusCode != http.StatusUnauthorized || s.RequestsRefused != 0 {
		t.Errorf("status %d, %+v; want 401, and nobody refused for lack of room", response.StatusCode, s)
	}
}
