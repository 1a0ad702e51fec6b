package streaming

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	// nextCause is the cause of the attempt that must follow, or "" if the
	// answer is complete or the run was stopped.
	nextCause Cause
	// leaving: the upstream refused because it is leaving, or gave notice.
	leaving bool
	// tokens is the number of new tokens that the attempt produced.
	tokens int
	// err is the error of the engine or of the connection to it.
	err error
	// prepared is the next attempt's target if one was already picked, or nil.
	prepared *preparedTarget
}

// reason returns the reason that a caller is given if no attempt follows.
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
	// imported is the number of tokens that came with a moved KV cache.
	imported int
	number   uint32
	opened   time.Time
	// startIndex is the answer's length when the attempt was opened.
	startIndex uint32
	// firstToken is the time from opening to the first token; 0 until it has
	// been received.
	firstToken time.Duration
	prefilled  int
	// mayRecompute: an earlier attempt may already have computed the prefix.
	mayRecompute bool
}

// runAttempt runs one attempt at the target to its end and reports it.
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
	if end.err == nil || upstream.MayHaveRun(end.err) {
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

// serve opens the stream and handles its frames. The stream is closed when
// serve returns, and no later frame of it can reach the answer.
func (a *attempt) serve(ctx context.Context) attemptEnd {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	notices := newNoticeHandler(a)
	defer notices.stop()
	frames := receive(streamCtx, a.target.Engine, a.request())
	end := a.handleEvents(ctx, frames, notices)
	end.leaving = end.leaving || notices.noticed
	return end
}

// handleEvents handles frames, silence, a reclaim notice and the move of the KV
// cache until the attempt is over.
func (a *attempt) handleEvents(ctx context.Context, frames <-chan frameOrError, notices *noticeHandler) attemptEnd {
	limit := a.run.runner.config.SilenceLimit
	silence := time.NewTimer(limit)
	defer silence.Stop()
	// lost is how the stream ended, if it ended while its KV cache was still
	// being moved.
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
			if !notices.moving || end.nextCause != CauseLost {
				return end
			}
			// The stream was lost while its cache was being moved.
			// Wait for the end of the move: the cache may have been
			// exported in time.
			lost, frames = end, nil
			silence.Stop()
		case <-silence.C:
			return attemptEnd{nextCause: CauseSilent}
		case n, ok := <-a.target.Notice:
			a.target.Notice = nil
			if ok {
				notices.handle(ctx, n)
			}
		case <-notices.leaveDue:
			return attemptEnd{nextCause: CauseNotice}
		case m := <-notices.moveDone:
			notices.moving = false
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
		Prompt:    a.run.req.Params.Prompt,
		Delivered: a.run.assembler.Answer(),
		MaxTokens: a.run.req.Params.MaxTokens,
		Priority:  a.run.req.Priority,
	}
}

// handleFrame handles a frame or the error that ended the stream. It reports
// whether the attempt is over.
func (a *attempt) handleFrame(r frameOrError) (attemptEnd, bool) {
	if r.err != nil {
		return a.endOf(r.err), true
	}
	a.prefilled = max(a.prefilled, int(r.frame.PrefilledTokens))
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

// publishTokens makes the assembled tokens visible to the callers.
func (a *attempt) publishTokens() {
	if a.firstToken == 0 {
		a.firstToken = max(time.Since(a.opened), 1)
		a.target.notifyFirstToken()
	}
	a.run.answer.setTokens(a.run.assembler.Answer())
}

// endOf returns the end that an engine's error causes. A stream that ends
// without an error before the answer is complete counts as lost too.
func (a *attempt) endOf(err error) attemptEnd {
	if upstream.MayHaveRun(err) {
		return attemptEnd{nextCause: CauseLost, err: err}
	}
	return attemptEnd{nextCause: CauseRefused, err: err, leaving: errors.Is(err, upstream.ErrLeaving)}
}

// buildReport returns the report on the ended attempt.
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

// release reports to the picker how the attempt ended.
func (a *attempt) release(end attemptEnd) {
	a.target.release(Result{
		NextCause:  end.nextCause,
		Leaving:    end.leaving,
		FirstToken: a.firstToken,
		Tokens:     end.tokens,
		Prefilled:  a.prefilled,
	})
}
