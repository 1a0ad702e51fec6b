package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

// shortlistSize is how many of the upstreams with the best scores are kept for
// the final random draw.
const shortlistSize = 4

// chooser makes one decision.
type chooser struct {
	router    *Router
	view      []blackboard.Upstream
	upstreams []preparedUpstream
	req       Request
	now       time.Time
	plain     bool
	// meanFill and priceFactor are those of the view; see preparedView.
	meanFill, priceFactor float64

	// cached is the estimated number of leading blocks that each upstream has
	// cached, by its index in the view; nil if the request has no blocks.
	cached []float64
	// requestShareAhead and tokenShareAhead are the shares of an upstream's
	// queued requests and queued prefill tokens that are served before the
	// request.
	requestShareAhead, tokenShareAhead float64
	// margin is the factor by which a prediction is multiplied to get the time
	// within which four of five first tokens arrive.
	margin float64
	// maxHomeDistance is the largest distance of a home of the request's prefix.
	maxHomeDistance float64

	best      [shortlistSize]candidate
	bestCount int
	reasons   []Reason
}

// candidate is an upstream that could serve the request.
type candidate struct {
	index int
	estimate
}

// choose returns the decision. Suspect upstreams are used only if no upstream
// that is alive is usable.
func (c *chooser) choose() Decision {
	if len(c.view) == 0 {
		return Decision{}
	}
	scratch := c.router.scratch.Get().(*[]float64)
	defer c.router.scratch.Put(scratch)
	c.lookUpCaches(scratch)
	c.margin = c.router.predictor.margin(c.req.Class.Priority)
	c.requestShareAhead, c.tokenShareAhead = c.router.predictor.sharesAhead(c.req.Class.Priority)
	c.shortlist(blackboard.Alive)
	if c.bestCount == 0 {
		c.shortlist(blackboard.Suspect)
	}
	if c.bestCount == 0 {
		return Decision{Reasons: c.reasons}
	}
	return c.decision(c.draw())
}

// lookUpCaches looks the request's prefix up in the cache view of each upstream,
// and finds the homes of the prefix.
func (c *chooser) lookUpCaches(scratch *[]float64) {
	if len(c.req.Blocks) == 0 {
		return
	}
	*scratch = slices.Grow((*scratch)[:0], len(c.view))[:len(c.view)]
	c.cached = *scratch
	for i := range c.view {
		c.cached[i] = 0
		if u := &c.view[i]; u.Cache != nil && u.State < blackboard.Leaving {
			c.cached[i] = u.Cache.Cached(c.req.Blocks, c.now)
		}
	}
	c.findHomes()
}

// shortlist adds the usable upstreams in a state to the shortlist. It begins at
// a random index, so that gateways do not all prefer the same upstream of many
// with equal scores.
func (c *chooser) shortlist(state blackboard.MemberState) {
	n := len(c.view)
	start := int(c.router.params.Random() % uint64(n))
	for k := range n {
		i := (start + k) % n
		if !c.usable(i, state) {
			continue
		}
		e := c.estimate(i)
		c.insert(candidate{index: i, estimate: e})
		if c.req.Explain {
			c.explain(i, RuleScored, fmt.Sprintf("score %.4f, first token %.4f s, uncached %d tokens", e.score, e.firstToken, e.uncachedTokens))
		}
	}
}

// usable reports whether the i-th upstream has the state and may serve the
// request.
func (c *chooser) usable(i int, state blackboard.MemberState) bool {
	u := &c.view[i]
	switch {
	case u.State >= blackboard.Leaving || u.Report.Leaving:
		c.explain(i, RuleLeaving, "")
	case slices.Contains(c.req.Exclude, u.Instance.ID):
		c.explain(i, RuleExcluded, "")
	case u.State != state:
		c.explain(i, RuleSuspect, "")
	default:
		return true
	}
	return false
}

func (c *chooser) explain(i int, rule Rule, detail string) {
	if !c.req.Explain {
		return
	}
	c.reasons = append(c.reasons, Reason{Upstream: c.view[i].Instance.ID, Rule: rule, Detail: detail})
}

// insert adds a candidate to the shortlist, which is sorted by score. If the
// shortlist is full, the worst candidate is dropped.
func (c *chooser) insert(x candidate) {
	at := c.bestCount
	for at > 0 && c.best[at-1].score > x.score {
		at--
	}
	if at == shortlistSize {
		return
	}
	copy(c.best[at+1:], c.best[at:])
	c.best[at] = x
	c.bestCount = min(c.bestCount+1, shortlistSize)
}

// draw chooses among the candidates whose scores are nearly as good as the best:
// it draws two and takes the one with fewer outstanding attempts. Without the
// draw all gateways with the same stale view would send to the same upstream at
// once, and queues would swing from one upstream to the next.
func (c *chooser) draw() candidate {
	near := 1
	limit := c.best[0].score + c.router.params.ScoreTolerance
	for near < c.bestCount && c.best[near].score <= limit {
		near++
	}
	if near == 1 {
		return c.best[0]
	}
	random := c.router.params.Random()
	a := c.best[random%uint64(near)]
	b := c.best[(random>>32)%uint64(near)]
	if c.outstanding(b) < c.outstanding(a) {
		return b
	}
	return a
}

func (c *chooser) outstanding(x candidate) int64 {
	return c.upstreams[x.index].local.outstanding.Load()
}

func (c *chooser) decision(x candidate) Decision {
	u := &c.view[x.index]
	c.explain(x.index, RuleChosen, "")
	d := Decision{
		Upstream:       u.Instance.ID,
		Address:        u.Instance.Address,
		FirstToken:     duration(x.firstToken),
		FirstTokenBy:   duration(x.firstToken * c.margin),
		BetweenTokens:  duration(x.betweenTokens),
		UncachedTokens: x.uncachedTokens,
		Unloaded:       duration(x.unloaded),
		EngineSeconds:  x.engineSeconds,
		Reasons:        c.reasons,
		local:          c.upstreams[x.index].local,
	}
	if p, ok := u.Cache.(placementObserver); ok {
		d.observer = p
	}
	return d
}
