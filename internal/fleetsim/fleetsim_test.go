package fleetsim

import (
	"testing"
)

// Tests the most expensive load: all reclaimable engines of one failure domain are reclaimed,
// then those of the next, while the cloud has no others; with few and many gateways, and
// engines of 6 to 64 slots. The bounds are 0.02 to 0.03 below what the policies reach with this
// seed.
func TestCallersAreServedThroughReclaims(t *testing.T) {
	for _, c := range []struct {
		engine, gateways int
		minEarned        float64
	}{
		{engine: 0, gateways: 0, minEarned: 0.96},
		{engine: 1, gateways: 0, minEarned: 0.95},
		{engine: 2, gateways: 1, minEarned: 0.90},
		{engine: 3, gateways: 0, minEarned: 0.85},
	} {
		kind, size := EngineKinds()[c.engine], FleetSizes()[c.gateways]
		f := Run(Case{Engine: kind, Fleet: size, Load: Loads()[3], BusyEngines: 8, Seed: 1})
		t.Logf("%s, %d gateways: whole %.3f, paid %.2f, refused %.3f", kind.Name, size.Gateways, f.EarnedShare, f.Paid, f.Refused)
		if f.EarnedShare < c.minEarned {
			t.Errorf("%s, %d gateways: %.3f of the worth is earned, want %.3f", kind.Name, size.Gateways, f.EarnedShare, c.minEarned)
		}
	}
}

// Guards against four engines running for each one that is needed. This happens if the
// number of engines follows from a fraction of used slots that suits only one kind of engine.
func TestACalmLoadIsServedAtAPrice(t *testing.T) {
	for _, kind := range EngineKinds()[:4] {
		f := Run(Case{Engine: kind, Fleet: FleetSizes()[0], Load: Loads()[0], BusyEngines: 8, Seed: 1})
		t.Logf("%s: whole %.3f, paid %.2f, rate %.2f", kind.Name, f.EarnedShare, f.Paid, f.RateRatio)
		if f.EarnedShare < 0.98 || f.Paid > 0.95 {
			t.Errorf("%s: %.3f of the worth for %.2f on-demand engines an engine that works", kind.Name, f.EarnedShare, f.Paid)
		}
	}
}

// Guards against policies that lose much because gateways know each other's load only with the
// delay of the exchange: it compares them with gateways that know it at once.
func TestAgedViewsCostLittle(t *testing.T) {
	for _, size := range FleetSizes()[1:3] {
		c := Case{Engine: EngineKinds()[0], Fleet: size, Load: Loads()[0], BusyEngines: 12, Seed: 1}
		aged := Run(c)
		c.LoadsKnownAtOnce = true
		atOnce := Run(c)
		t.Logf("%d gateways: aged %.3f, known at once %.3f", size.Gateways, aged.Value(), atOnce.Value())
		if aged.Value() < atOnce.Value()-0.03 {
			t.Errorf("%d gateways: %.3f, with loads known at once %.3f", size.Gateways, aged.Value(), atOnce.Value())
		}
	}
}

func TestARunRepeats(t *testing.T) {
	c := Case{Engine: EngineKinds()[1], Fleet: FleetSizes()[0], Load: Loads()[4], BusyEngines: 4, Seed: 7}
	if a, b := Run(c), Run(c); a != b {
		t.Errorf("%+v and then %+v", a, b)
	}
}
