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
	// PlainStandins are host:port addresses of plain stand-ins, for the audit.
	PlainStandins []string
	// CallerTimeout is how long a caller waits for its final outcome.
	CallerTimeout time.Duration
	// SilenceTimeout is how long a stream may give nothing, and a call no answer.
	SilenceTimeout time.Duration
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
		r.recorder.recordStart()
		group.Go(func() { r.recorder.recordEnd(r.runRequest(arrival, due)) })
	}
	group.Wait()
	elapsed := time.Since(start)
	state := r.auditBookings()
	result := summarize(r.recorder.finished, elapsed)
	result.Audit = state
	return result
}

// Progress returns the state so far. It may be called while Do runs.
func (r *Run) Progress() Progress { return r.recorder.progress() }

// runRequest carries one arrival through to its end.
func (r *Run) runRequest(a Arrival, due time.Time) *finishedRequest {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.CallerTimeout)
	defer cancel()
	base := caller{gateways: r.gateways, nextGateway: a.Number, token: a.Account.Token}
	if a.Kind == Booking {
		return r.runBooking(ctx, base, a, due)
	}
	return r.runStream(ctx, base, a, due)
}

func (r *Run) runBooking(ctx context.Context, base caller, a Arrival, due time.Time) *finishedRequest {
	key := fmt.Sprintf("%s-%d", r.id, a.Number)
	b := &bookingCaller{caller: base, silenceTimeout: r.options.SilenceTimeout, resendIfUnknown: a.Number%2 == 1, request: &callerv1.CallRequest{
		Service:        string(r.workload.PlainService),
		Method:         string(r.workload.BookingMethod),
		IdempotencyKey: key,
		IssuedAt:       timestamppb.Now(),
		Payload:        []byte("booking " + key),
	}}
	found := b.run(ctx, r.options.MaxRefusals)
	return &finishedRequest{
		arrival:    a,
		requestID:  key,
		assessment: found,
		completion: time.Since(due),
		tries:      b.tries,
		cuts:       b.cuts,
	}
}

func (r *Run) runStream(ctx context.Context, base caller, a Arrival, due time.Time) *finishedRequest {
	shape := r.workload.Shapes[a.Kind]
	text := r.workload.promptFor(r.id, a)
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
		dueAt:          due,
		silenceTimeout: r.options.SilenceTimeout,
	}
	found := s.run(ctx, r.options.MaxRefusals)
	return &finishedRequest{
		arrival:    a,
		requestID:  s.original.GetRequestId(),
		assessment: found,
		completion: time.Since(due),
		times:      s.times,
		tries:      s.tries,
		cuts:       s.cuts,
		resumes:    s.resumes,
	}
}

// auditBookings compares all bookings with what the plain stand-ins executed, and
// says in words whether it could.
func (r *Run) auditBookings() string {
	if len(r.options.PlainStandins) == 0 {
		return "not run, no plain stand-in given"
	}
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	executed := readExecutions(ctx, r.client, r.options.PlainStandins)
	for _, e := range r.recorder.finished {
		if e.arrival.Kind != Booking {
			continue
		}
		scoped := ident.CallKey{
			Service: r.workload.PlainService,
			Account: e.arrival.Account.Name,
			Key:     ident.Key(e.requestID),
		}
		if found := executed.auditBooking(scoped.String(), e.assessment.verdict); found != nil {
			e.assessment = found
		}
	}
	return executed.String()
}
