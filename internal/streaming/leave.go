package streaming

import (
	"context"
	"time"
)

// leavePlan says what a stream does after a reclaim notice for its upstream.
type leavePlan int

// The plans. With each of them, the stream leaves the upstream at the latest
// Config.LeaveMargin before the deadline of the notice.
const (
	// planFinish: the answer will be complete in time.
	planFinish leavePlan = iota
	// planMove: move the KV cache to another engine, which then does not
	// have to compute it again.
	planMove
	// planStay: there is no time to move the KV cache. Stay as long as
	// possible, since another engine need not generate the tokens that this
	// one still delivers.
	planStay
)

// planLeave chooses the plan. left is the time until the stream must leave,
// remaining the number of tokens still to come, interval the mean time between
// two tokens or 0 if unknown, and minMoveTime the least time in which a move is
// tried.
func planLeave(left time.Duration, remaining uint32, interval, minMoveTime time.Duration) leavePlan {
	if interval > 0 && time.Duration(remaining)*interval <= left {
		return planFinish
	}
	if left >= minMoveTime {
		return planMove
	}
	return planStay
}

// noticeHandler handles a reclaim notice of one attempt's upstream.
type noticeHandler struct {
	attempt *attempt
	// noticed: a notice was received.
	noticed bool
	// leaveDue fires when the stream must leave the upstream; nil until a notice
	// is received.
	leaveDue <-chan time.Time
	timer    *time.Timer
	// moving: a move is in progress; its result is sent on moveDone.
	moving   bool
	moveDone chan moveResult
	cancel   context.CancelFunc
}

func newNoticeHandler(a *attempt) *noticeHandler { return &noticeHandler{attempt: a} }

// handle starts what the plan for the remaining time requires.
func (h *noticeHandler) handle(ctx context.Context, n Notice) {
	config := h.attempt.run.runner.config
	left := time.Until(n.Deadline) - config.LeaveMargin
	h.noticed = true
	h.timer = time.NewTimer(left)
	h.leaveDue = h.timer.C
	remaining := h.attempt.run.req.Params.MaxTokens - h.attempt.run.assembler.NextIndex()
	if planLeave(left, remaining, h.attempt.tokenInterval(), config.MinMoveTime) != planMove {
		return
	}
	h.moving = true
	h.moveDone = make(chan moveResult)
	moveCtx, cancel := context.WithTimeout(ctx, left)
	h.cancel = cancel
	go h.attempt.newMove().run(moveCtx, h.moveDone)
}

// stop ends the handling. A move that is still in progress is cancelled and
// releases its target itself.
func (h *noticeHandler) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
	if h.cancel != nil {
		h.cancel()
	}
}

// tokenInterval returns the mean time between two tokens of the attempt, or 0
// if too few have been received.
func (a *attempt) tokenInterval() time.Duration {
	const minTokens = 4
	tokens := a.run.assembler.NextIndex() - a.startIndex
	if tokens < minTokens {
		return 0
	}
	return (time.Since(a.opened) - a.firstToken) / time.Duration(tokens-1)
}
