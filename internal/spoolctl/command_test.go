package spoolctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/operatorapi"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
)

// run executes a command line and returns its exit status and what it printed
// on stdout and stderr.
func run(t *testing.T, line ...string) (int, string) {
	t.Helper()
	stderr, err := os.Create(filepath.Join(t.TempDir(), "stderr"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stderr.Close() }()
	var out bytes.Buffer
	status := Run(context.Background(), line, &out, stderr)
	messages, err := os.ReadFile(stderr.Name())
	if err != nil {
		t.Fatal(err)
	}
	return status, out.String() + string(messages)
}

// newGateway returns a server that answers like a gateway's operators' address.
func newGateway() *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operatorapi.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(operatorapi.Status{Instance: "entry-1", NotReady: "catching up"})
	})
	mux.HandleFunc("GET "+operatorapi.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get(operatorapi.RequestParameter) != "r1" {
			http.Error(w, "no such request", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode([]explain.Record{{
			Subject: explain.Subject{Request: "r1", Service: "spool-llm", Account: "registrar"},
			Attempts: []explain.Attempt{{
				Upstream: "engine-1", Cause: "first", PredictedFirstToken: 20 * time.Millisecond,
				Reasons: []routing.Reason{{Upstream: "engine-1", Rule: "chosen", Detail: "cheapest"}},
			}},
			Endings: []explain.Ending{{Outcome: "completed"}},
		}})
	})
	return httptest.NewServer(mux)
}

func TestCommands(t *testing.T) {
	mux := http.NewServeMux()
	connectplatform.Mount(mux, connectplatform.Services{Log: logstore.New(logstore.Options{})})
	server := httptest.NewServer(mux)
	defer server.Close()
	gateway := newGateway()
	defer gateway.Close()
	const file = "../../examples/auktion-app.toml"
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("schema = 1\nkind = \"plain\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name   string
		line   []string
		status int
		want   string
	}{
		{"a good document is valid", []string{"validate", file}, ExitGood, "1 valid"},
		{"a bad document has findings", []string{"validate", bad}, ExitUsage, "service: is missing"},
		{"findings as JSON", []string{"validate", "--json", bad}, ExitUsage, `"key": "service"`},
		{"a bad document is not published", []string{"publish", bad, "--platform", server.URL}, ExitUsage, "service: is missing"},
		{"nothing to show yet", []string{"show", "auktion-app", "--platform", server.URL}, ExitRefused, "was published"},
		{"the first version", []string{"publish", file, "--platform", server.URL}, ExitGood, "accepted at revision 1 (replaces none)"},
		{"an edit of an older version loses", []string{"publish", file, "--platform", server.URL, "--base", "0"}, ExitRefused, "lost to revision 1"},
		{"the second version", []string{"publish", file, "--platform", server.URL, "--base", "1"}, ExitGood, "accepted at revision 2"},
		{"the history", []string{"history", "auktion-app", "--platform", server.URL}, ExitGood, "in force"},
		{"the version in force", []string{"show", "auktion-app", "--platform", server.URL}, ExitGood, "place_bid"},
		{"an earlier version", []string{"show", "auktion-app", "--revision", "1", "--json", "--platform", server.URL}, ExitGood, `"revision": 1`},
		{"no such version", []string{"show", "auktion-app", "--revision", "9", "--platform", server.URL}, ExitRefused, "no revision 9"},
		{"no platform", []string{"publish", file}, ExitUsage, "--platform"},
		{"no command", nil, ExitUsage, "no command"},
		{"help", []string{"--help"}, ExitGood, "publish"},
		{"a gateway's status", []string{"status", "--gateway", gateway.URL}, ExitRefused, "no: catching up"},
		{"a request explained", []string{"explain", "r1", "--gateway", gateway.URL}, ExitGood, "attempt 1: engine-1, first, predicted 20ms\n  engine-1: chosen: cheapest\ntold: completed"},
		{"an unknown request", []string{"explain", "r2", "--gateway", gateway.URL}, ExitRefused, "no such request"},
		{"a gateway that does not answer", []string{"status", "--gateway", "127.0.0.1:1"}, ExitRefused, "does not answer"},
	}
	for _, step := range steps {
		status, printed := run(t, step.line...)
		if status != step.status || !strings.Contains(printed, step.want) {
			t.Errorf("%s: status %d, want %d; printed %q, want %q", step.name, status, step.status, printed, step.want)
		}
	}
}
