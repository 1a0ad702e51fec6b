package fleetsim

import (
	"sync"
	"testing"
	"time"
)

// unevenKinds are the slowdowns of engines that differ, by turns.
var unevenKinds = []float64{0.6, 1, 1.6}

// maxRegret is by which share callers may be served worse than if gateways were told the speeds.
const maxRegret = 0.05

// unevenCase returns a run with engines that differ, at a share of what they can do.
func unevenCase(kind EngineKind, size FleetSize, share float64) Case {
	const engines = 12
	return Case{Engine: kind, Fleet: size, Load: Loads()[0], BusyEngines: share * engines, FixedEngines: engines, Slowdowns: unevenKinds, Seed: 1}
}

// compare plays a run with speeds that are learned, told and ignored, and one with engines that are all
// alike. It fails if learning them costs callers too much or gains them nothing, and returns how often
// engines were ejected where the speeds are learned and where all are alike.
func compare(t *testing.T, c Case) (ejected, ejectedAlike int) {
	t.Helper()
	cases := [4]Case{c, c, c, c}
	cases[0].Speeds, cases[1].Speeds, cases[2].Speeds = SpeedsTold, SpeedsIgnored, SpeedsLearned
	cases[3].Speeds, cases[3].Slowdowns = SpeedsLearned, []float64{1}
	var figures [len(cases)]Figures
	var runs sync.WaitGroup
	for i := range cases {
		runs.Go(func() { figures[i] = Run(cases[i]) })
	}
	runs.Wait()
	told, ignored, learned, alike := figures[0], figures[1], figures[2], figures[3]
	t.Logf("%s, %d gateways, %.1f of %d engines busy: earned %.3f ignored, %.3f learned, %.3f told; first event %v, %v, %v; ejections %d, %d, %d, and %d where all are alike",
		c.Engine.Name, c.Fleet.Gateways, c.BusyEngines, c.FixedEngines, ignored.EarnedShare, learned.EarnedShare, told.EarnedShare,
		ignored.FirstEvent.Round(time.Millisecond), learned.FirstEvent.Round(time.Millisecond), told.FirstEvent.Round(time.Millisecond),
		ignored.Ejections, learned.Ejections, told.Ejections, alike.Ejections)
	if learned.EarnedShare < (1-maxRegret)*told.EarnedShare {
		t.Errorf("%.3f of the worth is earned, %.3f if the speeds are told", learned.EarnedShare, told.EarnedShare)
	}
	if learned.EarnedShare < ignored.EarnedShare {
		t.Errorf("%.3f of the worth is earned, %.3f if the speeds are ignored", learned.EarnedShare, ignored.EarnedShare)
	}
	if float64(learned.FirstEvent) > (1+maxRegret)*float64(told.FirstEvent) {
		t.Errorf("first events take %v, %v if the speeds are told", learned.FirstEvent, told.FirstEvent)
	}
	return learned.Ejections, alike.Ejections
}

// Guards against gateways that learn engines' speeds too slowly or wrongly, and against engines that
// are ejected for being of a slow kind.
func TestLearnedSpeedsServeLikeToldOnes(t *testing.T) {
	ejected, ejectedAlike := 0, 0
	for _, kind := range []EngineKind{EngineKinds()[0], EngineKinds()[1], EngineKinds()[2]} {
		for _, size := range []FleetSize{FleetSizes()[0], FleetSizes()[1]} {
			for _, share := range []float64{0.6, 0.8} {
				learned, alike := compare(t, unevenCase(kind, size, share))
				ejected += learned
				ejectedAlike += alike
			}
		}
	}
	if ejected > ejectedAlike {
		t.Errorf("engines that differ were ejected %d times, and %d times where all are alike", ejected, ejectedAlike)
	}
}

// Guards against slow spells of single engines that are taken for their speeds.
func TestSlowSpellsAreToldFromSlowEngines(t *testing.T) {
	c := unevenCase(EngineKinds()[0], FleetSizes()[0], 0.6)
	c.Spells = Spells{Every: 7, Length: 500 * time.Millisecond, Slowdown: 2.5}
	if ejected, alike := compare(t, c); ejected > alike {
		t.Errorf("engines that differ were ejected %d times, and %d times where all are alike", ejected, alike)
	}
}
