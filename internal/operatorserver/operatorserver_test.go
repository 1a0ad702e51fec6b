package operatorserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/operatorserver"
)

func TestServerAnswersOperators(t *testing.T) {
	cases := []struct {
		name       string
		ready      bool
		pprof      bool
		path       string
		wantStatus int
		wantBody   string
	}{
		{"alive though not ready", false, false, "/healthz", 200, "ok"},
		{"not ready says why", false, false, "/readyz", 503, "documents not read yet"},
		{"ready", true, false, "/readyz", 200, "ok"},
		{"metrics", true, false, "/debug/vars", 200, "memstats"},
		{"profiles are off by default", true, false, "/debug/pprof/", 404, ""},
		{"profiles where switched on", true, true, "/debug/pprof/", 200, "goroutine"},
		{"handler of the process", true, false, "/extra", 418, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, c.ready, c.pprof)
			resp, err := http.Get("http://" + address + c.path)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != c.wantStatus || !strings.Contains(string(body), c.wantBody) {
				t.Errorf("got %d %q, want %d with %q", resp.StatusCode, body, c.wantStatus, c.wantBody)
			}
		})
	}
}

func serve(t *testing.T, ready, pprof bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := operatorserver.New(operatorserver.Config{
		Listener: l,
		Ready:    func() (bool, string) { return ready, "documents not read yet" },
		Pprof:    pprof,
		Handlers: map[string]http.Handler{
			"/extra": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(418) }),
		},
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve() }()
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server.Address()
}
