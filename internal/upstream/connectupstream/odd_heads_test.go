package connectupstream_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	upstreamv1 "github.com/goldcrestspool/goldcrestspool/api/upstream/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/worker"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// refusalLines are the header lines of an upstream's refusal, which says that nothing ran, and refusalBody is its body.
const (
	refusalLines = "Content-Type: application/json\r\nGoldcrestspool-Reason: refused\r\n"
	refusalBody  = `{"code":"failed_precondition","message":"refused"}`
)

// checkRefusalIsNotBelieved checks that nobody believes an upstream's refusal that is no valid answer: the request may
// have run, and must not be sent to another upstream.
func checkRefusalIsNotBelieved(t *testing.T, status int, headerLines string) {
	t.Helper()
	server := testkit.NewRawServer(t)
	server.SetAnswer(func(*http.Request) testkit.RawAnswer {
		return testkit.RawAnswer{Status: status, HeaderLines: refusalLines + headerLines, Framing: testkit.ByLength, Body: refusalBody, Cut: -1}
	})
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	plain, engine := connectupstream.NewPlain(clients, "http://"+server.Address()), connectupstream.NewEngine(clients, "http://"+server.Address())
	for name, call := range map[string]func(context.Context) error{
		"invoke": func(ctx context.Context) error {
			_, err := plain.Invoke(ctx, upstream.InvokeRequest{Method: "m"})
			return err
		},
		"invoke with a key": func(ctx context.Context) error {
			_, err := plain.Invoke(ctx, upstream.InvokeRequest{Method: "m", Key: "k"})
			return err
		},
		"find": func(ctx context.Context) error {
			_, err := plain.Find(ctx, "k", 1)
			return err
		},
		"apply": func(ctx context.Context) error { return engine.Apply(ctx, upstream.Order{Fence: 1}) },
	} {
		if err := call(t.Context()); !upstream.MayHaveRun(err) {
			t.Errorf("%s: status %03d, lines %q: %v says that nothing ran", name, status, headerLines, err)
		}
	}
}

// Guards against a refusal whose status is none, and that is believed: the call would be sent to another upstream,
// though it may have run.
func TestARefusalWithoutAValidStatusIsNotBelieved(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		checkRefusalIsNotBelieved(t, status, "")
	}
}

// Guards against a refusal in whose head a line is no field, and that is believed.
func TestARefusalWithALineThatIsNoFieldIsNotBelieved(t *testing.T) {
	for _, line := range []string{"X Odd: v", "X-Odd : v", "Content-Length : 4", "X\x01Odd: v", "X\x7fOdd: v", "X\tOdd: v", ": v"} {
		checkRefusalIsNotBelieved(t, http.StatusPreconditionFailed, line+"\r\n")
	}
}

// Guards against an answer that is used though a line of an interim answer before it, or of its trailer, is no field.
func TestAnAnswerWithALineThatIsNoFieldIsNotUsed(t *testing.T) {
	body, err := proto.Marshal(&upstreamv1.InvokeResponse{Payload: []byte("the answer")})
	if err != nil {
		t.Fatal(err)
	}
	const sound = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	for text, used := range map[string]bool{
		sound + length:                                               true,
		sound + chunks + "\r\n":                                      true,
		sound + chunks + "X: y\r\n\r\n":                              true,
		sound + "X Odd: v\r\n" + length:                              false,
		sound + chunks + "X : y\r\n\r\n":                             false,
		sound + chunks + "X y: z\r\n\r\n":                            false,
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + sound + length:  true,
		"HTTP/1.1 103 Early Hints\r\nX : y\r\n\r\n" + sound + length: false,
	} {
		w := worker.New(t, "u")
		w.SetDefaultAct(func(w *worker.Writer, _ *http.Request) { w.Raw(text) })
		clients := connectupstream.NewClients(nil, nil)
		got, err := connectupstream.NewPlain(clients, "http://"+w.Address()).Invoke(t.Context(), upstream.InvokeRequest{Method: "m"})
		if used != (err == nil) || used && string(got.Payload) != "the answer" || err != nil && !upstream.MayHaveRun(err) {
			t.Errorf("%q: payload %q, error %v, want it to be used: %v", text, got.Payload, err, used)
		}
		clients.Close()
	}
}
