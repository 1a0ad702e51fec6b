package experiment

import "testing"

// lowLoad is a load at which a run is quick even with the race detector.
const lowLoad = 0.2

func ours() Contender { return Contenders()[len(Contenders())-1] }

// The same seed must give exactly the same figures however many runs take place at
// once, and another seed must give different ones. Every request must end, also while
// a failure domain is reclaimed.
func TestFiguresAreReproducible(t *testing.T) {
	cases := []Case{{Name: "reclaimed", Load: lowLoad, Reclaim: true}}
	runAll := func() Table {
		return RunAll([]*Workload{Domaenenhaus()}, cases, []Contender{Contenders()[0], ours()}, 2)
	}
	first, second := runAll(), runAll()
	for i := range first {
		for seed, f := range first[i].Seeds {
			if f != second[i].Seeds[seed] {
				t.Errorf("%s, seed %d: %+v, then %+v", first[i].Policy, seed+1, f, second[i].Seeds[seed])
			}
			if f.Unfinished > 0 {
				t.Errorf("%s, seed %d: %.2f%% of the requests never ended", first[i].Policy, seed+1, 100*f.Unfinished)
			}
		}
	}
	if first[1].Policy != Ours || first[1].Seeds[0] == first[1].Seeds[1] || first[1].Seeds[0] == first[0].Seeds[0] {
		t.Error("two seeds or two policies gave the same figures")
	}
	const maxRatio = 0.2
	if resumed := first[1].Seeds[0].Resumed; resumed > maxRatio*first[0].Seeds[0].Resumed {
		t.Errorf("ours recomputed %.0f tokens of interrupted streams, round robin %.0f", resumed, first[0].Seeds[0].Resumed)
	}
}

// Guards against streams that count as interrupted although nothing failed. This happened
// when the end of a request, which lets the next one start at the same runner, also started
// the runner's next step while the last step's tokens were still being delivered.
func TestLoadSpikeInterruptsNoStream(t *testing.T) {
	f := Run(Harfang(), Case{Name: "rush", Load: lowLoad, SpikeLoad: 1.5}, ours(), 1)
	if f.Resumed > 0 || f.Refused == 0 && f.Met > 0.99 {
		t.Errorf("recomputed %.0f tokens of streams that were not interrupted; met %.3f", f.Resumed, f.Met)
	}
}

// Guards against an upstream that keeps its share of the work although it has become
// four times slower than it reports. It does if routing relies on reports alone.
func TestSlowUpstreamIsLeftAlone(t *testing.T) {
	const want = 0.985
	slow := Case{Name: "slow upstream", Load: 2 * lowLoad, Slowdown: 4}
	if f := Run(Domaenenhaus(), slow, ours(), 1); f.Met < want {
		t.Errorf("%.2f%% of the requests in target beside a slow upstream, want %.2f%%", 100*f.Met, 100*want)
	}
}
