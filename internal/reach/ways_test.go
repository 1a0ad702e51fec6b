package reach

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// What the balancer does with a gateway that is not ready, by the users' pages.
const (
	// readinessDelay is the time until a gateway that is not ready gets no new connections: two checks,
	// one a second.
	readinessDelay = 2 * time.Second
	// newConnectionShare is how many of the calls come on a new connection.
	newConnectionShare = 0.5
)

// wayResult counts calls at gateways that are cut off, by a way to treat them.
type wayResult struct{ calls, first, atAll int }

// playWay plays a cut from all upstreams, and returns how often first tries are served at the gateways
// that are cut off, and how often calls are served with one retry at another gateway.
func playWay(t *testing.T, seed uint64, fault testkit.LinkFault, gateways, upstreams int, cut []int, by way, notReady bool) (r wayResult) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, gateways, upstreams)
		ctx, stop := context.WithCancel(t.Context())
		for _, g := range w.gateways {
			go g.network.Run(ctx)
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		time.Sleep(cutAt)
		w.set(fault, cut, indexes(0, upstreams))
		var mu sync.Mutex
		var calls sync.WaitGroup
		domain := func(g int) int { return g % 4 }
		inRotation := func(g int) (ready, all []int) {
			for i := range gateways {
				if domain(i) == domain(g) {
					all = append(all, i)
					if !slices.Contains(cut, i) {
						ready = append(ready, i)
					}
				}
			}
			return ready, all
		}
		for i := range 40 * len(cut) {
			time.Sleep(time.Duration(float64(100*time.Millisecond) / float64(len(cut))))
			g := cut[i%len(cut)]
			sinceCut := time.Duration(i) * 100 * time.Millisecond / time.Duration(len(cut))
			if ready, all := inRotation(g); notReady && sinceCut > readinessDelay+500*time.Millisecond && rng.Float64() < newConnectionShare && 2*len(ready) >= len(all) && len(ready) > 0 {
				g = ready[rng.IntN(len(ready))]
			}
			other := rng.IntN(gateways)
			calls.Go(func() {
				first := w.gateways[g].call(ident.Request(fmt.Sprint("a", i)), time.Second, by).served
				served := first || w.gateways[other].call(ident.Request(fmt.Sprint("b", i)), time.Second, by).served
				if sinceCut < settle {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				r.calls++
				if first {
					r.first++
				}
				if served {
					r.atAll++
				}
			})
		}
		calls.Wait()
		stop()
		time.Sleep(2 * time.Second)
	})
	return r
}

// toldBy returns when a gateway's own failures alone say that it is cut off: connections to so many
// upstreams failed within a second.
func toldBy(failures []failedDial, upstreams int) (time.Time, bool) {
	for i, last := range failures {
		seen := make(map[ident.Instance]bool)
		for _, f := range failures[:i+1] {
			if last.at.Sub(f.at) <= time.Second {
				seen[f.upstream] = true
			}
		}
		if len(seen) >= upstreams {
			return last.at, true
		}
	}
	return time.Time{}, false
}

// Compares ways to serve callers of gateways that are cut off, and ways to tell a lost path from an
// upstream that is down. It writes a table, and checks that the product's way is the best.
func TestWaysToServeAndToTell(t *testing.T) {
	seeds := uint64(max(2, *playSeeds))
	var table strings.Builder
	ways := []struct {
		name     string
		by       way
		notReady bool
	}{
		{"alone (before), and refusing at once", alone, false}, {"alone, not ready", alone, true},
		{"through others", viaOthers, false}, {"through others, not ready", viaOthers, true},
	}
	cuts := []struct {
		name string
		of   []int
	}{{"a domain's", []int{0, 4}}, {"one", []int{0}}, {"three of four domains'", []int{0, 1, 2, 4, 5, 6}}}
	for _, fault := range []testkit.LinkFault{testkit.LinkHangs, testkit.LinkRefuses} {
		for _, c := range cuts {
			best := 0.0
			for _, way := range ways {
				var sum wayResult
				for seed := range seeds {
					r := playWay(t, seed+1, fault, 8, 13, c.of, way.by, way.notReady)
					sum = wayResult{sum.calls + r.calls, sum.first + r.first, sum.atAll + r.atAll}
				}
				first := float64(sum.first) / float64(sum.calls)
				fmt.Fprintf(&table, "%-24s %-24s %-40s first tries %.3f, with one retry elsewhere %.3f\n", fault, c.name, way.name, first, float64(sum.atAll)/float64(sum.calls))
				if way.name == "through others" && first < best {
					t.Errorf("%s, %s: %.3f of first tries served, another way %.3f", fault, c.name, first, best)
				}
				best = max(best, first)
			}
		}
	}
	for _, k := range []int{1, 2, 3, 5} {
		crashes, cutsMissed, plays := 0, 0, 0
		var delay time.Duration
		for seed := range seeds {
			for _, crash := range []bool{true, false} {
				told, missed, after := playTold(t, seed+1, k, crash)
				if crash {
					crashes += told
				} else {
					cutsMissed, delay, plays = cutsMissed+missed, delay+after, plays+told
				}
			}
		}
		mean := time.Duration(0)
		if plays > 0 {
			mean = delay / time.Duration(plays)
		}
		fmt.Fprintf(&table, "own failures, %d upstreams in a second: crashes taken for a cut %d of %d, cuts not told %d of %d, told after %v\n", k, crashes, 8*seeds, cutsMissed, 4*seeds, mean.Round(time.Millisecond))
	}
	if *playTable != "" {
		if err := os.WriteFile(strings.TrimSuffix(*playTable, ".txt")+"-ways.txt", []byte(table.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// playTold plays half of the upstreams crashing, or four of eight gateways cut off, and returns how many
// gateways tell a cut by their own failures, how many of those that are cut off do not, and after how
// long the others do, in sum.
func playTold(t *testing.T, seed uint64, k int, crash bool) (told, missed int, after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, 8, 13)
		time.Sleep(cutAt)
		start := time.Now()
		cut := indexes(0, 8)
		if crash {
			w.crash(testkit.LinkHangs, indexes(0, 6))
		} else {
			cut = indexes(0, 4)
			w.set(testkit.LinkHangs, cut, indexes(0, 13))
		}
		var calls sync.WaitGroup
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			for _, g := range cut {
				calls.Go(func() { w.gateways[g].call(ident.Request(fmt.Sprint(g, "-", i)), time.Second, alone) })
			}
		}
		calls.Wait()
		for _, g := range cut {
			if at, ok := toldBy(w.gateways[g].failedAt, k); ok {
				told++
				after += at.Sub(start)
			} else {
				missed++
			}
		}
	})
	return told, missed, after
}
