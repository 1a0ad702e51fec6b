package connectupstream_test

import (
	"context"
	"net/http"
	"testing"

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
	clients := connectupstream.NewClients(nil)
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
