package rollout

import "math"

const (
	// canaryFraction of the share is spent while a version is tried. The rest is for a
	// version that turns bad while all requests are moved to it.
	canaryFraction = 0.7
	// slackFraction of the slack is spent; what is sent at the same time as the last allowed
	// request, and again after a gateway's restart, must fit beside it.
	slackFraction = 0.5
	// evenFraction of what may be spent is divided evenly among the routes, so that rare ones
	// are seen too; the rest goes by how much each route is asked.
	evenFraction = 0.7
)

// exposureBudget is one gateway's part of what an unproven version may get. Gateways need not ask
// each other: each spends a part of the requests that it itself sends, and its part of the
// slack, and the sum of all cannot exceed the bound.
type exposureBudget struct {
	sent, exposed int
	routes        map[RouteKey]*routeCounts
	// slack is this gateway's part, once known.
	slackKnown bool
	slack      float64
}

// routeCounts counts the requests of one route, and those of them that went to the version.
type routeCounts struct{ sent, exposed int }

// setSlack sets this gateway's part of the slack. Among more gateways than there are requests
// in it some get one and most none, by draw, a number from 0 to 1.
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

// count counts a request that was sent to the service.
func (s *exposureBudget) count(key RouteKey, exposed bool) {
	r := s.route(key)
	s.sent++
	r.sent++
	if exposed {
		s.exposed++
		r.exposed++
	}
}

// allows reports whether one more request of a route may go to the version.
func (s *exposureBudget) allows(key RouteKey, l Limits) bool {
	r := s.route(key)
	part := canaryFraction * l.Share
	all := part*float64(s.sent) + s.slack
	own := evenFraction*all/float64(len(s.routes)) + (1-evenFraction)*(part*float64(r.sent)+s.slack)
	return float64(s.exposed+1) <= all && float64(r.exposed+1) <= own
}
