package routing

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// placer is a cache view that takes notice of this gateway's own placements.
type placer interface {
	Placed(blocks []uint64, now time.Time)
}

// Router routes the requests of one service at one gateway. Create it with
// New. It is safe for concurrent use.
type Router struct {
	params Params
	// began is the origin of the epochs.
	began time.Time
	slots atomic.Pointer[slots]
	// prepared belongs to the view seen last.
	prepared    atomic.Pointer[prepared]
	predictor   predictor
	popularity  popularity
	slotsSmooth average
	// scratch holds slices for the decisions under way.
	scratch sync.Pool
}

// prepared holds what a view and a document give for every decision.
type prepared struct {
	view    []blackboard.Upstream
	doc     *document.Document
	entries []entry
	// mean is the mean fill of the alive upstreams; slack is how far it is
	// below the fill at which prices no longer count, from 0 to 1.
	mean, slack float64
}

// entry belongs to the upstream with the same index in the view.
type entry struct {
	slot *slot
	// price is relative to the dearest upstream of the view, 0 to 1.
	price float64
	// hash of the instance's name.
	hash uint64
}

// New returns a Router that has sent nothing yet; now is the present.
func New(p Params, now time.Time) *Router {
	r := &Router{params: p, began: now}
	r.scratch.New = func() any { return new([]float64) }
	r.slots.Store(&slots{})
	r.prepared.Store(&prepared{})
	return r
}

// Decide chooses an upstream from a view, which must not change afterwards.
// doc may be nil: then prices are equal, and the service counts as plain if
// the request has no prompt.
func (r *Router) Decide(doc *document.Document, view []blackboard.Upstream, req Request, now time.Time) Decision {
	p := r.prepare(doc, view)
	c := chooser{router: r, view: view, entries: p.entries, req: req, now: now, mean: p.mean, slack: p.slack}
	c.plain = isPlain(doc, req)
	return c.choose()
}

func isPlain(doc *document.Document, req Request) bool {
	if doc != nil {
		return doc.Kind == document.Plain
	}
	return req.PromptTokens == 0
}

// prepare returns the entries of a view, which are built once for each view.
func (r *Router) prepare(doc *document.Document, view []blackboard.Upstream) *prepared {
	p := r.prepared.Load()
	if len(view) == 0 {
		return &prepared{}
	}
	if len(p.view) == len(view) && &p.view[0] == &view[0] && p.doc == doc {
		return p
	}
	p = &prepared{view: view, doc: doc, entries: make([]entry, len(view))}
	known := r.addSlots(view)
	highest := 0.0
	for i := range view {
		p.entries[i].slot = known[view[i].Instance.ID]
		r.learnBatch(&view[i], p.entries[i].slot)
		p.entries[i].price = price(doc, &view[i])
		p.entries[i].hash = xxhash.Sum64String(string(view[i].Instance.ID))
		highest = max(highest, p.entries[i].price)
	}
	p.mean = r.meanFill(p)
	p.slack = max(0, 1-p.mean/r.params.PriceUpTo)
	for i := range p.entries {
		if highest > 0 {
			p.entries[i].price /= highest
		}
	}
	r.prepared.Store(p)
	return p
}

// meanFill is the mean fill of the alive upstreams, by their reports.
func (r *Router) meanFill(p *prepared) float64 {
	sum, count := 0.0, 0
	for i := range p.view {
		if u := &p.view[i]; u.State == blackboard.Alive {
			s := r.situation(u, p.entries[i].slot, load{})
			sum += s.fill(&r.params)
			count++
		}
	}
	return sum / float64(max(1, count))
}

// price returns what an upstream costs, in cents an hour; 0 if unknown.
func price(doc *document.Document, u *blackboard.Upstream) float64 {
	if doc == nil {
		return 0
	}
	for _, p := range doc.Placement.Prices {
		in := u.Instance
		if p.FailureDomain == in.FailureDomain && p.Class == in.Class && p.Reclaimable == in.Reclaimable {
			return p.CentsPerHour
		}
	}
	return 0
}

// addSlots adds what slots a view still needs, all at once: a copy for each of
// them would cost the square of their number.
func (r *Router) addSlots(view []blackboard.Upstream) slots {
	for {
		old := r.slots.Load()
		next := *old
		for i := range view {
			id := view[i].Instance.ID
			if next[id] != nil {
				continue
			}
			if len(next) == len(*old) {
				next = maps.Clone(next)
			}
			next[id] = &slot{}
		}
		if len(next) == len(*old) {
			return next
		}
		if added := next; r.slots.CompareAndSwap(old, &added) {
			return next
		}
	}
}

// epoch numbers the buckets of time since the Router began.
func (r *Router) epoch(at time.Time) int64 {
	return max(0, int64(at.Sub(r.began)/bucketWidth))
}

// Started notes that an attempt is sent as decided. Call it before the first
// byte leaves, so that concurrent decisions see it.
func (r *Router) Started(d Decision, req Request, now time.Time) Ticket {
	if d.slot == nil {
		return Ticket{}
	}
	t := Ticket{
		slot: d.slot, epoch: r.epoch(now), tokens: d.UncachedTokens, priority: req.Class.Priority,
		waiting: true, sent: now, predicted: d.FirstToken,
	}
	r.predictor.started(t.priority, t.tokens)
	r.predictor.output.add(float64(max(1, req.MaxTokens)), assumedOutput)
	d.slot.add(t.epoch, t.tokens)
	if len(req.Blocks) > 0 {
		r.popularity.add(req.Blocks[0], d.Work)
	}
	if d.placer != nil {
		d.placer.Placed(req.Blocks, now)
	}
	return t
}

// FirstToken notes that the first token came, so that the attempt's prefill is
// over. Later calls do nothing.
func (r *Router) FirstToken(t *Ticket, now time.Time) {
	if t.slot == nil || !t.waiting {
		return
	}
	r.predictor.learn(t.priority, t.predicted, now.Sub(t.sent))
	r.settle(t)
}

// settle ends the attempt's part in what waits for a first token.
func (r *Router) settle(t *Ticket) {
	if !t.waiting {
		return
	}
	t.waiting = false
	t.slot.settle(t.epoch, t.tokens)
	r.predictor.settled(t.priority, t.tokens)
}

// Finished notes that an attempt ended. Later calls do nothing.
func (r *Router) Finished(t *Ticket, _ Result, _ time.Time) {
	if t.slot == nil {
		return
	}
	r.settle(t)
	t.slot.outstanding.Add(-1)
	t.slot = nil
}

// Outstanding returns how many attempts of this gateway an instance has.
func (r *Router) Outstanding(id ident.Instance) int {
	if s := (*r.slots.Load())[id]; s != nil {
		return int(s.outstanding.Load())
	}
	return 0
}
