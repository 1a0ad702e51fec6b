package streaming

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Runner brings the answers of a registry to their ends.
type Runner struct {
	config   Config
	picker   Picker
	budget   Budget
	observer Observer
	moves    chan struct{}
}

// NewRunner returns a runner. Budget and observer may be nil.
func NewRunner(config Config, picker Picker, budget Budget, observer Observer) *Runner {
	return &Runner{
		config:   config,
		picker:   picker,
		budget:   budget,
		observer: observer,
		moves:    make(chan struct{}, config.MaxConcurrentMoves),
	}
}

// run is the state of one answer.
type run struct {
	runner *Runner
	req    Request
	// answer is told each new token.
	answer    *answer
	assembler *Assembler
	// cause of the next attempt.
	cause Cause
	// lastInstance is the instance of the last attempt.
	lastInstance ident.Instance
	// excluded are instances that must not be tried again.
	excluded exclusions
	// ran: some attempt may have run, here or elsewhere.
	mayHaveRun bool
	// fruitless counts attempts since the last new token.
	fruitless int
}

func newRun(r *Runner, req Request, answer *answer) *run {
	cause := CauseFirst
	ran := len(req.Delivered) > 0 || req.Attempt > 0
	if ran {
		cause = CauseResumed
	}
	return &run{
		runner:       r,
		req:          req,
		answer:       answer,
		assembler:    NewAssembler(req.Delivered, req.Ask.MaxTokens, req.Attempt),
		cause:        cause,
		lastInstance: req.Served,
		mayHaveRun:   ran,
	}
}

// loop opens attempts until the answer is whole or the request is given up on,
// which is told at once. The cause with which ctx is cancelled chooses the
// words of the outcome; see stopped.
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

// beforeRetry decides whether another attempt may come after one that ended.
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
	// A leaving engine is excluded, so that the next one is another.
	if !end.leaving && !r.backOff(ctx) {
		stopped := r.stopOutcome(ctx)
		return &stopped
	}
	return nil
}

// budgetAllows asks the retry budget. An attempt that brought new tokens is
// followed for free: when an engine with many streams is lost, its streams
// replace attempts that are gone, and giving them up would throw away what
// they have computed. Only attempts without success can add up to a retry
// storm. A leaving engine refuses a request once and is then excluded.
func (r *run) budgetAllows(end attemptEnd) bool {
	budget := r.runner.budget
	if budget == nil || end.tokens > 0 || end.leaving {
		return true
	}
	return budget.Take(r.req, r.cause)
}

// backOff waits longer after each fruitless attempt but the first, so that a
// request without a working engine does not load all engines. It reports
// whether ctx is still open.
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

// retryAfter returns when a caller given up on should come back.
func (r *run) retryAfter() time.Duration { return jitter(r.runner.config.MinRetryAfter) }
