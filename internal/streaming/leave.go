package streaming

import (
	"context"
	"time"
)

// leavePlan says what a stream does when its upstream gives notice.
type leavePlan int

// The plans. Whichever is chosen, the stream leaves when its time is up.
const (
	// planFinish: the answer will be whole in time.
	planFinish leavePlan = iota
	// planMove: move the KV cache to another engine, so that nothing has to
	// be computed again.
	planMove
	// planStay: there is no time to move the cache. Every token that still
	// comes from here needs no other engine.
	planStay
)

// planLeave chooses the plan. Left is the time until the stream has to leave,
// remaining the tokens to come, step the time between two of them or 0 when it
// is not known.
func planLeave(left time.Duration, remaining uint32, step, moveTime time.Duration) leavePlan {
	if step > 0 && time.Duration(remaining)*step <= left {
		return planFinish
	}
	if left >= moveTime {
		return planMove
	}
	return planStay
}

// noticeHandler handles the notice of one attempt's upstream.
type noticeHandler struct {
	attempt *attempt
	noticed bool
	// leaveDue fires when the stream has to leave the upstream.
	leaveDue <-chan time.Time
	timer    *time.Timer
	// moving: a move is under way, which ends on arrived.
	moving   bool
	moveDone chan moveResult
	cancel   context.CancelFunc
}

func newNoticeHandler(a *attempt) *noticeHandler { return &noticeHandler{attempt: a} }

// handle begins what the plan says.
func (w *noticeHandler) handle(ctx context.Context, n Notice) {
	config := w.attempt.run.runner.config
	left := time.Until(n.Deadline) - config.LeaveMargin
	w.noticed = true
	w.timer = time.NewTimer(left)
	w.leaveDue = w.timer.C
	remaining := w.attempt.run.req.Ask.MaxTokens - w.attempt.run.assembler.NextIndex()
	if planLeave(left, remaining, w.attempt.tokenInterval(), config.MinMoveTime) != planMove {
		return
	}
	w.moving = true
	w.moveDone = make(chan moveResult)
	moveCtx, cancel := context.WithTimeout(ctx, left)
	w.cancel = cancel
	go w.attempt.newMove().run(moveCtx, w.moveDone)
}

// stop ends the watch. A move whose end nobody waits for any more gives its
// target back by itself.
func (w *noticeHandler) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.cancel != nil {
		w.cancel()
	}
}

// tokenInterval returns the mean time between two tokens of the attempt, or 0 when too
// few have come.
func (a *attempt) tokenInterval() time.Duration {
	const enough = 4
	tokens := a.run.assembler.NextIndex() - a.startIndex
	if tokens < enough {
		return 0
	}
	return (time.Since(a.opened) - a.firstToken) / time.Duration(tokens-1)
}
