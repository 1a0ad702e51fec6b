package admission

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// service admits the requests of one service. Its lock is held for the length
// of one decision and never while a request waits.
type service struct {
	config  Config
	metrics *Metrics

	mu      sync.Mutex
	gate    *gate.Gate
	waiting map[*gate.Entry]*Ticket
	// upstreams holds the concurrency limit of each live upstream. It is nil
	// until setUpstreams is called; until then gate.Config.Slots applies.
	upstreams map[ident.Instance]*concurrency.Limit
	ejection  *ejection.Set
	// slotOverride is the value passed to SetSlots; 0 means that the slots
	// are the sum of the upstreams' limits.
	slotOverride int

	// exclusion is the current list of excluded upstreams, readable without
	// the lock; see excluded.
	exclusion atomic.Pointer[exclusion]
}

// exclusion lists the upstreams that get no request, until a given time.
type exclusion struct {
	ids []ident.Instance
	// until is when the list changes merely because time passes; zero means
	// never.
	until time.Time
}

func newService(config Config, metrics *Metrics) *service {
	s := &service{
		config:   config,
		metrics:  metrics,
		gate:     gate.New(config.Gate),
		waiting:  map[*gate.Entry]*Ticket{},
		ejection: ejection.New(config.Ejection),
	}
	s.exclusion.Store(&exclusion{})
	return s
}

// admit decides on a ticket's entry and blocks while the entry waits. It
// returns nil if the entry was granted a slot.
func (s *service) admit(ctx context.Context, t *Ticket) *outcome.Outcome {
	if ctx.Err() != nil {
		refusal := outcome.NewNotRun(outcome.EndReason(ctx), "The request was given up before it ran.", 0)
		return &refusal
	}
	now := time.Now()
	s.mu.Lock()
	decision := s.gate.Offer(now, &t.entry)
	if decision.Evicted != nil {
		s.refuseWaiting(decision.Evicted)
	}
	if t.entry.Waiting() {
		t.decided = make(chan struct{})
		s.waiting[&t.entry] = t
	}
	s.mu.Unlock()
	switch {
	case decision.Granted:
		return nil
	case decision.Refused:
		return &decision.Refusal
	}
	return s.waitForDecision(ctx, t)
}

// waitForDecision blocks until the entry is granted a slot or refused.
func (s *service) waitForDecision(ctx context.Context, t *Ticket) *outcome.Outcome {
	s.metrics.addWaiting(1)
	defer s.metrics.addWaiting(-1)
	timer := time.NewTimer(time.Until(t.entry.LatestStart()))
	defer timer.Stop()
	select {
	case <-t.decided:
		return t.refusal
	case <-ctx.Done():
		return s.abandonWait(t, outcome.EndReason(ctx))
	case <-timer.C:
		return s.abandonWait(t, outcome.ReasonOverloaded)
	}
}

// abandonWait ends a wait because its timer fired or its context ended. The
// entry may be granted before the lock is taken. If the caller is gone by then,
// the slot is given back, since nobody would ever call Done; if only the latest
// start has passed, the entry keeps its slot.
func (s *service) abandonWait(t *Ticket, cause outcome.Reason) *outcome.Outcome {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal, waited := s.gate.Abandon(now, &t.entry, cause); waited {
		delete(s.waiting, &t.entry)
		return &refusal
	}
	if !t.entry.Granted() || cause == outcome.ReasonOverloaded {
		return t.refusal
	}
	s.gate.Cancel(&t.entry)
	s.grantNext(now)
	refusal := outcome.NewNotRun(cause, "The request was given up before it ran.", 0)
	return &refusal
}

// firstToken records a first token, which may raise a priority's limit, and
// grants slots to waiting entries.
func (s *service) firstToken(t *Ticket) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.FirstToken(now, &t.entry)
	s.grantNext(now)
}

// done frees a ticket's slot, records its result and grants slots to waiting
// entries.
func (s *service) done(t *Ticket, r Result) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.entry.Granted() {
		return
	}
	s.gate.Done(now, &t.entry, r.Cost)
	if r.Upstream != "" {
		s.applyAttempt(now, r, t.unloaded)
	}
	s.grantNext(now)
}

// recordAttemptEnd records the result of an attempt and grants slots to waiting
// entries.
func (s *service) recordAttemptEnd(r Result, unloaded time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyAttempt(now, r, unloaded)
	s.grantNext(now)
}

// applyAttempt updates the upstream's concurrency limit and ejection state with
// the result of one attempt. The lock must be held.
func (s *service) applyAttempt(now time.Time, r Result, unloaded time.Duration) {
	if limit := s.upstreams[r.Upstream]; limit != nil {
		before := limit.Value()
		limit.Observe(concurrency.Sample{
			Latency:  r.FirstToken,
			Unloaded: unloaded,
			InFlight: r.InFlight,
			Dropped:  r.Failed,
		})
		if s.slotOverride == 0 && !slices.Contains(s.exclusion.Load().ids, r.Upstream) {
			s.gate.SetSlots(s.gate.Slots() + limit.Value() - before)
		}
	}
	sample := ejection.Sample{Failed: r.Failed, Latency: r.FirstToken.Seconds(), Started: r.Sent}
	if unloaded > 0 {
		sample.Latency /= unloaded.Seconds()
	}
	before := s.ejection.State(r.Upstream)
	s.ejection.RecordAttemptEnd(now, r.Upstream, sample)
	if after := s.ejection.State(r.Upstream); after != before || after == ejection.Probing {
		s.refreshUpstreams(now)
	}
}

// grantNext grants free slots to waiting entries and refuses those that can't
// start in time any more. The lock must be held.
func (s *service) grantNext(now time.Time) {
	for {
		granted, expired := s.gate.Next(now)
		switch {
		case granted != nil:
			t := s.waiting[granted]
			delete(s.waiting, granted)
			close(t.decided)
		case expired != nil:
			s.refuseWaiting(expired)
		default:
			return
		}
	}
}

// refuseWaiting passes a refusal on to the caller that waits for the entry. The
// lock must be held.
func (s *service) refuseWaiting(refused *gate.RefusedEntry) {
	t := s.waiting[refused.Entry]
	delete(s.waiting, refused.Entry)
	t.refusal = &refused.Refusal
	close(t.decided)
}

func (s *service) setUpstreams(ids []ident.Instance) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreams == nil {
		s.upstreams = map[ident.Instance]*concurrency.Limit{}
	}
	wanted := make(map[ident.Instance]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	for id := range s.upstreams {
		if !wanted[id] {
			delete(s.upstreams, id)
		}
	}
	for _, id := range ids {
		if s.upstreams[id] == nil {
			s.upstreams[id] = concurrency.New(s.config.Concurrency)
		}
	}
	s.ejection.SetUpstreams(ids)
	s.refreshUpstreams(now)
	s.grantNext(now)
}

func (s *service) setSlots(slots int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotOverride = max(slots, 0)
	s.refreshUpstreams(now)
	s.grantNext(now)
}

func (s *service) recordAttemptStart(now time.Time, id ident.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejection.State(id) == ejection.Healthy {
		return
	}
	s.ejection.RecordAttemptStart(now, id)
	s.refreshUpstreams(now)
}

// refreshUpstreams publishes the list of excluded upstreams and sets the gate's
// slots: slotOverride, or the sum of the limits of all upstreams that aren't
// excluded. The lock must be held.
func (s *service) refreshUpstreams(now time.Time) {
	// The slice is clipped so that a reader that appends to it doesn't write
	// into the shared array: two concurrent requests would exclude each
	// other's upstreams.
	ids := slices.Clip(s.ejection.Excluded(now))
	if old := s.exclusion.Load(); !slices.Equal(old.ids, ids) || !old.until.Equal(s.ejection.NextChange(now)) {
		s.exclusion.Store(&exclusion{ids: ids, until: s.ejection.NextChange(now)})
	}
	if s.upstreams == nil {
		return
	}
	if s.slotOverride > 0 && len(s.upstreams) > 0 {
		s.gate.SetSlots(s.slotOverride)
		return
	}
	slots := 0
	for id, limit := range s.upstreams {
		if !slices.Contains(ids, id) {
			slots += limit.Value()
		}
	}
	s.gate.SetSlots(slots)
}

// excluded returns the published list of excluded upstreams. It takes the lock
// only if the list has expired, because an ejection or a probe's time is over.
func (s *service) excluded(now time.Time) []ident.Instance {
	e := s.exclusion.Load()
	if e.until.IsZero() || now.Before(e.until) {
		return e.ids
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshUpstreams(now)
	return s.exclusion.Load().ids
}
