package streaming

import (
	"context"
	"time"
)

// This file is about the time that entries are kept. All functions but serve
// and depart are called with the registry's lock held.

// start begins a run for the request, in place of the entry before, if any.
func (g *Registry) start(ctx context.Context, req Request, before *entry) *entry {
	if before != nil {
		g.remove(req.Key, before)
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
	go g.serve(runCtx, e, before)
	return e
}

// serve brings an entry to its end and tells its callers.
func (g *Registry) serve(ctx context.Context, e, before *entry) {
	defer g.runs.Done()
	defer e.cancel(nil)
	e.serve(ctx, g.runner, before)
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

// addCaller counts a caller in.
func (g *Registry) addCaller(e *entry) {
	e.callers++
	g.endIdle(e)
}

// removeCaller counts a caller out.
func (g *Registry) removeCaller(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.callers--
	if e.callers == 0 {
		g.beginIdle(e)
	}
}

// beginIdle begins an entry's time without a caller. While it runs it may linger,
// and once it has ended it is kept, each for a while.
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
	rests := e.idlePeriods
	e.timer = time.AfterFunc(wait, func() { g.expire(e, rests) })
	if g.idle.count(e.req.Key.Account) > g.config.IdleStreams {
		g.evict(g.idle.oldest(e.req.Key.Account))
	}
}

// endIdle ends an entry's time without a caller.
func (g *Registry) endIdle(e *entry) {
	if e.timer == nil {
		return
	}
	e.timer.Stop()
	e.timer = nil
	e.idlePeriods++
	g.idle.remove(e)
}

// expire ends a run that no caller came back to, or forgets an ended one. A
// timer that fires while a caller arrives finds that the rest it was for is over.
func (g *Registry) expire(e *entry, rests uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.idlePeriods != rests {
		return
	}
	if e.ended {
		g.remove(e.req.Key, e)
		return
	}
	e.cancel(errAbandoned)
}

// evict makes room by giving up an entry without a caller.
func (g *Registry) evict(e *entry) {
	e.cancel(errAbandoned)
	g.remove(e.req.Key, e)
}

// remove forgets an entry.
func (g *Registry) remove(key Key, e *entry) {
	g.endIdle(e)
	if g.entries[key] == e {
		delete(g.entries, key)
		streamsVar.Add(-1)
	}
}

// makeRoom reports whether one more entry may be kept. When there are too
// many, the account with the most entries without a caller loses its oldest.
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
