package rollout

import "math"

const (
	// canaryFraction of the share is spent in the canary phase. The rest is a reserve for a
	// version that turns bad while all requests are moved to it.
	canaryFraction = 0.7
	// slackFraction of the slack is spent. The rest is a reserve for requests that are sent
	// at the same time as the last allowed one, or again after a gateway's restart.
	slackFraction = 0.5
	// evenFraction of the budget is divided evenly among the routes, so that rare routes are
	// tried too; the rest is divided in proportion to their requests.
	evenFraction = 0.7
)

// exposureBudget is one gateway's part of the requests that an unproven version may get.
// Gateways need not coordinate: each spends a fraction of the requests that it sends itself,
// and its part of the slack, so that the sum cannot exceed the bound.
type exposureBudget struct {
	sent, exposed int
	routes        map[RouteKey]*routeCounts
	// slack is this gateway's part of Limits.Slack, if slackKnown is set.
	slackKnown bool
	slack      float64
}

// routeCounts counts the requests of one route, and those of them sent to the new version.
type routeCounts struct{ sent, exposed int }

// setSlack sets this gateway's part of the slack, once. If there are more gateways than
// requests in the slack, some gateways get one request and most get none; draw, a number from
// 0 to 1 that is specific to the gateway, decides.
func (b *exposureBudget) setSlack(l Limits, gateways int, draw float64) {
	if b.slackKnown {
		return
	}
	b.slackKnown = true
	b.slack = math.Floor(slackFraction*l.Slack/float64(max(1, gateways)) + draw)
}

func (b *exposureBudget) route(key RouteKey) *routeCounts {
	if b.routes == nil {
		b.routes = make(map[RouteKey]*routeCounts)
	}
	r := b.routes[key]
	if r == nil {
		r = new(routeCounts)
		b.routes[key] = r
	}
	return r
}

// count counts a request to the service; exposed means that it went to the new version.
func (b *exposureBudget) count(key RouteKey, exposed bool) {
	r := b.route(key)
	b.sent++
	r.sent++
	if exposed {
		b.exposed++
		r.exposed++
	}
}

// allowsExposure reports whether one more request of a route may go to the new version.
func (b *exposureBudget) allowsExposure(key RouteKey, l Limits) bool {
	r := b.route(key)
	fraction := canaryFraction * l.Share
	total := fraction*float64(b.sent) + b.slack
	ofRoute := evenFraction*total/float64(len(b.routes)) + (1-evenFraction)*(fraction*float64(r.sent)+b.slack)
	return float64(b.exposed+1) <= total && float64(r.exposed+1) <= ofRoute
}
