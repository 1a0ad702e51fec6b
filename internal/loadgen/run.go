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
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// auditTimeout is the time limit for querying all plain stand-ins.
const auditTimeout = 10 * time.Second

// Options configure where and how a load is sent.
type Options struct {
	// Gateways are host:port addresses for callers.
	Gateways []string
	// PlainStandins are host:port addresses of the plain stand-ins that execute
	// the bookings, for the audit. Without any, there is no audit.
	PlainStandins []string
	// CallerTimeout is how long a caller waits for its final outcome.
	CallerTimeout time.Duration
	// SilenceTimeout is how long a stream may send nothing, and a call go
	// unanswered, before the caller tries another gateway.
	SilenceTimeout time.Duration
	// MaxRefusals is the number of refusals after which a caller gives up.
	MaxRefusals int
	// FreshConnections dials a connection for each request. A kept connection
	// may be closed by its server just when a request is sent, which would count
	// as a cut.
	FreshConnections bool
}

// Run sends one load.
type Run struct {
	options  Options
	workload *Workload
	// id makes idempotency keys and prompts unique to the run.
	id       string
	client   *http.Client
	gateways []callerv1connect.CallerServiceClient
	recorder *recorder
}

// NewRun returns a run that Do starts.
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

// Do sends all arrivals, waits until their requests have ended and returns the
// result. When ctx ends, no more arrivals are sent; requests in flight continue.
func (r *Run) Do(ctx context.Context, arrivals []Arrival) *Result {
	defer r.client.CloseIdleConnections()
	start := time.Now()
	r.recorder.setStart(start)
	var group sync.WaitGroup
	for _, arrival := range arrivals {
		due := start.Add(arrival.At)
		if !sleep.For(ctx, time.Until(due)) {
			break
		}
		r.recorder.recordStart()
		group.Go(func() { r.recorder.recordEnd(r.runRequest(arrival, due)) })
	}
	group.Wait()
	elapsed := time.Since(start)
	audit := r.auditBookings()
	result := summarize(r.recorder.finished, elapsed)
	result.Audit = audit
	return result
}

// Progress returns the state so far. It is safe to call while Do runs.
func (r *Run) Progress() Progress { return r.recorder.progress() }

// runRequest sends one arrival's request, with as many attempts as it takes, until
// it has ended. It does not stop with Do's context.
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
	assessed := b.run(ctx, r.options.MaxRefusals)
	return &finishedRequest{
		arrival:    a,
		requestID:  key,
		assessment: assessed,
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
	assessed := s.run(ctx, r.options.MaxRefusals)
	return &finishedRequest{
		arrival:    a,
		requestID:  s.original.GetRequestId(),
		assessment: assessed,
		completion: time.Since(due),
		times:      s.times,
		tries:      s.tries,
		cuts:       s.cuts,
		resumes:    s.resumes,
	}
}

// auditBookings compares all bookings with what the plain stand-ins executed and
// replaces the assessments of those that differ. It returns a description of how
// complete the comparison is.
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
		callKey := ident.CallKey{
			Service: r.workload.PlainService,
			Account: e.arrival.Account.Name,
			Key:     ident.Key(e.requestID),
		}
		if assessed := executed.auditBooking(callKey.String(), e.assessment.verdict); assessed != nil {
			e.assessment = assessed
		}
	}
	return executed.String()
}
