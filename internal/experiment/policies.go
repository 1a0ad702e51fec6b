package experiment

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
)

// Policy chooses upstreams for one gateway and one service.
type Policy interface {
	// Decide returns a decision without an upstream if none is usable.
	Decide(doc *document.Document, view []blackboard.Upstream, req routing.Request, now time.Time) routing.Decision
	// Started, FirstToken and Finished record the events of an attempt.
	Started(d routing.Decision, req routing.Request, now time.Time) routing.Ticket
	FirstToken(t *routing.Ticket, now time.Time)
	Finished(t *routing.Ticket, r routing.Result, now time.Time)
	// Slots returns how many requests the gateway may have in flight.
	Slots(view []blackboard.Upstream, gateways int, now time.Time) int
}

// Contender is a policy that is compared with others. It makes a Policy for each service of
// each gateway.
type Contender struct {
	Name string
	// Admission means that requests go through admission, which may let them wait or
	// refuse them.
	Admission bool
	// BlindToCaches means that the policy does not get the upstreams' cache events.
	BlindToCaches bool
	New           func(random func() uint64, now time.Time) Policy
}

// ourParams returns the parameters of our policy; a trial may replace the function.
var ourParams = routing.DefaultParams

// Ours is the name of the policy that gateways use.
const Ours = "ours"

// Contenders returns the baselines and our policy.
func Contenders() []Contender {
	return []Contender{
		withoutCaches(baseline("round robin", roundRobin)),
		withoutCaches(baseline("fewest in flight", fewestInFlight)),
		withoutCaches(baseline("random of two", randomOfTwo)),
		baseline("prefix affinity", prefixAffinity),
		{Name: Ours, Admission: true, New: ourPolicy},
	}
}

// WithoutAdmission returns our policy without admission, for trials.
func WithoutAdmission() Contender { return Contender{Name: Ours + ", all let in", New: ourPolicy} }

func ourPolicy(random func() uint64, now time.Time) Policy {
	p := ourParams()
	p.Random = random
	return routing.New(p, now)
}

// baselinePolicy chooses among the usable upstreams by a simple rule.
type baselinePolicy struct {
	// Router counts the requests in flight; choose makes the choice.
	*routing.Router
	choose func(p *baselinePolicy, usable []*blackboard.Upstream, req routing.Request, now time.Time) *blackboard.Upstream
	random func() uint64
	// turn is the position of round robin.
	turn int
}

// baseline returns a contender with the given rule and without admission.
func baseline(name string, choose func(*baselinePolicy, []*blackboard.Upstream, routing.Request, time.Time) *blackboard.Upstream) Contender {
	return Contender{Name: name, New: func(random func() uint64, now time.Time) Policy {
		p := routing.DefaultParams()
		p.Random = random
		return &baselinePolicy{Router: routing.New(p, now), choose: choose, random: random, turn: int(random() % modelRunners)}
	}}
}

// withoutCaches returns the contender without the upstreams' cache events.
func withoutCaches(c Contender) Contender {
	c.BlindToCaches = true
	return c
}

// Decide chooses an upstream and lets the Router decide on a view that contains only this
// one, so that requests are counted and times predicted in the same way for all policies.
func (p *baselinePolicy) Decide(doc *document.Document, view []blackboard.Upstream, req routing.Request, now time.Time) routing.Decision {
	var usable []*blackboard.Upstream
	for i := range view {
		if view[i].State == blackboard.Alive && !slices.Contains(req.Exclude, view[i].Instance.ID) {
			usable = append(usable, &view[i])
		}
	}
	if len(usable) == 0 {
		return routing.Decision{}
	}
	chosen := p.choose(p, usable, req, now)
	return p.Router.Decide(doc, []blackboard.Upstream{*chosen}, req, now)
}

func roundRobin(p *baselinePolicy, usable []*blackboard.Upstream, _ routing.Request, _ time.Time) *blackboard.Upstream {
	p.turn++
	return usable[p.turn%len(usable)]
}

func fewestInFlight(p *baselinePolicy, usable []*blackboard.Upstream, _ routing.Request, _ time.Time) *blackboard.Upstream {
	start := int(p.random() % uint64(len(usable)))
	best := usable[start]
	for i := range usable {
		if u := usable[(start+i)%len(usable)]; p.Outstanding(u.Instance.ID) < p.Outstanding(best.Instance.ID) {
			best = u
		}
	}
	return best
}

func randomOfTwo(p *baselinePolicy, usable []*blackboard.Upstream, _ routing.Request, _ time.Time) *blackboard.Upstream {
	a := usable[p.random()%uint64(len(usable))]
	b := usable[p.random()%uint64(len(usable))]
	if p.Outstanding(b.Instance.ID) < p.Outstanding(a.Instance.ID) {
		return b
	}
	return a
}

// prefixAffinity chooses the upstream that has most of the prompt cached, and among equals
// the one with the fewest requests in flight.
func prefixAffinity(p *baselinePolicy, usable []*blackboard.Upstream, req routing.Request, now time.Time) *blackboard.Upstream {
	var longest []*blackboard.Upstream
	most := -1
	for _, u := range usable {
		n := int(u.Cache.Cached(req.Blocks, now) + 0.5)
		if n > most {
			longest, most = longest[:0], n
		}
		if n == most {
			longest = append(longest, u)
		}
	}
	return fewestInFlight(p, longest, req, now)
}
