package gateway

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

const requestID = "5f0c2a52-7a43-4c58-9d1e-0b6f3c1d9a77"

// countingEngine counts the requests that reach an engine.
type countingEngine struct {
	upstream.Engine
	requests atomic.Int64
}

func (e *countingEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	e.requests.Add(1)
	return e.Engine.Generate(ctx, req)
}

// Guards against a caller's request of which only a part arrived and that an upstream runs as if it
// were whole.
func TestABrokenOffRequestReachesNoUpstream(t *testing.T) {
	engine := &countingEngine{Engine: newEngine(t)}
	env := newTestEnv(t, envOptions{engine: engine})
	address := strings.TrimPrefix(env.url, "http://")
	encoded := func(m proto.Message) string {
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	call := encoded(&callerv1.CallRequest{Service: plainService, Method: "find_lot", Payload: []byte("lot"), Attempt: 1})
	generate := encoded(&callerv1.GenerateRequest{Service: modelService, Class: "short", Prompt: "words", MaxTokens: 2, RequestId: requestID})
	envelope := string(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(generate)))) + generate
	cases := []struct{ method, contentType, body string }{
		{"Call", "application/proto", call},
		{"Generate", "application/connect+proto", envelope},
	}
	for _, c := range cases {
		for _, framing := range []testkit.Framing{testkit.ByLength, testkit.ByChunks} {
			for cut := range len(framing.Frame(c.body)) {
				for _, end := range testkit.RequestEnds() {
					r := testkit.RawRequest{Head: requestHead(c.method, c.contentType), Framing: framing, Body: c.body, Cut: cut, End: end}
					answer := r.Send(t, address)
					if n := engine.requests.Load() + int64(len(env.first.calls())+len(env.second.calls())); n > 0 {
						t.Fatalf("%s by %s, %s after %d bytes: reached an upstream, answered %q", c.method, framing, end, cut, answer)
					}
				}
			}
		}
	}
	// The same requests reach them when they are whole.
	for _, c := range cases {
		if answer := sendWhole(t, env, c.method, c.contentType, c.body); !strings.HasPrefix(answer, "HTTP/1.1 200") {
			t.Errorf("%s: answered %q", c.method, answer)
		}
	}
	if plain := len(env.first.calls()) + len(env.second.calls()); engine.requests.Load() != 1 || plain != 1 {
		t.Errorf("%d whole requests reached the engine, %d the plain service", engine.requests.Load(), plain)
	}
}

// requestHead returns the request line and the header lines of a request over Connect.
func requestHead(method, contentType string) string {
	return "POST /" + callerv1connect.CallerServiceName + "/" + method + " HTTP/1.1\r\nHost: x\r\nConnect-Protocol-Version: 1\r\nAuthorization: Bearer " +
		registrarToken + "\r\nContent-Type: " + contentType + "\r\n"
}

// sendWhole sends a whole request and returns the answer.
func sendWhole(t *testing.T, env *testEnv, method, contentType, body string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(env.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, requestHead(method, contentType)+"Connection: close\r\n"+testkit.ByChunks.HeaderLine(body)+"\r\n"+testkit.ByChunks.Frame(body)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Error(err)
	}
	return string(answer)
}

// Guards against a gateway's answer that its caller cannot tell from a whole one when it breaks off:
// the last event of a token stream is its outcome, and a caller that has it needs nothing more.
func TestACallerCanTellABrokenOffTokenStream(t *testing.T) {
	env := newTestEnv(t, envOptions{})
	var whole *httptest.ResponseRecorder
	for _, framing := range testkit.Framings() {
		server := testkit.NewRawServer(t)
		client := callerv1connect.NewCallerServiceClient(&http.Client{Transport: bearer{token: registrarToken, next: &http.Transport{DisableKeepAlives: true}}}, "http://"+server.Address())
		run := func(cut int, reset bool) (outcome *callerv1.Outcome, tokens int, err error) {
			server.SetAnswer(func(r *http.Request) testkit.RawAnswer {
				if whole == nil {
					whole = httptest.NewRecorder()
					newCallersServer(env.handler, envLimits(), ampleMemory()).Handler.ServeHTTP(whole, r)
				}
				return testkit.RawAnswer{Status: whole.Code, HeaderLines: "Content-Type: " + whole.Header().Get("Content-Type") + "\r\n",
					Framing: framing, Body: whole.Body.String(), Cut: cut, Reset: reset}
			})
			stream, err := client.Generate(t.Context(), &callerv1.GenerateRequest{Service: modelService, Class: "short", Prompt: "words", MaxTokens: 3, RequestId: requestID})
			if err != nil {
				return nil, 0, err
			}
			defer stream.Close()
			for stream.Receive() {
				tokens += len(stream.Msg().GetTokens().GetTokens())
				outcome = stream.Msg().GetOutcome()
			}
			return outcome, tokens, stream.Err()
		}
		if outcome, tokens, err := run(-1, false); err != nil || outcome.GetKind() != callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED || tokens != 3 {
			t.Fatalf("whole by %s: %v, %d tokens, error %v", framing, outcome, tokens, err)
		}
		for cut := range len(framing.Frame(whole.Body.String())) {
			for _, reset := range []bool{false, true} {
				outcome, tokens, err := run(cut, reset)
				if outcome != nil && tokens != 3 {
					t.Errorf("by %s, cut after %d bytes, reset %v: an outcome after %d tokens", framing, cut, reset, tokens)
				}
				if outcome == nil && err == nil {
					t.Errorf("by %s, cut after %d bytes, reset %v: neither an outcome nor an error", framing, cut, reset)
				}
			}
		}
	}
}
