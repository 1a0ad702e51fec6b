package scaling

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
)

// figuresOf are those of engines that read so many tokens a second.
func figuresOf(rate float64) enginemodel.Figures {
	return enginemodel.Figures{Base: 60 * time.Millisecond, Token: 1 / rate}
}

// Symptom: a large fleet orders all the upstreams that it may, at a tenth of its worth.
// Sequence: engines of 12 slots take the place of engines of 64. Cause: a part of the
// slots that was found on one kind of engine decides how many another kind needs.
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
		{"reading for ten engines", placement.Demand{Prompt: 600_000}, 60_000, 12, 16, 17},
	} {
		if got := Need(c.demand, figuresOf(c.rate), c.slots); got < c.least || got > c.most {
			t.Errorf("%s: %.1f engines, want %.1f to %.1f", c.name, got, c.least, c.most)
		}
	}
}

// Symptom: the same reserve of upstreams among six failure domains as among four. Cause:
// a factor instead of what a reclaim takes.
func TestTheReserveOutlastsTwoReclaims(t *testing.T) {
	for domains := 1; domains <= 12; domains++ {
		got := reserveFactor(domains)
		if domains > 4 && got*float64(domains-2)/float64(domains) < 0.999 {
			t.Errorf("%d domains: %.2f does not outlast two", domains, got)
		}
		if got < 1 || got > maxReserveFactor {
			t.Errorf("%d domains: %.2f", domains, got)
		}
	}
}

// Symptom: of three domains the second and third are reclaimed within seconds, a third of
// the engines is left, and every tenth request of a quiet day is refused. Sequence: after
// the first reclaim the others still carry the need; on-demand upstreams are ordered when
// the second is gone, and take longer to start than the third lasts. Cause: only what is
// missing already is ordered.
func TestWhatTheNextReclaimTakesIsOrderedBeforeIt(t *testing.T) {
	scale := standardScale()
	scale.Most = 60
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
		t.Errorf("%d on-demand upstreams without need", n)
	}
	s.DomainsAtRisk = expectedNextReclaims
	if n := count(); n < 8 || n > 20 {
		t.Errorf("%d on-demand upstreams at risk", n)
	}
}
