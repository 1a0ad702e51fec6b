package waiting

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// serviceQueue is the queue of the calls that wait for one service.
type serviceQueue struct {
	room    *Room
	service ident.Service

	// mu guards the fields below. Nobody holds it while waiting.
	mu    sync.Mutex
	order *Queue
	// full are the kinds of calls for which the last search found no place, with the choice that said so.
	full map[callKind]forward.Choice
	// wakeAt is when wakeTimer wakes the queue, because upstreams may accept calls again then; zero if
	// nothing is known to end.
	wakeAt    time.Time
	wakeTimer *time.Timer
}

// waiting returns the number of waiting calls.
func (q *serviceQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.Len()
}

// keepAccounts drops what is kept of the other accounts that have nothing waiting.
func (q *serviceQueue) keepAccounts(accounts map[ident.ClientAccount]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.KeepAccounts(func(name ident.ClientAccount) bool { return accounts[name] })
}

// tryAtOnce chooses for a call if nobody waits.
func (q *serviceQueue) tryAtOnce(w *Waiter) (forward.Choice, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.order.Len() > 0 {
		return forward.Choice{}, false
	}
	return q.chooseCharged(w, q.room.cfg.Now())
}

// begin chooses for a call at once if nobody waits before it, or if its time to wait is over. Otherwise, or
// if no place is found that it may wait for, the call begins to wait.
func (q *serviceQueue) begin(w *Waiter) (choice forward.Choice, found, waits bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.room.cfg.Now()
	first, mayWait := q.order.Len() == 0, now.Before(w.LatestStart)
	if first || !mayWait {
		choice, found = q.chooseCharged(w, now)
		if found || !mayWait || choice.BlockedPast(w.LatestStart) {
			return choice, found, false
		}
	}
	if !q.add(w, now) {
		return callOf(w).lastChoice, false, false
	}
	if !first && !q.foundFullFor(w) {
		q.grant(now)
	}
	return forward.Choice{}, false, true
}

// foundFullFor reports whether the last search found no place for a call like this one. Nothing has become
// free since, as far as is known.
func (q *serviceQueue) foundFullFor(w *Waiter) bool {
	c := callOf(w)
	choice, full := q.full[c.kind]
	return full && choice.Blocked == 0
}

// add makes a call wait, with the standing that it has in the present configuration, and reports whether it
// may.
func (q *serviceQueue) add(w *Waiter, now time.Time) bool {
	c := callOf(w)
	s := standingOf(c.call, q.room.cfg.Table())
	if s.block != 0 {
		c.lastChoice = forward.Choice{Blocked: s.block}
		q.recordRefusal(w, s.block.String(), now)
		return false
	}
	w.Priority = s.priority
	refused := q.order.Add(w, now)
	if refused == nil {
		return true
	}
	callOf(refused).lastChoice.Blocked, callOf(refused).lastChoice.BlockedUntil = forward.BlockedByQueue, time.Time{}
	if refused == w {
		q.recordRefusal(w, queueFull, now)
		return false
	}
	q.refuse(refused, evicted, now)
	return true
}

// choose asks the placement for a place for a call.
func (q *serviceQueue) choose(w *Waiter, now time.Time) (forward.Choice, bool) {
	c := callOf(w)
	choice, found := q.room.Placement.Choose(c.call, c.exclude, now)
	if found {
		choice.Held = &held{call: c.call, grantedAt: now, reading: c.reading}
		return choice, true
	}
	c.lastChoice = choice
	if choice.Blocked != 0 && choice.BlockedUntil.After(now) {
		q.wakeBy(choice.BlockedUntil, now)
	}
	return choice, false
}

// chooseCharged is choose for a call that isn't in the queue.
func (q *serviceQueue) chooseCharged(w *Waiter, now time.Time) (forward.Choice, bool) {
	choice, found := q.choose(w, now)
	if found {
		q.order.Charge(w)
	}
	return choice, found
}

// wakeBy wakes the queue at a time, unless it will be woken before.
func (q *serviceQueue) wakeBy(at, now time.Time) {
	if !q.wakeAt.IsZero() && q.wakeAt.After(now) && !at.Before(q.wakeAt) {
		return
	}
	if q.wakeTimer != nil {
		q.wakeTimer.Stop()
	}
	q.wakeAt = at
	q.wakeTimer = time.AfterFunc(at.Sub(now), q.wake)
}

// wake offers the free places to the waiting calls.
func (q *serviceQueue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grant(q.room.cfg.Now())
}

// grant gives free places to waiting calls in their order.
func (q *serviceQueue) grant(now time.Time) {
	q.full = nil
	if q.order.Len() == 0 {
		return
	}
	s := newSearch(q, now)
	for {
		w := q.order.first(now, s.judge)
		if w == nil {
			break
		}
		q.room.stats.granted(q.service, now.Sub(w.ArrivedAt))
		callOf(w).ended <- waitEnd{s.choice, true}
	}
	q.full = s.full
	for _, w := range s.blocked {
		q.order.Remove(w)
		q.refuse(w, callOf(w).lastChoice.Blocked.String(), now)
	}
}

// reconfigure applies a configuration to the waiting calls.
func (q *serviceQueue) reconfigure(table *routetable.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.room.cfg.Now()
	for _, w := range q.order.Waiters() {
		s := standingOf(callOf(w).call, table)
		switch {
		case s.block != 0:
			q.order.Remove(w)
			callOf(w).lastChoice = forward.Choice{Blocked: s.block}
			q.refuse(w, s.block.String(), now)
		case s.priority != w.Priority:
			q.order.Remove(w)
			w.Priority = s.priority
			if q.order.Add(w, now) == w {
				q.refuse(w, waitOver, now)
			}
		}
	}
	q.grant(now)
}

// await waits until the call of a waiter gets a place or may wait no longer.
func (q *serviceQueue) await(ctx context.Context, w *Waiter) waitEnd {
	timer := time.NewTimer(w.LatestStart.Sub(q.room.cfg.Now()))
	defer timer.Stop()
	select {
	case end := <-callOf(w).ended:
		return q.unlessGone(ctx, end)
	case <-ctx.Done():
		return q.leave(ctx, w)
	case <-timer.C:
		return q.unlessGone(ctx, q.askLast(w))
	}
}

// leave ends the wait of a call whose context has ended.
func (q *serviceQueue) leave(ctx context.Context, w *Waiter) waitEnd {
	reason := callerLeft
	if errors.Is(context.Cause(ctx), forward.ErrTimeOver) {
		reason = timeOver
	}
	q.mu.Lock()
	if q.order.Remove(w) {
		q.refuse(w, reason, q.room.cfg.Now())
	}
	q.mu.Unlock()
	return q.unlessGone(ctx, <-callOf(w).ended)
}

// unlessGone returns how a wait ended. A place that was found when the call had ended at the same moment
// goes to the next one.
func (q *serviceQueue) unlessGone(ctx context.Context, end waitEnd) waitEnd {
	if !end.found || ctx.Err() == nil {
		return end
	}
	q.room.Finished(end.choice, forward.Withdrawn, q.room.cfg.Now())
	return waitEnd{}
}

// askLast ends the wait of a call whose time to wait is over. Places may have become free without an event:
// the calls before it are asked first, and then it.
func (q *serviceQueue) askLast(w *Waiter) waitEnd {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.room.cfg.Now()
	q.grant(now)
	if !q.order.Remove(w) {
		return <-callOf(w).ended
	}
	if !now.Before(callOf(w).call.Expires) { // the process stood still
		q.recordRefusal(w, timeOver, now)
		return waitEnd{callOf(w).lastChoice, false}
	}
	choice, found := q.chooseCharged(w, now)
	if !found {
		q.recordRefusal(w, waitOver, now)
		return waitEnd{choice, false}
	}
	q.room.stats.granted(q.service, now.Sub(w.ArrivedAt))
	return waitEnd{choice, true}
}

// refuse ends the wait of a call that has left the queue.
func (q *serviceQueue) refuse(w *Waiter, reason string, now time.Time) {
	q.recordRefusal(w, reason, now)
	callOf(w).ended <- waitEnd{callOf(w).lastChoice, false}
}

// The reasons of refusals beside those of forward.Block.
const (
	queueFull  = "too many calls wait, this account has most beyond its part"
	evicted    = "made room for a call of an account with less"
	waitOver   = "no place within the wait"
	timeOver   = "the time of the call is over"
	callerLeft = "the caller left"
)

// recordRefusal counts and logs a call that gets no place by waiting.
func (q *serviceQueue) recordRefusal(w *Waiter, reason string, now time.Time) {
	q.room.stats.refused(q.service, reason)
	q.room.cfg.Log.Info("wait ended without a place", "id", callOf(w).call.ID, "service", q.service, "account", w.Account, "priority", w.Priority,
		"cost_ms", int(w.Cost*1000), "waited_ms", now.Sub(w.ArrivedAt).Milliseconds(), "waiters", q.order.Len(), "reason", reason,
		"passed_over", callOf(w).lastChoice.PassedOver)
}
