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
func (s *exposureBudget) setSlack(l Limits, gateways int, draw float64) {
	if s.slackKnown {
		return
	}
	s.slackKnown = true
	s.slack = math.Floor(slackFraction*l.Slack/float64(max(1, gateways)) + draw)
}

func (s *exposureBudget) route(key RouteKey) *routeCounts {
	if s.routes == nil {
		s.routes = make(map[RouteKey]*routeCounts)
	}
	r := s.routes[key]
	if r == nil {
		r = new(routeCounts)
		s.routes[key] = r
	}
	return r
}

// count counts a request to the service; exposed means that it went to the new version.
func (s *exposureBudget) count(key RouteKey, exposed bool) {
	r := s.route(key)
	s.sent++
	r.sent++
	if exposed {
		s.exposed++
		r.exposed++
	}
}

// allowsExposure reports whether one more request of a route may go to the new version.
func (s *exposureBudget) allowsExposure(key RouteKey, l Limits) bool {
	r := s.route(key)
	fraction := canaryFraction * l.Share
	total := fraction*float64(s.sent) + s.slack
	ofRoute := evenFraction*total/float64(len(s.routes)) + (1-evenFraction)*(fraction*float64(r.sent)+s.slack)
	return float64(s.exposed+1) <= total && float64(r.exposed+1) <= ofRoute
}
