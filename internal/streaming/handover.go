package streaming

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// HandedStream is a stream in progress that a leaving gateway hands over to a peer.
type HandedStream struct {
	Key    Key
	Params Params
	// Priority as in Request.
	Priority int32
	// Remaining is the time until the deadline; 0 means no deadline.
	Remaining time.Duration
	// Delivered are all tokens that any caller may have received.
	Delivered []string
	// LastAttempt is the number of the last attempt that was opened.
	LastAttempt uint32
	// LastInstance is the instance of that attempt.
	LastInstance ident.Instance
}

// Peer is another gateway, in another failure domain.
type Peer interface {
	// HandOver offers streams to the peer and returns the keys of those that the
	// peer has accepted. The others stay at the sender.
	HandOver(ctx context.Context, streams []HandedStream) ([]Key, error)
}

// LeaveReport counts what happened to the streams of a leaving gateway.
type LeaveReport struct {
	// HandedOver streams continue at a peer.
	HandedOver int
	// NotHandedOver streams were accepted by no peer. Their callers resume with
	// the tokens that they have.
	NotHandedOver int
}

// The bounds of one hand-over message; bytes as HandedStream.size estimates them.
const (
	maxBatchStreams = 64
	maxBatchBytes   = 1 << 20
)

// Leave shuts the registry down: it refuses new streams, lets those in progress
// end within grace, which may be 0, and hands the rest over to the first peers
// that accept them. Callers are then told that they may resume elsewhere at once.
// Leave returns when no caller follows a stream any more, or when ctx ends.
func (g *Registry) Leave(ctx context.Context, grace time.Duration, peers []Peer) LeaveReport {
	g.startLeaving()
	graceCtx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	g.waitWhile(graceCtx, (*Registry).hasActiveStreams)
	report := g.handOver(ctx, peers)
	g.publishWithheldOutcomes()
	g.waitWhile(ctx, (*Registry).hasCallers)
	return report
}

// Accept accepts streams from a leaving peer and returns the keys of those that
// go on here. Without a caller they run for Config.Linger, like a stream whose
// caller has disconnected.
func (g *Registry) Accept(streams []HandedStream) []Key {
	var accepted []Key
	for _, s := range streams {
		if g.accept(s) {
			accepted = append(accepted, s.Key)
		}
	}
	return accepted
}

// accept accepts one stream. It reports whether the stream goes on here.
func (g *Registry) accept(s HandedStream) bool {
	req := s.request()
	if req.validate(g.config.MaxTokens) != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[req.Key]
	if g.refusalOf(e, req.Params) != nil {
		return false
	}
	// The caller resumed here before the hand-over arrived. The resumed stream
	// goes on.
	if e != nil && e.mayComplete() {
		return true
	}
	g.beginIdle(g.start(context.Background(), req, e))
	return true
}

// request returns the request that continues the stream.
func (s HandedStream) request() Request {
	req := Request{
		Key:          s.Key,
		Params:       s.Params,
		Priority:     s.Priority,
		Delivered:    s.Delivered,
		LastAttempt:  s.LastAttempt,
		LastInstance: s.LastInstance,
	}
	if s.Remaining > 0 {
		req.Deadline = time.Now().Add(s.Remaining)
	}
	return req
}

// handedStream returns the stream of an entry whose run has ended. It returns
// false if a peer must not continue the stream, because its deadline has passed
// or because no attempt of it has run. A caller whose request has not run is told
// not_run, which would become wrong if a peer ran the request afterwards.
func (e *entry) handedStream() (HandedStream, bool) {
	if e.final.Kind == outcome.NotRun {
		return HandedStream{}, false
	}
	req := e.resumable
	h := HandedStream{
		Key:          req.Key,
		Params:       req.Params,
		Priority:     req.Priority,
		Delivered:    req.Delivered,
		LastAttempt:  req.LastAttempt,
		LastInstance: req.LastInstance,
	}
	if req.Deadline.IsZero() {
		return h, true
	}
	h.Remaining = time.Until(req.Deadline)
	return h, h.Remaining > 0
}

func (g *Registry) startLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// hasActiveStreams reports whether a stream is in progress or has a caller. The
// caller holds g.mu.
func (g *Registry) hasActiveStreams() bool {
	for _, e := range g.entries {
		if !e.ended || e.callers > 0 {
			return true
		}
	}
	return false
}

// hasCallers reports whether any caller follows a stream. The caller holds
// g.mu.
func (g *Registry) hasCallers() bool {
	for _, e := range g.entries {
		if e.callers > 0 {
			return true
		}
	}
	return false
}

// waitWhile returns when the condition no longer holds or ctx has ended.
func (g *Registry) waitWhile(ctx context.Context, condition func(*Registry) bool) {
	const interval = 10 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for g.conditionHolds(condition) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Registry) conditionHolds(condition func(*Registry) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return condition(g)
}

// stopRuns stops every run in progress and returns the entries that a peer can
// continue. From here on no caller receives a token that the peer would not
// know of. A run that does not end within HandOverTimeout is left out.
func (g *Registry) stopRuns(ctx context.Context) []*entry {
	ctx, cancel := context.WithTimeout(ctx, g.config.HandOverTimeout)
	defer cancel()
	var stopped []*entry
	for _, e := range g.cancelRuns() {
		select {
		case <-e.done:
			stopped = append(stopped, e)
		case <-ctx.Done():
		}
	}
	return stopped
}

// cancelRuns cancels every run and returns the entries to hand over. They
// include complete answers that a slow caller has not fully received, so that
// no engine computes them again.
func (g *Registry) cancelRuns() []*entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var cancelled []*entry
	for _, e := range g.entries {
		if !e.ended || e.callers > 0 {
			e.cancel(errLeaving)
			cancelled = append(cancelled, e)
		}
	}
	return cancelled
}

// handOver stops the streams and offers them to one peer after another.
func (g *Registry) handOver(ctx context.Context, peers []Peer) LeaveReport {
	waiting := make(map[Key]HandedStream)
	for _, e := range g.stopRuns(ctx) {
		if h, ok := e.handedStream(); ok {
			waiting[h.Key] = h
		}
	}
	offered := len(waiting)
	for _, peer := range peers {
		g.offer(ctx, peer, len(peers), waiting)
	}
	report := LeaveReport{HandedOver: offered - len(waiting), NotHandedOver: len(waiting)}
	handedOverVar.Add(int64(report.HandedOver))
	notHandedOverVar.Add(int64(report.NotHandedOver))
	return report
}

// offer offers the waiting streams to one of several peers and removes those
// that the peer accepts. Each peer gets an equal part of HandOverTimeout, so that
// a peer that does not answer leaves time for the others.
func (g *Registry) offer(ctx context.Context, peer Peer, peers int, waiting map[Key]HandedStream) {
	ctx, cancel := context.WithTimeout(ctx, g.config.HandOverTimeout/time.Duration(peers))
	defer cancel()
	for _, batch := range batches(waiting) {
		accepted, err := peer.HandOver(ctx, batch)
		if err != nil {
			return
		}
		for _, key := range accepted {
			delete(waiting, key)
		}
	}
}

// batches splits streams into messages of bounded size. A stream that exceeds
// the bound gets a message of its own.
func batches(streams map[Key]HandedStream) [][]HandedStream {
	var all [][]HandedStream
	size := 0
	for _, s := range streams {
		last := len(all) - 1
		if last < 0 || size+s.size() > maxBatchBytes || len(all[last]) >= maxBatchStreams {
			all = append(all, nil)
			last++
			size = 0
		}
		all[last] = append(all[last], s)
		size += s.size()
	}
	return all
}

// size estimates the stream's size in a message, in bytes.
func (s HandedStream) size() int {
	size := len(s.Params.Prompt)
	for _, token := range s.Delivered {
		size += len(token)
	}
	return size
}

// publishWithheldOutcomes tells the callers of stopped streams to resume
// elsewhere.
func (g *Registry) publishWithheldOutcomes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handOverDone = true
	for _, e := range g.entries {
		if e.ended && e.finalWithheld {
			e.answer.end(e.final)
		}
	}
}

func leavingOutcome() outcome.Outcome {
	return outcome.NewInterrupted(outcome.ReasonLeaving, leavingMessage, 0)
}
