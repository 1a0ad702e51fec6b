package scaling

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
)

// figuresOf returns the figures of engines that read prompts at the given rate, in tokens
// per second.
func figuresOf(rate float64) enginemodel.Estimate {
	return enginemodel.Estimate{Base: 60 * time.Millisecond, SecondsPerToken: 1 / rate}
}

// Guards against a large fleet that orders all the upstreams that it may, at a tenth of its
// value, when engines of 12 slots take the place of engines of 64. The cause was a share of
// free slots that suits one kind of engine and decided how many of another kind are needed.
func TestNeedFollowsTheSlotsOfTheEngines(t *testing.T) {
	for _, c := range []struct {
		name        string
		demand      placement.Demand
		rate        float64
		slots       int
		least, most float64
	}{
		{"nothing asked", placement.Demand{}, 60_000, 12, 0, 0},
		{"440 generate on 12 slots: 37 engines at full slots", placement.Demand{Generating: 440}, 60_000, 12, 40, 48},
		{"45 generate on 64 slots", placement.Demand{Generating: 45}, 60_000, 64, 1, 1.3},
		{"45 generate on 6 slots", placement.Demand{Generating: 45}, 60_000, 6, 10, 13},
		{"reading for ten engines", placement.Demand{PromptTokensPerSecond: 600_000}, 60_000, 12, 16, 17},
	} {
		if got := Need(c.demand, figuresOf(c.rate), c.slots); got < c.least || got > c.most {
			t.Errorf("%s: %.1f engines, want %.1f to %.1f", c.name, got, c.least, c.most)
		}
	}
}

// Guards against the same reserve of upstreams for six failure domains as for four: a fixed
// factor was used instead of what a reclaim takes away.
func TestTheReserveOutlastsTwoReclaims(t *testing.T) {
	for domains := 1; domains <= 12; domains++ {
		got := reserveFactor(domains)
		if domains > 4 && got*float64(domains-2)/float64(domains) < 0.999 {
			t.Errorf("%d domains: a reserve factor of %.2f does not outlast two reclaims", domains, got)
		}
		if got < 1 || got > maxReserveFactor {
			t.Errorf("%d domains: a reserve factor of %.2f is out of bounds", domains, got)
		}
	}
}

// Guards against orders only for what is missing already. Of three domains, the second and
// third are reclaimed within seconds. After the first reclaim the others still meet the need;
// on-demand upstreams are ordered only when the second domain is gone, and take longer to
// start than the third lasts. A third of the engines is left, and every tenth request of a
// quiet day is refused.
func TestWhatTheNextReclaimTakesIsOrderedBeforeIt(t *testing.T) {
	scale := standardScale()
	scale.MaxPerDomain = 60
	delete(scale.Prices, "d")
	s := PlanInput{Scale: scale, Need: 60, ClosedSlots: make(map[Slot]bool), Serving: map[Slot]int{{"b", true}: 40, {"c", true}: 40}}
	for _, d := range []ident.FailureDomain{"a", "b", "c"} {
		s.ClosedSlots[Slot{d, true}] = true
	}
	count := func() int {
		n := 0
		for slot, wanted := range Plan(s) {
			if !slot.Reclaimable {
				n += wanted
			}
		}
		return n
	}
	if n := count(); n != 0 {
		t.Errorf("%d on-demand upstreams are planned with no domain at risk, want 0", n)
	}
	s.DomainsAtRisk = expectedNextReclaims
	if n := count(); n < 8 || n > 20 {
		t.Errorf("%d on-demand upstreams are planned with a domain at risk, want 8 to 20", n)
	}
}
