package controller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/goldcrestspool/goldcrestspool/internal/controller"
	"github.com/goldcrestspool/goldcrestspool/internal/daemon"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/cloud"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/instances"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/weights"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitLimit bounds the waits for another goroutine. No test depends on how long
// a wait takes.
const waitLimit = 30 * time.Second

// startPlatform serves a platform with one document and two entry instances.
func startPlatform(t *testing.T) (address string, log *logstore.Log) {
	t.Helper()
	log = logstore.New(logstore.Options{})
	server, _ := servePlatform(t, log)
	return server.URL, log
}

// servePlatform is startPlatform with the caller's log.
func servePlatform(t *testing.T, log *logstore.Log) (*httptest.Server, *instances.List) {
	t.Helper()
	list := instances.New(0)
	for _, id := range []ident.Instance{"entry-1", "entry-2"} {
		list.Register(platform.Instance{ID: id, Incarnation: 1, Role: platform.RoleEntry, FailureDomain: "hall-a", State: platform.Live})
	}
	publish(t, log, "../../examples/auktion-app.toml")
	mux := http.NewServeMux()
	connectplatform.Mount(mux, connectplatform.Services{
		Log: log, Instances: list, Cloud: cloud.New(cloud.Options{}), Weights: weights.New(weights.Options{}),
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server, list
}

func publish(t *testing.T, log platform.Log, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	record, err := document.EncodePublication(document.Publication{Service: "auktion-app", PublishID: "p-1", Schema: document.CurrentSchema, Document: text})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), document.StreamName, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
}

// testProcess is a controller that runs in this process.
type testProcess struct {
	operators string
	stop      context.CancelFunc
	ended     chan error
}

func startTestProcess(t *testing.T, id, address string) *testProcess {
	t.Helper()
	s, findings := settings.ParseController("test", []byte(`
[instance]
id = "`+id+`"
region = "tirol"
failure_domain = "hall-a"
incarnation = 1
[platform]
address = "`+address+`"
[control]
lease = "2s"
margin = "300ms"
interval = "50ms"
[log]
level = "error"
`))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	process, err := controller.New(s)
	if err != nil {
		t.Fatal(err)
	}
	stopCtx, stop := context.WithCancel(context.Background())
	kill, endKill := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	p := &testProcess{stop: stop, ended: make(chan error, 1)}
	go func() { p.ended <- process.Run(daemon.Signals{Stop: stopCtx, Kill: kill}, writer) }()
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var listening struct{ Event, Operators string }
	if err := json.Unmarshal(line, &listening); err != nil || listening.Event != "listening" {
		t.Fatalf("got %q, %v", line, err)
	}
	p.operators = listening.Operators
	t.Cleanup(endKill)
	return p
}

// await waits until the controller answers a path with 200 and a body that ok
// accepts.
func (p *testProcess) await(t *testing.T, path string, ok func(body []byte) bool) {
	t.Helper()
	p.awaitStatus(t, path, http.StatusOK, ok)
}

// awaitStatus is await with another HTTP status.
func (p *testProcess) awaitStatus(t *testing.T, path string, status int, ok func(body []byte) bool) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.operators + path)
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == status && ok(body) {
			return
		}
	}
	t.Fatalf("%s: not as expected within %v", path, waitLimit)
}

func anyBody([]byte) bool { return true }

// holdsFleet reports whether a status page shows that the process holds the
// lease for the service's fleet.
func holdsFleet(body []byte) bool {
	var statuses []struct {
		Lease lease.Name
		Held  bool
	}
	if err := json.Unmarshal(body, &statuses); err != nil {
		return false
	}
	for _, s := range statuses {
		if s.Lease == (lease.Name{Service: "auktion-app"}) && s.Held {
			return true
		}
	}
	return false
}

// A holder that is stopped must release its lease. Otherwise no process could
// act for the length of a lease after each update of a controller.
func TestStoppedHolderReleasesItsLease(t *testing.T) {
	address, log := startPlatform(t)
	first := startTestProcess(t, "entry-1", address)
	first.await(t, "/readyz", anyBody)
	first.await(t, "/status", holdsFleet)
	first.stop()
	if err := <-first.ended; err != nil {
		t.Errorf("a graceful stop ended with %v", err)
	}
	batch, err := log.Read(t.Context(), lease.Stream, 0, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	last, err := lease.Decode(batch.Records[len(batch.Records)-1].Data)
	if err != nil || last.Kind != lease.Release {
		t.Fatalf("the last record is %+v (%v), want a release", last, err)
	}
	second := startTestProcess(t, "entry-2", address)
	second.await(t, "/status", holdsFleet)
	second.stop()
	if err := <-second.ended; err != nil {
		t.Errorf("a graceful stop ended with %v", err)
	}
}

// Start and stop must not need the platform. Otherwise a controller that starts
// or stops while the platform is down, or its requests hang, would end or hang,
// and a machine could not be replaced.
func TestStopsWithoutAPlatform(t *testing.T) {
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-silent }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(silent) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := "http://" + listener.Addr().String()
	listener.Close()
	for name, address := range map[string]string{"nobody listens": refusing, "requests hang": server.URL} {
		t.Run(name, func(t *testing.T) {
			process := startTestProcess(t, "entry-1", address)
			process.awaitStatus(t, "/readyz", http.StatusServiceUnavailable, anyBody)
			process.stopAndExpectNil(t)
		})
	}
}

// The release of a lease must not be repeated until it succeeds. Otherwise a
// holder could not be stopped while the platform is down.
func TestHolderStopsWhileThePlatformIsDown(t *testing.T) {
	server, _ := servePlatform(t, logstore.New(logstore.Options{}))
	process := startTestProcess(t, "entry-1", server.URL)
	process.await(t, "/status", holdsFleet)
	server.Listener.Close()
	server.CloseClientConnections()
	process.stopAndExpectNil(t)
}

// A controller that starts before its instance is listed must claim no lease
// until then, and must claim one once its instance is listed. If it read the
// list only once, it would never take part.
func TestUnlistedInstanceClaimsOnceListed(t *testing.T) {
	server, list := servePlatform(t, logstore.New(logstore.Options{}))
	process := startTestProcess(t, "entry-9", server.URL)
	process.await(t, "/readyz", anyBody)
	process.await(t, "/status", func(body []byte) bool { return len(body) > len("[]\n") && !holdsFleet(body) })
	list.Register(platform.Instance{ID: "entry-9", Incarnation: 1, Role: platform.RoleEntry, FailureDomain: "hall-a", State: platform.Live})
	process.await(t, "/status", holdsFleet)
	process.stopAndExpectNil(t)
}

func (p *testProcess) stopAndExpectNil(t *testing.T) {
	t.Helper()
	p.stop()
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("a graceful stop ended with %v", err)
		}
	case <-time.After(waitLimit):
		t.Fatal("a graceful stop never ended")
	}
}
