package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// auditTimeout bounds the questions to the plain stand-ins.
const auditTimeout = 10 * time.Second

// Options say where and how a load is sent.
type Options struct {
	// Gateways are host:port addresses for callers.
	Gateways []string
	// Plains are host:port addresses of plain stand-ins, for the audit.
	Plains []string
	// Patience is how long a caller waits for its final outcome.
	Patience time.Duration
	// Silence is how long a stream may give nothing, and a call no answer.
	Silence time.Duration
	// MaxRefusals is after how many refusals a caller gives up.
	MaxRefusals int
	// FreshConnections dials a connection for each request, so that a kept
	// one that its server is closing counts as no cut.
	FreshConnections bool
}

// Run is one load on its way.
type Run struct {
	options  Options
	workload *Workload
	id       string
	client   *http.Client
	gateways []callerv1connect.CallerServiceClient
	recorder *recorder
}

// NewRun prepares a run.
func NewRun(options Options, workload *Workload) *Run {
	client := transport.NewClient(transport.Options{FreshConnections: options.FreshConnections})
	return &Run{
		options:  options,
		workload: workload,
		id:       uuid.NewString(),
		client:   client,
		gateways: newGateways(client, options.Gateways),
		recorder: newRecorder(),
	}
}

// Do sends all arrivals, waits for their ends and returns the result. When ctx
// ends, no more arrivals are sent; those on their way go on to their ends.
func (r *Run) Do(ctx context.Context, arrivals []Arrival) *Result {
	defer r.client.CloseIdleConnections()
	start := time.Now()
	r.recorder.setStart(start)
	var group sync.WaitGroup
	for _, arrival := range arrivals {
		due := start.Add(arrival.At)
		if !pause.For(ctx, time.Until(due)) {
			break
		}
		r.recorder.begin()
		group.Go(func() { r.recorder.end(r.request(arrival, due)) })
	}
	group.Wait()
	elapsed := time.Since(start)
	state := r.audit()
	result := summarize(r.recorder.ended, elapsed)
	result.Audit = state
	return result
}

// Progress returns the state so far. It may be called while Do runs.
func (r *Run) Progress() Progress { return r.recorder.progress() }

// request carries one arrival through to its end.
func (r *Run) request(a Arrival, due time.Time) *ended {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Patience)
	defer cancel()
	base := caller{gateways: r.gateways, next: a.Number, token: a.Account.Token}
	if a.Kind == Booking {
		return r.book(ctx, base, a, due)
	}
	return r.stream(ctx, base, a, due)
}

func (r *Run) book(ctx context.Context, base caller, a Arrival, due time.Time) *ended {
	key := fmt.Sprintf("%s-%d", r.id, a.Number)
	b := &bookingCaller{caller: base, silence: r.options.Silence, impatient: a.Number%2 == 1, request: &callerv1.CallRequest{
		Service:        string(r.workload.PlainService),
		Method:         string(r.workload.BookingMethod),
		IdempotencyKey: key,
		IssuedAt:       timestamppb.Now(),
		Payload:        []byte("booking " + key),
	}}
	found := b.run(ctx, r.options.MaxRefusals)
	return &ended{
		arrival:    a,
		request:    key,
		finding:    found,
		completion: time.Since(due),
		tries:      b.tries,
		cuts:       b.cuts,
	}
}

func (r *Run) stream(ctx context.Context, base caller, a Arrival, due time.Time) *ended {
	shape := r.workload.Shapes[a.Kind]
	text := r.workload.prompt(r.id, a)
	s := &streamCaller{
		caller: base,
		check:  tokenCheck{prompt: text, want: shape.MaxTokens},
		original: &callerv1.GenerateRequest{
			Service:   string(r.workload.ModelService),
			Class:     string(shape.Class),
			Prompt:    text,
			MaxTokens: uint32(shape.MaxTokens),
			RequestId: string(ident.NewRequest()),
		},
		due:     due,
		silence: r.options.Silence,
	}
	found := s.run(ctx, r.options.MaxRefusals)
	return &ended{
		arrival:    a,
		request:    s.original.GetRequestId(),
		finding:    found,
		completion: time.Since(due),
		times:      s.times,
		tries:      s.tries,
		cuts:       s.cuts,
		resumes:    s.resumes,
	}
}

// audit compares all bookings with what the plain stand-ins executed, and
// says in words whether it could.
func (r *Run) audit() string {
	if len(r.options.Plains) == 0 {
		return "not run, no plain stand-in given"
	}
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	executed := readExecutions(ctx, r.client, r.options.Plains)
	for _, e := range r.recorder.ended {
		if e.arrival.Kind != Booking {
			continue
		}
		scoped := ident.CallKey{
			Service: r.workload.PlainService,
			Account: e.arrival.Account.Name,
			Key:     ident.Key(e.request),
		}
		if found := executed.audit(scoped.String(), e.finding.verdict); found != nil {
			e.finding = found
		}
	}
	return executed.String()
}
