package streaming

import (
	"context"
	"time"
)

// This file decides how long entries are kept. Except for serve, removeCaller
// and expire, the callers of its functions hold the registry's lock.

// start begins a run for the request. Its entry replaces the given one, if that
// is not nil.
func (g *Registry) start(ctx context.Context, req Request, replaced *entry) *entry {
	if replaced != nil {
		g.remove(req.Key, replaced)
	}
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	e := &entry{
		req:    req,
		answer: newAnswer(req.Delivered),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	g.entries[req.Key] = e
	streamsVar.Add(1)
	g.runs.Add(1)
	go g.serve(runCtx, e, replaced)
	return e
}

// serve runs an entry's request to its end and publishes the outcome to its
// callers.
func (g *Registry) serve(ctx context.Context, e, replaced *entry) {
	defer g.runs.Done()
	defer e.cancel(nil)
	e.serve(ctx, g.runner, replaced)
	g.mu.Lock()
	defer g.mu.Unlock()
	e.ended = true
	if !e.finalWithheld || g.handOverDone {
		e.answer.end(e.final)
	}
	if e.callers == 0 {
		g.beginIdle(e)
	}
}

// addCaller counts a caller that begins to follow the entry.
func (g *Registry) addCaller(e *entry) {
	e.callers++
	g.endIdle(e)
}

// removeCaller counts a caller that no longer follows the entry.
func (g *Registry) removeCaller(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.callers--
	if e.callers == 0 {
		g.beginIdle(e)
	}
}

// beginIdle starts an entry's period without a caller. A run in progress goes
// on for Config.Linger, and an ended one is kept for Config.KeepEnded.
func (g *Registry) beginIdle(e *entry) {
	g.endIdle(e)
	if g.entries[e.req.Key] != e {
		return
	}
	wait := g.config.Linger
	if e.ended {
		wait = g.config.KeepEnded
	}
	g.idle.add(e)
	period := e.idlePeriods
	e.timer = time.AfterFunc(wait, func() { g.expire(e, period) })
	if g.idle.count(e.req.Key.Account) > g.config.MaxIdleStreams {
		g.evict(g.idle.oldest(e.req.Key.Account))
	}
}

// endIdle ends an entry's period without a caller.
func (g *Registry) endIdle(e *entry) {
	if e.timer == nil {
		return
	}
	e.timer.Stop()
	e.timer = nil
	e.idlePeriods++
	g.idle.remove(e)
}

// expire cancels a run to which no caller came back, or removes an ended one.
// If the timer fires while a caller arrives, the number of the idle period has
// changed and expire does nothing.
func (g *Registry) expire(e *entry, period uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.idlePeriods != period {
		return
	}
	if e.ended {
		g.remove(e.req.Key, e)
		return
	}
	e.cancel(errAbandoned)
}

// evict cancels and removes an entry without a caller, to make room for another
// one.
func (g *Registry) evict(e *entry) {
	e.cancel(errAbandoned)
	g.remove(e.req.Key, e)
}

// remove deletes an entry from the registry. Its run goes on until it is
// cancelled.
func (g *Registry) remove(key Key, e *entry) {
	g.endIdle(e)
	if g.entries[key] == e {
		delete(g.entries, key)
		streamsVar.Add(-1)
	}
}

// makeRoom reports whether one more entry may be kept. If the registry is full,
// it evicts the longest idle entry of the account with the most idle entries.
func (g *Registry) makeRoom() bool {
	if len(g.entries) < g.config.MaxStreams {
		return true
	}
	account, ok := g.idle.largest()
	if !ok {
		return false
	}
	g.evict(g.idle.oldest(account))
	return true
}
