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

// placementObserver is a cache view that also records which prompts this
// gateway sends to the upstream.
type placementObserver interface {
	Placed(blocks []uint64, now time.Time)
}

// Router routes the requests of one service at one gateway. Create it with
// New. It is safe for concurrent use.
type Router struct {
	params Params
	// epochOrigin is the time at which epoch 0 begins; see epoch.
	epochOrigin time.Time
	states      atomic.Pointer[localStates]
	// prepared belongs to the newest view.
	prepared      atomic.Pointer[preparedView]
	predictor     predictor
	popularity    popularity
	smoothedSlots average
	// scratch pools the slices that decisions in progress use.
	scratch sync.Pool
}

// preparedView caches what all decisions on one view and document share.
type preparedView struct {
	view      []blackboard.Upstream
	doc       *document.Document
	upstreams []preparedUpstream
	// meanFill is the mean fill of the alive upstreams. priceFactor scales the
	// price term of scores: 1 while all are idle, 0 from PriceFadeFill on.
	meanFill, priceFactor float64
}

// preparedUpstream belongs to the upstream with the same index in the view.
type preparedUpstream struct {
	local *localState
	// price is relative to the most expensive upstream of the view, 0 to 1.
	price float64
	// nameHash is the hash of the instance's ID.
	nameHash uint64
}

// New returns a Router that has sent nothing yet. now is the current time.
func New(p Params, now time.Time) *Router {
	r := &Router{params: p, epochOrigin: now}
	r.scratch.New = func() any { return new([]float64) }
	r.states.Store(&localStates{})
	r.prepared.Store(&preparedView{})
	return r
}

// Decide chooses an upstream from a view, which the caller must not change
// afterwards. doc may be nil: then prices count as equal, and the service counts
// as plain if the request has no prompt tokens.
func (r *Router) Decide(doc *document.Document, view []blackboard.Upstream, req Request, now time.Time) Decision {
	p := r.prepare(doc, view)
	c := chooser{router: r, view: view, upstreams: p.upstreams, req: req, now: now, meanFill: p.meanFill, priceFactor: p.priceFactor}
	c.plain = isPlain(doc, req)
	return c.choose()
}

func isPlain(doc *document.Document, req Request) bool {
	if doc != nil {
		return doc.Kind == document.Plain
	}
	return req.PromptTokens == 0
}

// prepare returns the preparedView of a view and document. It is built once and
// reused while decisions come with the same slice and document.
func (r *Router) prepare(doc *document.Document, view []blackboard.Upstream) *preparedView {
	p := r.prepared.Load()
	if len(view) == 0 {
		return &preparedView{}
	}
	if len(p.view) == len(view) && &p.view[0] == &view[0] && p.doc == doc {
		return p
	}
	p = &preparedView{view: view, doc: doc, upstreams: make([]preparedUpstream, len(view))}
	states := r.addLocalStates(view)
	highest := 0.0
	for i := range view {
		p.upstreams[i].local = states[view[i].Instance.ID]
		r.learnBatch(&view[i], p.upstreams[i].local)
		p.upstreams[i].price = price(doc, &view[i])
		p.upstreams[i].nameHash = xxhash.Sum64String(string(view[i].Instance.ID))
		highest = max(highest, p.upstreams[i].price)
	}
	p.meanFill = r.meanFill(p)
	p.priceFactor = max(0, 1-p.meanFill/r.params.PriceFadeFill)
	for i := range p.upstreams {
		if highest > 0 {
			p.upstreams[i].price /= highest
		}
	}
	r.prepared.Store(p)
	return p
}

// meanFill returns the mean fill of the alive upstreams according to their
// reports; 0 if none is alive.
func (r *Router) meanFill(p *preparedView) float64 {
	sum, count := 0.0, 0
	for i := range p.view {
		if u := &p.view[i]; u.State == blackboard.Alive {
			s := r.stateOf(u, p.upstreams[i].local, sentWork{})
			sum += s.fill(&r.params)
			count++
		}
	}
	return sum / float64(max(1, count))
}

// price returns what an upstream costs, in cents per hour; 0 if unknown.
func price(doc *document.Document, u *blackboard.Upstream) float64 {
	if doc == nil {
		return 0
	}
	for _, p := range doc.Placement.Prices {
		instance := u.Instance
		if p.FailureDomain == instance.FailureDomain && p.Class == instance.Class && p.Reclaimable == instance.Reclaimable {
			return p.CentsPerHour
		}
	}
	return 0
}

// addLocalStates adds a localState for each upstream of the view that has none,
// and returns the map. It copies the map once for all of them, since a copy for
// each would make the cost quadratic.
func (r *Router) addLocalStates(view []blackboard.Upstream) localStates {
	for {
		old := r.states.Load()
		next := *old
		for i := range view {
			id := view[i].Instance.ID
			if next[id] != nil {
				continue
			}
			if len(next) == len(*old) {
				next = maps.Clone(next)
			}
			next[id] = &localState{}
		}
		if len(next) == len(*old) {
			return next
		}
		if added := next; r.states.CompareAndSwap(old, &added) {
			return next
		}
	}
}

// epoch returns the number of the bucketWidth interval that a time lies in,
// counted from the creation of the Router.
func (r *Router) epoch(at time.Time) int64 {
	return max(0, int64(at.Sub(r.epochOrigin)/bucketWidth))
}

// Started records that an attempt is sent as decided. Call it before the first
// byte is sent, so that concurrent decisions take the attempt into account.
func (r *Router) Started(d Decision, req Request, now time.Time) Ticket {
	if d.local == nil {
		return Ticket{}
	}
	t := Ticket{
		local: d.local, epoch: r.epoch(now), uncachedTokens: d.UncachedTokens, priority: req.Class.Priority,
		waiting: true, sent: now, predicted: d.FirstToken,
	}
	r.predictor.addWaiting(t.priority, t.uncachedTokens)
	r.predictor.output.add(float64(max(1, req.MaxTokens)), assumedOutput)
	d.local.addSent(t.epoch, t.uncachedTokens)
	if len(req.Blocks) > 0 {
		r.popularity.add(req.Blocks[0], d.EngineSeconds)
	}
	if d.observer != nil {
		d.observer.Placed(req.Blocks, now)
	}
	return t
}

// FirstToken records that the first token of the attempt arrived, so its prefill
// is over. Later calls do nothing.
func (r *Router) FirstToken(t *Ticket, now time.Time) {
	if t.local == nil || !t.waiting {
		return
	}
	r.predictor.learnMargin(t.priority, t.predicted, now.Sub(t.sent))
	r.stopWaiting(t)
}

// stopWaiting removes the attempt from the work that waits for a first token.
// Later calls do nothing.
func (r *Router) stopWaiting(t *Ticket) {
	if !t.waiting {
		return
	}
	t.waiting = false
	t.local.removeSent(t.epoch, t.uncachedTokens)
	r.predictor.removeWaiting(t.priority, t.uncachedTokens)
}

// Finished records that an attempt ended. Later calls do nothing.
func (r *Router) Finished(t *Ticket, _ Result, _ time.Time) {
	if t.local == nil {
		return
	}
	r.stopWaiting(t)
	t.local.outstanding.Add(-1)
	t.local = nil
}

// Outstanding returns how many attempts of this gateway at an instance have not
// ended.
func (r *Router) Outstanding(id ident.Instance) int {
	if s := (*r.states.Load())[id]; s != nil {
		return int(s.outstanding.Load())
	}
	return 0
}
