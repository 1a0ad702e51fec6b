package streaming

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Cause is the reason why an attempt is opened.
type Cause string

// The causes of an attempt.
const (
	// CauseFirst: no attempt of the request has run yet.
	CauseFirst Cause = "first"
	// CauseRefused: the previous attempt was refused or not sent.
	CauseRefused Cause = "refused"
	// CauseLost: the upstream or the connection to it broke.
	CauseLost Cause = "lost"
	// CauseSilent: no frame was received within the silence limit.
	CauseSilent Cause = "silent"
	// CauseFault: the engine sent frames that contradict the answer or the
	// request.
	CauseFault Cause = "fault"
	// CauseNotice: the upstream is leaving and its KV cache was not moved.
	CauseNotice Cause = "notice"
	// CauseMoved: the upstream is leaving and its KV cache was moved.
	CauseMoved Cause = "moved"
	// CauseResumed: the request was served before, here or at another gateway.
	CauseResumed Cause = "resumed"
)

// PickRequest is what a Picker needs to choose an engine.
type PickRequest struct {
	Request Request
	// Cause of the attempt that is to be opened.
	Cause Cause
	// Answer holds the tokens so far. The next attempt's prompt is Params.Prompt
	// of the request followed by them.
	Answer []string
	// LastInstance is the instance of the last attempt, which may have the
	// prefix in its cache; empty if there was none.
	LastInstance ident.Instance
	// Exclude lists the instances that must not be chosen.
	Exclude []ident.Instance
}

// Picker chooses the engine for an attempt, by cached prefix and latency
// target. It may wait for capacity until ctx ends.
type Picker interface {
	// Pick returns the target of an attempt. It returns a *Refusal if the
	// request is refused. For any other error, the caller is told that no
	// upstream is available.
	Pick(ctx context.Context, req PickRequest) (Target, error)
}

// Refusal is the error of a Picker that refuses a request, with the outcome for
// the caller.
type Refusal struct {
	Reason     outcome.Reason
	Message    string
	RetryAfter time.Duration
}

// Error returns the message for the caller.
func (r *Refusal) Error() string { return r.Message }

// Target is the engine that an attempt is sent to.
type Target struct {
	Instance ident.Instance
	Engine   upstream.Engine
	// Notice receives one value when the instance is to be reclaimed. It is nil
	// if no notices are available, and shared with no other target.
	Notice <-chan Notice
	// OnFirstToken is called when the first token has been received; it may be
	// nil.
	OnFirstToken func()
	// Release is called once when the attempt has ended; it may be nil.
	Release func(Result)
}

// release reports to the picker how the attempt ended.
func (t Target) release(r Result) {
	if t.Release != nil {
		t.Release(r)
	}
}

// notifyFirstToken reports to the picker that the prompt has been computed.
func (t Target) notifyFirstToken() {
	if t.OnFirstToken != nil {
		t.OnFirstToken()
	}
}

// Notice announces that an instance is to be reclaimed.
type Notice struct {
	// Deadline is the time after which the instance may be gone. It must have a
	// monotonic clock reading.
	Deadline time.Time
}

// Result describes how an attempt ended.
type Result struct {
	// NextCause is the cause of the attempt that follows, or "" if the answer is
	// complete or the run was stopped.
	NextCause Cause
	// Unused: no attempt was opened, because the stream for which the target
	// was picked ended first.
	Unused bool
	// Leaving: the upstream refused because it is leaving, or gave notice.
	Leaving bool
	// FirstToken is the time from opening to the first token; 0 if there was
	// none.
	FirstToken time.Duration
	// Tokens is the number of new tokens that the attempt produced.
	Tokens int
	// Prefilled is the number of tokens that the engine had to prefill.
	Prefilled int
}

// Budget limits the retries after attempts without a new token.
type Budget interface {
	// Take reports whether one more attempt may be opened for the cause. It
	// charges the budget if the cause is not exempt.
	Take(req Request, cause Cause) bool
}

// Sink sends the events of a stream to its caller. A call may block while the
// caller is slow; it must return once the caller's context has ended.
type Sink interface {
	// Tokens sends consecutive tokens; index is that of the first one. The
	// slice must not be changed or appended to.
	Tokens(index uint32, tokens []string) error
	// Heartbeat shows the caller that the connection is alive.
	Heartbeat() error
}
