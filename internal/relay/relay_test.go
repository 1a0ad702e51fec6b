package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/relay"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/worker"
)

// dialect is a relay.Dialect with a header of its own for the time that is left.
type dialect struct{}

func (dialect) Relayed(req *httpconn.Request, _ ident.Request, timeLeft time.Duration) {
	req.Header.Set("Time-Left", strconv.FormatInt(timeLeft.Milliseconds(), 10))
}
func (dialect) ParseAnnouncement(_ int, header http.Header) announced.Statement {
	return announced.Statement{Leaving: header.Get("Server-Leaving") == "1"}
}
func (dialect) ParseFields(http.Header) (s announced.Statement) { return s }
func (dialect) RemoveAnnouncements(header http.Header)          { header.Del("Server-Leaving") }

// relaying is a relaying gateway before one upstream, and a client of it.
type relaying struct {
	*httpconn.Pool
	upstream *worker.Worker
	server   *relay.Server
	http     *httptest.Server
	client   *relay.Client
	by       gossip.Contact
	target   httpconn.Target
	memory   *membudget.Budget

	mu       sync.Mutex
	recorded []announced.Statement
	declines bool
	leaving  bool
	delay    time.Duration
}

// relayMemory is how much other gateways' requests may take.
const relayMemory = 64 << 10

func newRelaying(t testing.TB) *relaying {
	t.Helper()
	r := &relaying{Pool: httpconn.NewPool(time.Now), upstream: worker.New(t, "u0"), memory: membudget.New(membudget.Config{Now: time.Now, Log: hclog.NewNullLogger(), Bytes: relayMemory, Connections: 1, ConnectionBytes: 1})}
	r.server = relay.NewServer(relay.ServerConfig{
		Now: time.Now, Log: hclog.NewNullLogger(), Tracer: noop.NewTracerProvider().Tracer(""), Upstreams: r, Dialect: dialect{}, Announcements: r,
		IsGateway: func(ident.Instance, string) bool { return true }, Leaving: func() bool { return r.leaving }, Memory: r.memory,
	})
	mux := http.NewServeMux()
	mux.Handle("POST "+relay.Path, r.server)
	r.http = httptest.NewServer(mux)
	t.Cleanup(r.http.Close)
	r.by = gossip.Contact{Node: "gw1", Address: strings.TrimPrefix(r.http.URL, "http://")}
	r.client = &relay.Client{Self: "gw0", Pool: httpconn.NewPool(time.Now)}
	r.target = httpconn.Target{ID: "u0", Address: r.upstream.Address()}
	return r
}

// Target, Connect, Record and Accepts implement what a relay.Server uses.
func (r *relaying) Target(id ident.Instance, address string) (httpconn.Target, bool) {
	time.Sleep(r.delay)
	return httpconn.Target{ID: id, Address: address}, id == "u0"
}

func (r *relaying) Connect(ctx context.Context, target httpconn.Target) error {
	return r.Pool.Connect(ctx, target, false)
}

func (r *relaying) Record(_ ident.Instance, _ ident.Request, s announced.Statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = append(r.recorded, s)
}

func (r *relaying) Accepts(ident.Instance) bool { return !r.declines }

func (r *relaying) send(ctx context.Context, id string, timeLeft time.Duration) (*httpconn.Answer, *httpconn.Failure) {
	return r.sendBody(ctx, id, timeLeft, []byte("prompt"))
}

func (r *relaying) sendBody(ctx context.Context, id string, timeLeft time.Duration, body []byte) (*httpconn.Answer, *httpconn.Failure) {
	header := http.Header{worker.RequestID: {id}}
	return r.client.Send(ctx, r.by, r.target, ident.Request(id), timeLeft, &httpconn.Request{Method: http.MethodPost, URI: "/x", Host: "app", Header: header, Body: body})
}

// Guards against a request that is taken for not sent though it may have run, or for sent though the
// other gateway says that it was not: at each way in which it ends at the other gateway.
func TestFailuresTellWhetherTheRequestWasSent(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*relaying)
		// sent: the request may have been sent; err is what the failure wraps.
		sent bool
		err  error
	}{
		{"no such upstream there", func(r *relaying) { r.target.ID = "u1" }, false, relay.ErrNotSent},
		{"the gateway leaves", func(r *relaying) { r.leaving = true }, false, relay.ErrNotSent},
		{"it has no room for it", func(r *relaying) {
			for held := 0; held < relayMemory; held += relayMemory / 16 {
				// What doesn't fit any more leaves no room for the request either.
				_, _ = r.memory.Begin(nil, relayMemory/16, nil)
			}
		}, false, relay.ErrNotSent},
		{"the upstream takes none from it", func(r *relaying) { r.declines = true }, false, relay.ErrNotSent},
		{"the upstream refuses it too", func(r *relaying) { r.upstream.Stop() }, false, relay.ErrRefused},
		{"an older build", func(r *relaying) { r.http.Config.Handler = http.NotFoundHandler() }, false, relay.ErrNotSent},
		{"the gateway has ended", func(r *relaying) { r.http.Close() }, false, nil},
		{"the upstream runs it and breaks", func(r *relaying) { r.upstream.SetDefaultAct(worker.RunAndCrash) }, true, relay.ErrNoAnswer},
		{"the gateway ends meanwhile", func(r *relaying) {
			r.upstream.SetDefaultAct(func(w *worker.Writer, _ *http.Request) {
				w.RecordRun()
				r.http.CloseClientConnections()
				w.WaitClosed(time.Second)
			})
		}, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRelaying(t)
			c.prepare(r)
			_, failure := r.send(t.Context(), "r", time.Second)
			if failure == nil || failure.MaybeSent != c.sent || c.err != nil && !errors.Is(failure, c.err) {
				t.Fatalf("got %+v, want maybe sent %v and %v", failure, c.sent, c.err)
			}
			if runs := r.upstream.RunCount("r"); !c.sent && runs > 0 || runs > 1 {
				t.Errorf("it ran %d times", runs)
			}
		})
	}
}

// Guards against a long request that counts as perhaps sent, and is not repeated, though the other gateway had no
// room for it: a refusal in the middle of the body would reset the connection, and be lost.
func TestALongRequestWithoutRoomIsNotSent(t *testing.T) {
	r := newRelaying(t)
	_, failure := r.sendBody(t.Context(), "r", 5*time.Second, make([]byte, 6<<20))
	if failure == nil || failure.MaybeSent || !errors.Is(failure, relay.ErrNotSent) {
		t.Errorf("got %+v, want a refusal that says that nothing was sent", failure)
	}
	if runs := r.upstream.RunCount("r"); runs > 0 {
		t.Errorf("it ran %d times", runs)
	}
}

// Guards against an upstream that is handed more time than the caller has left: what the other gateway
// takes is taken off.
func TestTheTimeThatIsLeftShrinksOverTheHop(t *testing.T) {
	r := newRelaying(t)
	r.delay = 30 * time.Millisecond
	answer, failure := r.send(t.Context(), "r", time.Second)
	if failure != nil {
		t.Fatal(failure)
	}
	answer.Close()
	requests, _ := r.upstream.Requests()
	if left, err := strconv.Atoi(requests[0].Header.Get("Time-Left")); err != nil || left > 970 || left < 1 {
		t.Errorf("the upstream is told %d ms, want 970 at most of 1000", left)
	}
}

// Guards against an upstream that goes on working for a caller that has gone, behind another gateway.
func TestTheUpstreamStopsWhenTheCallerGoes(t *testing.T) {
	r := newRelaying(t)
	stopped := make(chan bool, 1)
	r.upstream.SetDefaultAct(func(w *worker.Writer, _ *http.Request) {
		w.RecordRun()
		w.Head(http.StatusOK, "Transfer-Encoding: chunked\r\n")
		w.Chunk("a part")
		stopped <- w.WaitClosed(10 * time.Second)
	})
	ctx, cancel := context.WithCancel(t.Context())
	answer, failure := r.send(ctx, "r", time.Minute)
	if failure != nil {
		t.Fatal(failure)
	}
	cancel()
	answer.Close()
	if !<-stopped {
		t.Error("the upstream's connection stays open for 10 s")
	}
}

// Guards against what an upstream says to the relaying gateway and that the other one takes for said to
// itself, or that nobody records.
func TestTheRelayingGatewayRecordsWhatIsAnnounced(t *testing.T) {
	r := newRelaying(t)
	r.upstream.SetDefaultAct(func(w *worker.Writer, _ *http.Request) {
		w.RecordRun()
		w.Head(http.StatusOK, "Server-Leaving: 1\r\nContent-Length: 2\r\n")
		w.Raw("ok")
	})
	answer, failure := r.send(t.Context(), "r", time.Second)
	if failure != nil {
		t.Fatal(failure)
	}
	defer answer.Close()
	if body, err := io.ReadAll(answer); err != nil || string(body) != "ok" || answer.End(completion.NotAStream).Verdict() != completion.Complete {
		t.Errorf("got %q, error %v, verdict %v", body, err, answer.End(completion.NotAStream).Verdict())
	}
	if answer.Header.Get("Server-Leaving") != "" || answer.Relayed == nil || answer.Relayed.By != "gw1" {
		t.Errorf("header %v, relayed %+v", answer.Header, answer.Relayed)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recorded) == 0 || !r.recorded[0].Leaving {
		t.Errorf("recorded %+v, want that the upstream leaves", r.recorded)
	}
}

// Guards against an answer of which the relaying gateway delivered a part and that looks whole when its
// process ends, and its connections are closed in an orderly way.
func TestAnAnswerIsIncompleteWhenTheRelayingGatewayEnds(t *testing.T) {
	for _, header := range []string{"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
		r := newRelaying(t)
		sent := make(chan struct{})
		r.upstream.SetDefaultAct(func(w *worker.Writer, _ *http.Request) {
			w.RecordRun()
			w.Head(http.StatusOK, header)
			w.Raw("6\r\na part\r\n")
			close(sent)
			w.WaitClosed(10 * time.Second)
		})
		answer, failure := r.send(t.Context(), "r", time.Minute)
		if failure != nil {
			t.Fatal(failure)
		}
		<-sent
		r.http.CloseClientConnections()
		_, err := io.ReadAll(answer)
		if verdict := answer.End(completion.NotAStream).Verdict(); verdict == completion.Complete {
			t.Errorf("%s: verdict %v, error %v", header, verdict, err)
		}
		answer.Close()
	}
}
