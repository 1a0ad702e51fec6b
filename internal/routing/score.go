package routing

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
)

// estimate is the predicted performance of one request at one upstream. Times
// are in seconds.
type estimate struct {
	// score ranks upstreams, lower is better; see cost.
	score float64
	// firstToken is the time to the first token, unloaded the same at an idle
	// upstream.
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
	unreported := c.unreportedWork(i)
	if c.plain {
		return c.estimatePlain(i, unreported)
	}
	s := c.router.stateOf(u, c.upstreams[i].local, unreported)
	e := estimate{betweenTokens: s.stepTime, uncachedTokens: c.uncachedTokens(i)}
	ahead, own := c.predictWait(s, e.uncachedTokens)
	e.unloaded = own + c.networkDelay(u)
	e.firstToken = ahead + e.unloaded
	e.engineSeconds = float64(e.uncachedTokens)/s.prefillRate + float64(c.req.MaxTokens)*s.decodeTime/s.batchSize
	e.score = c.cost(i, s, e)
	return e
}

// cost returns the score of the i-th upstream, a weighted sum of: the prefill
// that is not cached there, the price, lateness, a fill above that of the other
// upstreams, the fill itself, and not being a home of the prefix.
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

// lateness is how far the likely time to the first token is beyond
// LatenessStart, as a share of the target. It is at most 1: when all upstreams
// are late, sending to the upstream with the least delay would only scatter the
// prefixes over more caches.
func (c *chooser) lateness(firstToken float64) float64 {
	p := &c.router.params
	target := orElse(c.req.Class.FirstToken.Seconds(), p.DefaultTarget.Seconds())
	return min(1, max(0, firstToken*c.margin/target-p.LatenessStart))
}

// estimatePlain scores an upstream of a plain service by the requests in flight
// there. The network delay breaks ties in favour of this gateway's failure domain.
func (c *chooser) estimatePlain(i int, unreported sentWork) estimate {
	u := &c.view[i]
	running := u.Report.Running + unreported.requests
	own := int(c.upstreams[i].local.outstanding.Load())
	return estimate{score: float64(max(running, own)) + c.networkDelay(u)}
}

// unreportedWork returns what this gateway sent after the upstream's report was
// made and that still waits for its first token.
func (c *chooser) unreportedWork(i int) sentWork {
	r := c.router
	return c.upstreams[i].local.awaitingFirstToken(r.epoch(c.view[i].AsOf), r.epoch(c.now))
}

// uncachedTokens returns how many tokens of the prompt need prefill at the i-th
// upstream, at least 1.
func (c *chooser) uncachedTokens(i int) int {
	cached := 0.0
	if c.cached != nil {
		cached = c.cached[i] * prompt.BlockTokens
	}
	return max(1, c.req.PromptTokens-int(cached))
}

// networkDelay returns the round-trip time to an upstream, in seconds; within
// this gateway's failure domain it counts as 0.
func (c *chooser) networkDelay(u *blackboard.Upstream) float64 {
	if u.Instance.FailureDomain == c.req.FailureDomain {
		return 0
	}
	return c.router.params.CrossDomainRTT.Seconds()
}

// orElse returns value if it is positive, else fallback.
func orElse(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
