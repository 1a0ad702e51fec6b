package routing

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
)

// estimate is what one upstream is expected to do with one request.
type estimate struct {
	// score: lower is better; see cost.
	score float64
	// firstToken, unloaded (firstToken at an idle upstream) and betweenTokens
	// are in seconds.
	firstToken    float64
	betweenTokens float64
	unloaded      float64
	uncached      int
	// work is the engine time that the request takes.
	work float64
}

// estimate predicts a request at the i-th upstream of the view.
func (c *chooser) estimate(i int) estimate {
	u := &c.view[i]
	unseen := c.unseen(i)
	if c.plain {
		return c.estimatePlain(i, unseen)
	}
	s := c.router.situation(u, c.entries[i].slot, unseen)
	e := estimate{betweenTokens: s.step, uncached: c.uncached(i)}
	ahead, own := c.wait(s, e.uncached)
	e.unloaded = own + c.hop(u)
	e.firstToken = ahead + e.unloaded
	e.work = float64(e.uncached)/s.rate + float64(c.req.MaxTokens)*s.decode/s.batch
	e.score = c.cost(i, s, e)
	return e
}

// cost adds up what speaks against an upstream, each term by its weight:
// prefill that is cached elsewhere, the price, lateness, a fill above what the
// others have, and a place that is no home of the prefix.
func (c *chooser) cost(i int, s situation, e estimate) float64 {
	p := &c.router.params
	fill := s.fill(p)
	sum := p.RecomputeWeight * float64(e.uncached) / s.rate
	sum += p.PriceWeight * c.slack * c.entries[i].price
	sum += p.LateWeight * c.lateness(e.firstToken)
	sum += p.CrowdWeight * max(0, fill-max(p.Crowded, p.Bound*c.mean))
	sum += p.BalanceWeight * fill
	if c.away(i) {
		sum += p.HomeWeight
	}
	return sum
}

// lateness is how much of its target a first token is likely to be late by,
// beyond what is comfortable. It is at most 1: when all upstreams are late,
// chasing the least late one would only scatter the prefixes.
func (c *chooser) lateness(firstToken float64) float64 {
	p := &c.router.params
	target := orElse(c.req.Class.FirstToken.Seconds(), p.Target.Seconds())
	return min(1, max(0, firstToken*c.margin/target-p.Comfort))
}

// estimatePlain predicts a call of a plain service: fewest in flight wins,
// the near ones first.
func (c *chooser) estimatePlain(i int, unseen load) estimate {
	u := &c.view[i]
	known := u.Report.Running + unseen.requests
	own := int(c.entries[i].slot.outstanding.Load())
	return estimate{score: float64(max(known, own)) + c.hop(u)}
}

// unseen is this gateway's own work that the upstream's report cannot know.
func (c *chooser) unseen(i int) load {
	r := c.router
	return c.entries[i].slot.since(r.epoch(c.view[i].AsOf), r.epoch(c.now))
}

// uncached is how many tokens of the prompt need prefill at an upstream.
func (c *chooser) uncached(i int) int {
	cached := 0.0
	if c.cached != nil {
		cached = c.cached[i] * prompt.BlockTokens
	}
	return max(1, c.req.PromptTokens-int(cached))
}

// hop is the round trip to an upstream, in seconds.
func (c *chooser) hop(u *blackboard.Upstream) float64 {
	if u.Instance.FailureDomain == c.req.FailureDomain {
		return 0
	}
	return c.router.params.Hop.Seconds()
}

func orElse(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
