// Package outcome says how a request ended, in the words callers hear.
package outcome

import "time"

// Kind says how a request ended, or that it has not yet.
type Kind int

// The kinds. Their numbers are those of the callers' API.
const (
	// Completed: the request ran and its whole answer is known.
	Completed Kind = 1
	// NotRun: this attempt reached no upstream and never will.
	NotRun Kind = 2
	// Unknown: the request may have run. Asking again by key tells more.
	Unknown Kind = 3
	// InProgress: another attempt with the same key is running.
	InProgress Kind = 4
	// Failed: the upstream ran the request and answered with an
	// application error.
	Failed Kind = 5
	// Interrupted: a token stream ended before its answer did. What was
	// delivered is right, and the caller may resume at any gateway.
	Interrupted Kind = 6
)

// String returns the name that logs and pages use.
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

// Final reports whether the kind never changes once told for a key.
func (k Kind) Final() bool { return k == Completed || k == Failed }

// Reason is the machine-readable cause of an outcome.
type Reason string

// The reasons that callers see.
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
	// ReasonNotSeen: no gateway has seen the key. The call may still be on
	// its way; sending it again with a higher attempt is always safe.
	ReasonNotSeen Reason = "not_seen"
	// ReasonReplaced: the same caller resumed the request elsewhere, with
	// tokens that this stream does not continue.
	ReasonReplaced Reason = "replaced"
)

// Outcome is how a request ended, with when to come back.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Message is one sentence for a person.
	Message string
	// RetryAfter tells when asking again makes sense; 0 for final kinds.
	RetryAfter time.Duration
	// Payload is the upstream's answer, for Completed and Failed.
	Payload []byte
}

// NewNotRun returns a refusal.
func NewNotRun(reason Reason, message string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Message: message, RetryAfter: retryAfter}
}

// NewUnknown returns an outcome for a request that may have run.
func NewUnknown(reason Reason, message string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: Unknown, Reason: reason, Message: message, RetryAfter: retryAfter}
}

// NewInterrupted returns the end of a token stream that may be resumed.
func NewInterrupted(reason Reason, message string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: Interrupted, Reason: reason, Message: message, RetryAfter: retryAfter}
}
