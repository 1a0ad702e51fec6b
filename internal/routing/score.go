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
	firstToken     float64
	betweenTokens  float64
	unloaded       float64
	uncachedTokens int
	// engineSeconds is the engine time that the request takes.
	engineSeconds float64
}

// estimate predicts a request at the i-th upstream of the view.
func (c *chooser) estimate(i int) estimate {
	u := &c.view[i]
	unseen := c.unreportedWork(i)
	if c.plain {
		return c.estimatePlain(i, unseen)
	}
	s := c.router.stateOf(u, c.upstreams[i].local, unseen)
	e := estimate{betweenTokens: s.stepTime, uncachedTokens: c.uncachedTokens(i)}
	ahead, own := c.predictWait(s, e.uncachedTokens)
	e.unloaded = own + c.networkDelay(u)
	e.firstToken = ahead + e.unloaded
	e.engineSeconds = float64(e.uncachedTokens)/s.prefillRate + float64(c.req.MaxTokens)*s.decodeTime/s.batchSize
	e.score = c.cost(i, s, e)
	return e
}

// cost adds up what speaks against an upstream, each term by its weight:
// prefill that is cached elsewhere, the price, lateness, a fill above what the
// others have, and a place that is no home of the prefix.
func (c *chooser) cost(i int, s engineState, e estimate) float64 {
	p := &c.router.params
	fill := s.fill(p)
	sum := p.RecomputeWeight * float64(e.uncachedTokens) / s.prefillRate
	sum += p.PriceWeight * c.priceFactor * c.upstreams[i].price
	sum += p.LatenessWeight * c.lateness(e.firstToken)
	sum += p.CrowdWeight * max(0, fill-max(p.CrowdedFill, p.CrowdedOverMean*c.meanFill))
	sum += p.BalanceWeight * fill
	if c.awayFromHome(i) {
		sum += p.HomeWeight
	}
	return sum
}

// lateness is how much of its target a first token is likely to be late by,
// beyond what is comfortable. It is at most 1: when all upstreams are late,
// chasing the least late one would only scatter the prefixes.
func (c *chooser) lateness(firstToken float64) float64 {
	p := &c.router.params
	target := orElse(c.req.Class.FirstToken.Seconds(), p.DefaultTarget.Seconds())
	return min(1, max(0, firstToken*c.margin/target-p.LatenessStart))
}

// estimatePlain predicts a call of a plain service: fewest in flight wins,
// the near ones first.
func (c *chooser) estimatePlain(i int, unseen sentWork) estimate {
	u := &c.view[i]
	known := u.Report.Running + unseen.requests
	own := int(c.upstreams[i].local.outstanding.Load())
	return estimate{score: float64(max(known, own)) + c.networkDelay(u)}
}

// unreportedWork is this gateway's own work that the upstream's report cannot know.
func (c *chooser) unreportedWork(i int) sentWork {
	r := c.router
	return c.upstreams[i].local.awaitingFirstToken(r.epoch(c.view[i].AsOf), r.epoch(c.now))
}

// uncachedTokens is how many tokens of the prompt need prefill at an upstream.
func (c *chooser) uncachedTokens(i int) int {
	cached := 0.0
	if c.cached != nil {
		cached = c.cached[i] * prompt.BlockTokens
	}
	return max(1, c.req.PromptTokens-int(cached))
}

// networkDelay is the round trip to an upstream, in seconds.
func (c *chooser) networkDelay(u *blackboard.Upstream) float64 {
	if u.Instance.FailureDomain == c.req.FailureDomain {
		return 0
	}
	return c.router.params.CrossDomainRTT.Seconds()
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
