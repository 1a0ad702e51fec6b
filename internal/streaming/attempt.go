package streaming

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	// next is the cause of the attempt that has to follow, or "" when the
	// answer is whole or the run was stopped.
	next Cause
	// leaving: the upstream refused since it is leaving, or gave notice.
	leaving bool
	// tokens is how many new tokens the attempt brought.
	tokens int
	// err is what the engine or its connection failed with.
	err error
	// moved is the prepared target of the next attempt, or nil.
	moved *moved
}

// reason returns what a caller is told when no attempt follows.
func (e attemptEnd) reason() outcome.Reason {
	if e.next == CauseRefused {
		return outcome.ReasonUpstreamRefused
	}
	return outcome.ReasonUpstreamLost
}

// attempt is the state of one attempt.
type attempt struct {
	run    *run
	target Target
	cause  Cause
	// imported is how many tokens came with a moved cache.
	imported int
	number   uint32
	opened   time.Time
	// before is the answer's length when the attempt was opened.
	before     uint32
	firstToken time.Duration
	prefilled  int
	// afterOther: an earlier attempt may have computed the same prefix.
	afterOther bool
}

// attempt runs one attempt to its end.
func (r *run) attempt(ctx context.Context, at moved) attemptEnd {
	a := &attempt{
		run:        r,
		target:     at.target,
		cause:      r.cause,
		imported:   at.imported,
		number:     r.assembler.Begin(),
		opened:     time.Now(),
		before:     r.assembler.Next(),
		afterOther: r.ran,
	}
	ctx, span := startSpan(ctx, a)
	end := a.serve(ctx)
	end.tokens = int(r.assembler.Next() - a.before)
	if end.err == nil || upstream.Ran(end.err) {
		r.ran = true
		r.served = at.target.Instance
	}
	r.excluded.add(at.target.Instance, end)
	report := a.report(end)
	endSpan(span, report)
	publish(report)
	if observer := r.runner.observer; observer != nil {
		observer.AttemptEnded(report)
	}
	a.release(end)
	return end
}

// serve opens the stream and takes its frames in. The stream is closed when
// serve returns, and no later frame of it can reach the answer.
func (a *attempt) serve(ctx context.Context) attemptEnd {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := newLeaveWatch(a)
	defer watch.stop()
	frames := receive(streamCtx, a.target.Engine, a.request())
	end := a.collect(ctx, frames, watch)
	end.leaving = end.leaving || watch.noticed
	return end
}

// collect takes in what happens to the stream until the attempt is over.
func (a *attempt) collect(ctx context.Context, frames <-chan received, watch *leaveWatch) attemptEnd {
	limit := a.run.runner.config.SilenceLimit
	silence := time.NewTimer(limit)
	defer silence.Stop()
	// lost is the end of the stream while its cache is still being moved.
	var lost attemptEnd
	for {
		select {
		case <-ctx.Done():
			return attemptEnd{}
		case r := <-frames:
			silence.Reset(limit)
			end, over := a.take(r)
			if !over {
				continue
			}
			if !watch.moving || end.next != CauseLost {
				return end
			}
			// The upstream went while its cache was on the way to
			// another. Wait for the rest of the move: it may have
			// been exported in time.
			lost, frames = end, nil
			silence.Stop()
		case <-silence.C:
			return attemptEnd{next: CauseSilent}
		case n, ok := <-a.target.Notice:
			a.target.Notice = nil
			if ok {
				watch.notice(ctx, n)
			}
		case <-watch.due:
			return attemptEnd{next: CauseNotice}
		case m := <-watch.arrived:
			watch.moving = false
			end := m.after(lost)
			if end.next != "" {
				return end
			}
		}
	}
}

func (a *attempt) request() upstream.GenerateRequest {
	return upstream.GenerateRequest{
		Request:   a.run.req.Key.engineID(),
		Attempt:   a.number,
		Prompt:    a.run.req.Ask.Prompt,
		Delivered: a.run.assembler.Answer(),
		MaxTokens: a.run.req.Ask.MaxTokens,
		Priority:  a.run.req.Priority,
	}
}

// take handles what came from the engine. It reports whether the attempt is
// over.
func (a *attempt) take(r received) (attemptEnd, bool) {
	if r.err != nil {
		return a.failed(r.err), true
	}
	a.prefilled = max(a.prefilled, int(r.frame.Prefilled))
	switch a.run.assembler.Accept(r.frame) {
	case Extended:
		a.extended()
	case Completed:
		a.extended()
		return attemptEnd{}, true
	case Condemned:
		return attemptEnd{next: CauseFault}, true
	}
	return attemptEnd{}, false
}

// extended tells the answer's new tokens.
func (a *attempt) extended() {
	if a.firstToken == 0 {
		a.firstToken = max(time.Since(a.opened), 1)
		a.target.firstToken()
	}
	a.run.answer.extend(a.run.assembler.Answer())
}

// failed says what an engine's error means. An end of the stream before the
// answer is whole is a loss like any other.
func (a *attempt) failed(err error) attemptEnd {
	if upstream.Ran(err) {
		return attemptEnd{next: CauseLost, err: err}
	}
	return attemptEnd{next: CauseRefused, err: err, leaving: errors.Is(err, upstream.ErrLeaving)}
}

// report says what the attempt did.
func (a *attempt) report(end attemptEnd) AttemptReport {
	report := AttemptReport{
		Key:      a.run.req.Key,
		Attempt:  a.number,
		Instance: a.target.Instance,
		Cause:    a.cause,
		Next:     end.next,
		Err:      end.err,
		Imported: a.imported,
		Tokens:   end.tokens,
		Took:     time.Since(a.opened),
	}
	if end.next == CauseFault {
		report.Fault = a.run.assembler.Fault()
	}
	if a.afterOther {
		report.Recomputed = a.prefilled
	}
	return report
}

// release tells the picker how the attempt ended.
func (a *attempt) release(end attemptEnd) {
	a.target.release(Result{
		Next:       end.next,
		Leaving:    end.leaving,
		FirstToken: a.firstToken,
		Tokens:     end.tokens,
		Prefilled:  a.prefilled,
	})
}
