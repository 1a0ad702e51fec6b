package streaming

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Runner produces the answers of a registry's streams.
type Runner struct {
	config   Config
	picker   Picker
	budget   Budget
	observer Observer
	// moves holds one value for each KV cache that is being moved.
	moves chan struct{}
}

// NewRunner returns a runner. budget and observer may be nil.
func NewRunner(config Config, picker Picker, budget Budget, observer Observer) *Runner {
	return &Runner{
		config:   config,
		picker:   picker,
		budget:   budget,
		observer: observer,
		moves:    make(chan struct{}, config.MaxConcurrentMoves),
	}
}

// run produces one answer.
type run struct {
	runner *Runner
	req    Request
	// answer is where callers follow the tokens.
	answer    *answer
	assembler *Assembler
	// cause of the next attempt.
	cause Cause
	// lastInstance is the instance of the last attempt that may have run.
	lastInstance ident.Instance
	// excluded holds the instances that must not be tried again.
	excluded exclusions
	// mayHaveRun: an attempt of this request may have run, here or at another
	// gateway.
	mayHaveRun bool
	// fruitless is the number of attempts since the last new token.
	fruitless int
}

func newRun(r *Runner, req Request, answer *answer) *run {
	cause := CauseFirst
	mayHaveRun := len(req.Delivered) > 0 || req.LastAttempt > 0
	if mayHaveRun {
		cause = CauseResumed
	}
	return &run{
		runner:       r,
		req:          req,
		answer:       answer,
		assembler:    NewAssembler(req.Delivered, req.Params.MaxTokens, req.LastAttempt),
		cause:        cause,
		lastInstance: req.LastInstance,
		mayHaveRun:   mayHaveRun,
	}
}

// loop opens attempts until the answer is complete or the request is given up,
// and returns the outcome. The cause with which ctx is cancelled determines the
// outcome of a stopped run; see stopOutcome.
func (r *run) loop(ctx context.Context) outcome.Outcome {
	var next *preparedTarget
	for !r.assembler.Complete() {
		if next == nil {
			target, refused := r.pick(ctx)
			if refused != nil {
				return *refused
			}
			next = &preparedTarget{target: target}
		}
		end := r.runAttempt(ctx, *next)
		next = end.prepared
		if r.assembler.Complete() {
			break
		}
		if ctx.Err() != nil {
			next.release()
			return r.stopOutcome(ctx)
		}
		if refused := r.beforeRetry(ctx, end); refused != nil {
			next.release()
			return *refused
		}
	}
	return outcome.Outcome{Kind: outcome.Completed}
}

// beforeRetry applies the limits on retries and backs off before the next
// attempt. It returns the final outcome if no attempt may follow the one that
// ended, or nil.
func (r *run) beforeRetry(ctx context.Context, end attemptEnd) *outcome.Outcome {
	r.cause = end.nextCause
	r.fruitless++
	if end.tokens > 0 {
		r.fruitless = 0
	}
	if r.fruitless >= r.runner.config.MaxFruitlessAttempts {
		return r.giveUpOutcome(end.reason(), "no engine brought the answer further", r.retryAfter())
	}
	if !r.budgetAllows(end) {
		return r.giveUpOutcome(outcome.ReasonOverloaded, "too many retries at this time", r.retryAfter())
	}
	// An engine that is leaving is excluded, so the next attempt goes to
	// another one and needs no pause.
	if !end.leaving && !r.backOff(ctx) {
		stopped := r.stopOutcome(ctx)
		return &stopped
	}
	return nil
}

// budgetAllows reports whether the retry budget allows another attempt. The
// budget is not charged after an attempt with new tokens: when an engine with
// many streams is lost, the new attempts replace those that ended, and giving
// the streams up would discard what they have computed. Only attempts without a
// new token can add up to a retry storm. It is not charged either after a
// refusal by an engine that is leaving, because that engine refuses the request
// once and is then excluded.
func (r *run) budgetAllows(end attemptEnd) bool {
	budget := r.runner.budget
	if budget == nil || end.tokens > 0 || end.leaving {
		return true
	}
	return budget.Take(r.req, r.cause)
}

// backOff waits before a retry, longer after each fruitless attempt in a row,
// and not at all after the first. This keeps a request for which no engine
// works from loading all engines. It returns false if ctx ended first.
func (r *run) backOff(ctx context.Context) bool {
	const freeRetries = 1
	if r.fruitless <= freeRetries {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(r.runner.config.Backoff.Delay(r.fruitless-freeRetries, r.req.Key.Request)):
		return true
	}
}

// jitter returns a random time between d and 2d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return d
	}
	return d + rand.N(d)
}

// retryAfter returns the retry-after time for a caller whose request is given
// up.
func (r *run) retryAfter() time.Duration { return jitter(r.runner.config.MinRetryAfter) }
