package forward

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/origin/origintest"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/worker"
)

// plainDialect sends calls as they are and takes each answer for a signed one.
type plainDialect struct{}

func (plainDialect) Request(call *Call, attempt Attempt) *httpconn.Request {
	header := http.Header{worker.RequestID: {string(call.ID)}}
	if attempt.LastEventID != "" {
		header.Set("Last-Event-Id", attempt.LastEventID)
	}
	return &httpconn.Request{Method: call.Method, URI: call.URI, Host: call.Host, Header: header}
}

func (plainDialect) ParseAnswer(_ int, header http.Header) AnswerInfo {
	return AnswerInfo{Signed: true, Stream: header.Get("Content-Type") == "text/event-stream"}
}
func (plainDialect) RemoveAnnouncements(http.Header)                 {}
func (plainDialect) ParseFields(http.Header) (s announced.Statement) { return s }

// listed is a Placement that chooses the first upstream that may be chosen.
type listed struct {
	upstreams []*worker.Worker
	// process is the address of an upstream that is chosen before the others; empty for none.
	process string

	mu      sync.Mutex
	results []Result
	// ended counts the ends of upstreams' processes that were recorded.
	ended int
	// leaving: the first upstream has announced that it leaves.
	leaving bool
	// blameless counts the attempts of which it was recorded that they say nothing of their upstream.
	blameless int
}

func (p *listed) Choose(_ *Call, exclude []ident.Instance, _ time.Time) (Choice, bool) {
	if id := ident.Instance("process"); p.process != "" && !slices.Contains(exclude, id) {
		return Choice{Upstream: id, Name: id, Address: p.process}, true
	}
	for _, w := range p.upstreams {
		if id := ident.Instance(w.ID); !slices.Contains(exclude, id) {
			return Choice{Upstream: id, Name: id, Address: w.Address()}, true
		}
	}
	return Choice{}, false
}

// Take implements Places.
func (p *listed) Take(_ context.Context, call *Call, exclude []ident.Instance) (Choice, bool) {
	return p.Choose(call, exclude, time.Time{})
}

func (p *listed) FirstEventArrived(Choice, time.Time) {}

func (p *listed) PathLost(Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blameless++
}
func (*listed) Replaced(Choice) bool { return false }

func (p *listed) UpstreamEnded(Choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended++
	return !p.leaving
}

func (p *listed) Finished(_ Choice, result Result, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result)
}

func (p *listed) announceLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// countingGuard is a Guard that knows no request and counts crashes.
type countingGuard struct {
	Guard
	crashes, brokenOff atomic.Int64
}

func (*countingGuard) KnowsNone() bool                    { return true }
func (*countingGuard) MayResend([]ident.Feature) bool     { return true }
func (*countingGuard) Answered(ident.Instance, time.Time) {}
func (g *countingGuard) Interrupted(i *poison.Interruption) {
	switch i.Evidence {
	case poison.ProcessEnded:
		g.crashes.Add(1)
	case poison.BrokenOff:
		g.brokenOff.Add(1)
	}
}
func (*countingGuard) Admit([]ident.Feature, time.Duration) poison.Decision {
	return poison.Decision{Step: poison.Send}
}

// countingBudget is a Budget that allows every retry and counts them.
type countingBudget struct{ retries atomic.Int64 }

func (*countingBudget) RecordFirstAttempt(ident.Service, time.Time) {}
func (b *countingBudget) Spend(ident.Service, time.Time) retry.Decision {
	b.retries.Add(1)
	return retry.Decision{OK: true}
}

// unlimited announces nothing, and counts nothing.
type unlimited struct{}

func (unlimited) Record(ident.Instance, ident.Request, announced.Statement) {}
func (unlimited) Accepts(ident.Instance) bool                               { return true }
func (unlimited) CountStarted(ident.ClientAccount)                          {}

// plainCaller is a caller that keeps what it is given.
type plainCaller struct {
	status int
	text   strings.Builder
	// complete: the answer looks complete to the caller.
	complete   bool
	lastPartAt time.Time
	// endDelay is the time from the last part to the end of a complete stream.
	endDelay time.Duration
	// onPart is called after each part; it may be nil.
	onPart func()
}

func (c *plainCaller) Answer(status int, _ http.Header, body []byte, _ func()) {
	c.status, c.complete = status, true
	c.text.Write(body)
}
func (c *plainCaller) Begin(status int, _ http.Header) { c.status = status }
func (c *plainCaller) Part(data []byte) error {
	c.text.Write(data)
	c.lastPartAt = time.Now()
	if c.onPart != nil {
		c.onPart()
	}
	return nil
}
func (c *plainCaller) End()                         { c.complete, c.endDelay = true, time.Since(c.lastPartAt) }
func (c *plainCaller) Break()                       {}
func (c *plainCaller) Interrupt()                   {}
func (c *plainCaller) Refuse(string, time.Duration) { c.status = http.StatusServiceUnavailable }
func (c *plainCaller) Fail(string)                  { c.status = http.StatusBadGateway }
func (c *plainCaller) TimeOut()                     { c.status = http.StatusGatewayTimeout }

// gatewayUnderTest is a Forwarder with what it records.
type gatewayUnderTest struct {
	*Forwarder
	placement *listed
	guard     *countingGuard
	budget    *countingBudget
	pool      *httpconn.Pool
}

func newGatewayUnderTest(now boottime.Clock, upstreams ...*worker.Worker) *gatewayUnderTest {
	g := &gatewayUnderTest{placement: &listed{upstreams: upstreams}, guard: &countingGuard{}, budget: &countingBudget{}, pool: httpconn.NewPool(now)}
	g.Forwarder = New(Config{
		Now: boottime.Now, Network: DirectNetwork{Pool: g.pool}, Dialect: plainDialect{}, Placement: g.placement, Places: g.placement, Budget: g.budget, Guard: g.guard, Announcements: unlimited{}, Origins: origintest.NewRegistry(), Meter: unlimited{},
		Log: hclog.NewNullLogger(), Tracer: noop.NewTracerProvider().Tracer(""), RetryAfter: func(*Call) time.Duration { return time.Second },
	})
	return g
}

// serve forwards a call on a route and returns what its caller got.
func (g *gatewayUnderTest) serve(t testing.TB, id string, route *routetable.Route, caller *plainCaller) (*plainCaller, Outcome) {
	return caller, g.serveTo(t, id, route, caller)
}

// serveTo forwards a call on a route.
func (g *gatewayUnderTest) serveTo(t testing.TB, id string, route *routetable.Route, caller Caller) Outcome {
	now := boottime.Now()
	call := &Call{
		ID: ident.Request(id), Route: route, Service: &routetable.Service{Name: "svc"}, Method: http.MethodPost, URI: "/x", Host: "app", Header: http.Header{},
		Received: now, Expires: now.Add(time.Minute),
	}
	return g.Serve(t.Context(), call, caller)
}

var (
	streamRoute     = &routetable.Route{Kind: routetable.Streaming, Attempts: 1, Objective: time.Second, GapObjective: time.Second}
	resumableRoute  = &routetable.Route{Kind: routetable.Streaming, Resumable: true, Attempts: 2, Objective: time.Second, GapObjective: time.Second}
	idempotentRoute = &routetable.Route{Kind: routetable.Idempotent, Attempts: 2, Objective: time.Second}
	onceRoute       = &routetable.Route{Kind: routetable.NonIdempotent, Attempts: 1, Objective: time.Second}
)
