package gossip

import (
	"maps"
	"slices"
	"time"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

func rolloutsToProto(states rollout.OrderStates) []*exchangev1.Rollout {
	var out []*exchangev1.Rollout
	for i := range states {
		s := &states[i]
		era, offset, _ := s.Order.At.Parts()
		each := &exchangev1.Rollout{
			Service: string(s.Order.Service), Order: offset, Era: uint64(era), Kept: s.Order.At.IsKept(), To: string(s.Order.To), LengthMs: millis(s.Order.TimeLimit),
			AgeMs: millis(min(s.Age, maxAge)), Phase: uint32(s.Phase), ConfirmedMs: millis(min(s.ConfirmedAge, maxAge)), Stopped: s.Stopped,
			Settled: uint32(max(0, s.Settled)),
		}
		for _, route := range slices.Sorted(maps.Keys(s.Evidence)) {
			each.Routes = append(each.Routes, uint32(route))
			for _, tally := range s.Evidence[route] {
				each.Figures = appendTally(each.Figures, &tally)
			}
		}
		out = append(out, each)
	}
	return out
}

func appendTally(figures []int32, t *rollout.Tally) []int32 {
	figures = append(figures, int32(max(0, t.Sent)), int32(t.Answers), int32(t.Failures), int32(len(t.Times)))
	for _, class := range slices.Sorted(maps.Keys(t.Times)) {
		figures = append(figures, int32(class), int32(t.Times[class]))
	}
	return figures
}

func (c *checker) rollouts(in []*exchangev1.Rollout) rollout.OrderStates {
	c.checkCount("rollouts", len(in))
	var out rollout.OrderStates
	for _, each := range in {
		phase := rollout.Phase(each.Phase)
		if each.Service == "" || each.To == "" || phase < rollout.Waiting || phase > rollout.Completed || each.Settled > maxItems {
			c.fail("rollout is not valid: service %q, version %q, phase %d, settled at %d gateways", each.Service, each.To, each.Phase, each.Settled)
		}
		out = append(out, rollout.OrderState{
			Order: rollout.Order{
				Service: ident.Service(each.Service), At: c.position(each.Era, 0, each.Order, each.Kept), To: ident.SoftwareVersion(each.To), TimeLimit: c.length(each.LengthMs),
			},
			Age: c.age(each.AgeMs), Phase: phase, ConfirmedAge: c.age(each.ConfirmedMs), Stopped: each.Stopped, Settled: int(each.Settled),
			Evidence: c.evidence(each.Routes, each.Figures),
		})
	}
	return out
}

// length converts the time that a rollout may take. It has the same bound as an age.
func (c *checker) length(millis uint64) time.Duration {
	if millis == 0 {
		c.fail("rollout has no length")
	}
	return c.age(millis)
}

func (c *checker) evidence(routes []uint32, figures []int32) rollout.EvidenceByRoute {
	c.checkCount("routes of a rollout", len(routes))
	out := make(rollout.EvidenceByRoute, len(routes))
	for _, route := range routes {
		evidence := new(rollout.Evidence)
		for side := range evidence {
			evidence[side], figures = c.tally(figures)
		}
		out[rollout.RouteKey(route)] = evidence
	}
	if len(figures) > 0 {
		c.fail("rollout has %d figures too many", len(figures))
	}
	return out
}

// tallyHeaderFigures is the number of figures that precede a tally's time classes.
const tallyHeaderFigures = 4

// tally decodes one tally and returns the figures that follow it.
func (c *checker) tally(figures []int32) (rollout.Tally, []int32) {
	if len(figures) < tallyHeaderFigures {
		c.fail("tally of a rollout has only %d figures, at least %d are needed", len(figures), tallyHeaderFigures)
		return rollout.Tally{}, nil
	}
	out := rollout.Tally{Sent: int(figures[0]), Answers: int(figures[1]), Failures: int(figures[2])}
	classes, rest := int(figures[3]), figures[tallyHeaderFigures:]
	if out.Sent < 0 || out.Answers < 0 || out.Answers > out.Sent || out.Failures < 0 || out.Failures > out.Answers || classes < 0 || 2*classes > len(rest) {
		c.fail("tally of a rollout is not valid: %d sent, %d answers, %d failures, %d time classes", out.Sent, out.Answers, out.Failures, classes)
		return rollout.Tally{}, nil
	}
	for i := range classes {
		class, n := rollout.TimeClass(rest[2*i]), int(rest[2*i+1])
		if !class.Valid() || n < 0 || n > out.Answers {
			c.fail("tally of a rollout is not valid: %d answers in time class %d", n, class)
			continue
		}
		if out.Times == nil {
			out.Times = make(map[rollout.TimeClass]int)
		}
		out.Times[class] = n
	}
	return out, rest[2*classes:]
}
