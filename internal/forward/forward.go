package forward

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/singleflight"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
)

const (
	// maxBufferedBytes bounds an answer that is buffered until it is complete. A longer
	// one counts as broken. The users' answers are below 5 KiB.
	maxBufferedBytes = 1 << 20
	// minTimeForAttempt is the least remaining time that makes a further attempt
	// worthwhile: an upstream in another failure domain does not answer faster.
	minTimeForAttempt = 20 * time.Millisecond
)

// ErrTimeOver is the cause with which a call's context ends when its deadline passes, or when its
// gateway ends before that.
var ErrTimeOver = errors.New("the request's time is over")

var (
	// errSilent cancels an attempt at an upstream that was silent for too long.
	errSilent = errors.New("the upstream is silent")
)

// Config holds what a Forwarder uses. All fields are required.
type Config struct {
	Now       boottime.Clock
	Network   Network
	Dialect   Dialect
	Placement Placement
	Places    Places
	Budget    Budget
	Guard     Guard
	// Announcements gets what upstreams announce.
	Announcements Announcements
	Origins       Origins
	Meter         Meter
	Log           hclog.Logger
	Tracer        trace.Tracer
	// RetryAfter returns the retry-after time of a refused call.
	RetryAfter func(call *Call) time.Duration
}

// Forwarder sends calls to upstreams. It is safe for concurrent use.
type Forwarder struct {
	cfg Config
	// probes merges the concurrent probes of one upstream that broke off several answers.
	probes singleflight.Group
	// suspects reports whether something else than an answer's own end speaks for the end of its
	// upstream's process, so that asking is worth a connection.
	suspects func(*httpconn.Answer) bool
	// probeAfter is closingTime.
	probeAfter time.Duration
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	return &Forwarder{cfg: cfg, suspects: (*httpconn.Answer).WorthAsking, probeAfter: closingTime}
}

// Serve forwards one call, delivers its answer and returns how it ended. ctx must end when
// the caller closes its connection.
func (f *Forwarder) Serve(ctx context.Context, call *Call, caller Caller) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(call.Remaining(f.cfg.Now()), func() { cancel(ErrTimeOver) })
	defer timer.Stop()
	s := &session{f: f, call: call, caller: caller, ctx: ctx, state: NewState(call.Route), lastEvent: call.LastEventID}
	defer s.dropBuffered()
	if s.findOrigin() {
		s.run()
	} else {
		s.finish(s.giveUp())
	}
	return s.outcome
}
