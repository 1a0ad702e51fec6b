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
	// nextCause is the cause of the attempt that has to follow, or "" when the
	// answer is whole or the run was stopped.
	nextCause Cause
	// leaving: the upstream refused since it is leaving, or gave notice.
	leaving bool
	// tokens is how many new tokens the attempt brought.
	tokens int
	// err is what the engine or its connection failed with.
	err error
	// prepared is the prepared target of the next attempt, or nil.
	prepared *preparedTarget
}

// reason returns what a caller is told when no attempt follows.
func (e attemptEnd) reason() outcome.Reason {
	if e.nextCause == CauseRefused {
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
	// startIndex is the answer's length when the attempt was opened.
	startIndex uint32
	firstToken time.Duration
	prefilled  int
	// afterOther: an earlier attempt may have computed the same prefix.
	mayRecompute bool
}

// runAttempt runs one attempt to its end.
func (r *run) runAttempt(ctx context.Context, at preparedTarget) attemptEnd {
	a := &attempt{
		run:          r,
		target:       at.target,
		cause:        r.cause,
		imported:     at.imported,
		number:       r.assembler.BeginAttempt(),
		opened:       time.Now(),
		startIndex:   r.assembler.NextIndex(),
		mayRecompute: r.mayHaveRun,
	}
	ctx, span := startSpan(ctx, a)
	end := a.serve(ctx)
	end.tokens = int(r.assembler.NextIndex() - a.startIndex)
	if end.err == nil || upstream.Ran(end.err) {
		r.mayHaveRun = true
		r.lastInstance = at.target.Instance
	}
	r.excluded.add(at.target.Instance, end)
	report := a.buildReport(end)
	endSpan(span, report)
	recordMetrics(report)
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
	watch := newNoticeHandler(a)
	defer watch.stop()
	frames := receive(streamCtx, a.target.Engine, a.request())
	end := a.handleEvents(ctx, frames, watch)
	end.leaving = end.leaving || watch.noticed
	return end
}

// handleEvents takes in what happens to the stream until the attempt is over.
func (a *attempt) handleEvents(ctx context.Context, frames <-chan frameOrError, watch *noticeHandler) attemptEnd {
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
			end, over := a.handleFrame(r)
			if !over {
				continue
			}
			if !watch.moving || end.nextCause != CauseLost {
				return end
			}
			// The upstream went while its cache was on the way to
			// another. Wait for the rest of the move: it may have
			// been exported in time.
			lost, frames = end, nil
			silence.Stop()
		case <-silence.C:
			return attemptEnd{nextCause: CauseSilent}
		case n, ok := <-a.target.Notice:
			a.target.Notice = nil
			if ok {
				watch.handle(ctx, n)
			}
		case <-watch.leaveDue:
			return attemptEnd{nextCause: CauseNotice}
		case m := <-watch.moveDone:
			watch.moving = false
			end := m.attemptEnd(lost)
			if end.nextCause != "" {
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

// handleFrame handles what came from the engine. It reports whether the attempt is
// over.
func (a *attempt) handleFrame(r frameOrError) (attemptEnd, bool) {
	if r.err != nil {
		return a.endOf(r.err), true
	}
	a.prefilled = max(a.prefilled, int(r.frame.Prefilled))
	switch a.run.assembler.Accept(r.frame) {
	case AnswerExtended:
		a.publishTokens()
	case AnswerCompleted:
		a.publishTokens()
		return attemptEnd{}, true
	case FrameRejected:
		return attemptEnd{nextCause: CauseFault}, true
	}
	return attemptEnd{}, false
}

// publishTokens tells the answer's new tokens.
func (a *attempt) publishTokens() {
	if a.firstToken == 0 {
		a.firstToken = max(time.Since(a.opened), 1)
		a.target.firstToken()
	}
	a.run.answer.setTokens(a.run.assembler.Answer())
}

// endOf says what an engine's error means. An end of the stream before the
// answer is whole is a loss like any other.
func (a *attempt) endOf(err error) attemptEnd {
	if upstream.Ran(err) {
		return attemptEnd{nextCause: CauseLost, err: err}
	}
	return attemptEnd{nextCause: CauseRefused, err: err, leaving: errors.Is(err, upstream.ErrLeaving)}
}

// buildReport says what the attempt did.
func (a *attempt) buildReport(end attemptEnd) AttemptReport {
	report := AttemptReport{
		Key:       a.run.req.Key,
		Attempt:   a.number,
		Instance:  a.target.Instance,
		Cause:     a.cause,
		NextCause: end.nextCause,
		Err:       end.err,
		Imported:  a.imported,
		Tokens:    end.tokens,
		Took:      time.Since(a.opened),
	}
	if end.nextCause == CauseFault {
		report.Fault = a.run.assembler.Fault()
	}
	if a.mayRecompute {
		report.Recomputed = a.prefilled
	}
	return report
}

// release tells the picker how the attempt ended.
func (a *attempt) release(end attemptEnd) {
	a.target.release(Result{
		Next:       end.nextCause,
		Leaving:    end.leaving,
		FirstToken: a.firstToken,
		Tokens:     end.tokens,
		Prefilled:  a.prefilled,
	})
}
