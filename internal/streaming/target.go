package streaming

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Cause says why an attempt is opened.
type Cause string

// The causes of an attempt.
const (
	// CauseFirst: nothing of the request has run yet.
	CauseFirst Cause = "first"
	// CauseRefused: the attempt before was refused or not sent.
	CauseRefused Cause = "refused"
	// CauseLost: the upstream or the connection broke.
	CauseLost Cause = "lost"
	// CauseSilent: the connection was silent for too long.
	CauseSilent Cause = "silent"
	// CauseFault: the engine sent frames that do not fit the answer.
	CauseFault Cause = "fault"
	// CauseNotice: the upstream is leaving and its cache stayed behind.
	CauseNotice Cause = "notice"
	// CauseMoved: the upstream is leaving and its cache was moved.
	CauseMoved Cause = "moved"
	// CauseResumed: an earlier run, here or at another gateway, served the
	// request before.
	CauseResumed Cause = "resumed"
)

// PickRequest is what a Picker needs to choose an engine.
type PickRequest struct {
	Request Request
	// Cause of the attempt to be opened.
	Cause Cause
	// Answer so far; the prompt of the next attempt is Ask.Prompt and these.
	Answer []string
	// Served is the instance of the last attempt, which may hold the prefix
	// in its cache; empty when there was none.
	Served ident.Instance
	// Exclude are instances that must not be chosen.
	Exclude []ident.Instance
}

// Picker chooses an engine for an attempt, where the prefix is cached best and
// the latency target is met. It may wait for room until ctx ends.
type Picker interface {
	// Pick errors: *Refusal when the request is refused with a time to come
	// back; any other error is told as a lack of upstreams.
	Pick(ctx context.Context, req PickRequest) (Target, error)
}

// Refusal is a Picker's answer that no engine will serve a request.
type Refusal struct {
	Reason     outcome.Reason
	Message    string
	RetryAfter time.Duration
}

// Error returns the message for a person.
func (r *Refusal) Error() string { return r.Message }

// Target is where an attempt goes.
type Target struct {
	Instance ident.Instance
	Engine   upstream.Engine
	// Notice gets one value when the instance is to be reclaimed; nil when
	// notices are not known. The channel belongs to this target alone.
	Notice <-chan Notice
	// FirstToken is called when the first token has come; it may be nil.
	FirstToken func()
	// Release is called once when the attempt has ended; it may be nil.
	Release func(Result)
}

// release tells the picker how the attempt ended.
func (t Target) release(r Result) {
	if t.Release != nil {
		t.Release(r)
	}
}

// firstToken tells the picker that the prompt is computed.
func (t Target) firstToken() {
	if t.FirstToken != nil {
		t.FirstToken()
	}
}

// Notice tells that an instance is to be reclaimed.
type Notice struct {
	// Deadline after which the instance may be gone. It must hold a
	// monotonic reading.
	Deadline time.Time
}

// Result is how an attempt ended.
type Result struct {
	// Next is the cause of the attempt that follows, or "" when the answer
	// is whole or the request was given up on.
	Next Cause
	// Unused: no attempt was opened, since the stream for which the target
	// was picked had ended meanwhile.
	Unused bool
	// Leaving: the upstream refused because it is leaving, or gave notice.
	Leaving bool
	// FirstToken is the time from opening to the first token; 0 when none
	// came.
	FirstToken time.Duration
	// Tokens is how many new tokens the attempt brought.
	Tokens int
	// Prefilled is how many tokens the engine had to prefill.
	Prefilled int
}

// Budget limits attempts that follow one without any new token.
type Budget interface {
	// Take reports whether one more attempt may be opened for the cause.
	Take(req Request, cause Cause) bool
}

// Sink takes the events of a stream to its caller. A call may block while the
// caller is slow; it must return once the caller's context has ended.
type Sink interface {
	// Tokens delivers consecutive tokens, the first with this index. The
	// slice must not be changed or appended to.
	Tokens(index uint32, tokens []string) error
	// Heartbeat proves to the caller that the connection is alive.
	Heartbeat() error
}
