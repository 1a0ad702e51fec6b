// Package outcome defines how a request can end, with the kinds and reasons that
// callers receive.
package outcome

import (
	"context"
	"errors"
	"time"
)

// Kind says how a request ended, or that it is still in progress.
type Kind int

// The kinds. Their numbers are those of OutcomeKind in the callers' API.
const (
	// Completed means that the request ran and its whole answer is known.
	Completed Kind = 1
	// NotRun means that this attempt has not reached an upstream and never will.
	NotRun Kind = 2
	// Unknown means that the request may have run. A caller learns more by asking
	// for the outcome of its idempotency key.
	Unknown Kind = 3
	// InProgress means that another attempt with the same idempotency key is running.
	InProgress Kind = 4
	// Failed means that the upstream ran the request and answered with an
	// application error.
	Failed Kind = 5
	// Interrupted means that a token stream ended before its answer was complete.
	// The delivered tokens are correct, and the caller may resume at any gateway.
	Interrupted Kind = 6
)

// String returns the kind's name in logs and in what operators see.
func (k Kind) String() string {
	switch k {
	case Completed:
		return "completed"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	case InProgress:
		return "in_progress"
	case Failed:
		return "failed"
	case Interrupted:
		return "interrupted"
	}
	return "unspecified"
}

// Final reports whether an outcome of this kind never changes for its idempotency key.
func (k Kind) Final() bool { return k == Completed || k == Failed }

// Reason is the machine-readable cause of an outcome.
type Reason string

// The reasons that callers receive.
const (
	ReasonRateLimited      Reason = "rate_limited"
	ReasonOverloaded       Reason = "overloaded"
	ReasonNoUpstream       Reason = "no_upstream"
	ReasonLogUnavailable   Reason = "log_unavailable"
	ReasonLeaving          Reason = "leaving"
	ReasonDeadline         Reason = "deadline"
	ReasonCancelled        Reason = "cancelled"
	ReasonExpired          Reason = "expired"
	ReasonCatchingUp       Reason = "catching_up"
	ReasonUpstreamRefused  Reason = "upstream_refused"
	ReasonUpstreamLost     Reason = "upstream_lost"
	ReasonClaimedElsewhere Reason = "claimed_elsewhere"
	ReasonKeyReused        Reason = "key_reused"
	ReasonApplication      Reason = "application_error"
	// ReasonNotSeen means that no gateway knows the idempotency key. The call may
	// still arrive; sending it again with a higher attempt is always safe.
	ReasonNotSeen Reason = "not_seen"
	// ReasonReplaced means that the same caller resumed the request elsewhere, with
	// delivered tokens that this stream does not continue.
	ReasonReplaced Reason = "replaced"
)

// ErrLeaving is the cause with which the context of a request ends that is still in
// progress when its gateway has to stop.
var ErrLeaving = errors.New("the gateway is leaving")

// EndReason returns the reason for which a request's ctx has ended: the gateway leaves,
// the deadline has passed, or the caller has gone.
func EndReason(ctx context.Context) Reason {
	switch {
	case errors.Is(context.Cause(ctx), ErrLeaving):
		return ReasonLeaving
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonDeadline
	}
	return ReasonCancelled
}

// Outcome is how a request ended, and when the caller may ask again.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Message is one sentence for people to read.
	Message string
	// RetryAfter is the time to wait before asking again; 0 for final kinds.
	RetryAfter time.Duration
	// Payload is the upstream's answer, for Completed and Failed.
	Payload []byte
}

// NewNotRun returns an outcome for a request that was refused.
func NewNotRun(reason Reason, message string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Message: message, RetryAfter: retryAfter}
}

// NewUnknown returns an outcome for a request that may or may not have run.
func NewUnknown(reason Reason, message string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: Unknown, Reason: reason, Message: message, RetryAfter: retryAfter}
}

// NewInterrupted returns an outcome for a token stream that may be resumed.
func NewInterrupted(reason Reason, message string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: Interrupted, Reason: reason, Message: message, RetryAfter: retryAfter}
}
