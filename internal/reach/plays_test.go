package reach

import (
	"context"
	"flag"
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

var (
	playSeeds = flag.Int("reach.seeds", 1, "plays of each story")
	playLarge = flag.Bool("reach.large", false, "play fleets of 70 and 330 gateways too")
	playTable = flag.String("reach.table", "", "file to write a table into")
)

func TestMain(m *testing.M) {
	flag.Parse()
	testkit.OneProcessor()
	os.Exit(m.Run())
}

// The times of a play.
const (
	cutAt, healAt, playEnd = 3 * time.Second, 7 * time.Second, 9 * time.Second
	// settle is the time after the cut, and after its end, that a gateway has to find out.
	settle = time.Second
	// wantShare is how often first tries at gateways that are cut off are to be served, as a share of
	// the others.
	wantShare = 0.95
)

// story is a kind of play.
type story struct {
	name string
	// cut returns the gateways that are cut off, and from which upstreams.
	cut func(r *rand.Rand, gateways, upstreams int) (from, to []int)
	// beside happens at the same time; it may be nil.
	beside func(w *world, cut []int)
}

func indexes(from, to int) []int {
	var out []int
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// share returns a random share of 0..n-1, one at least, and not all unless share is 1.
func share(r *rand.Rand, n int, share float64) []int {
	count := max(1, int(share*float64(n)))
	if share < 1 {
		count = min(count, n-1)
	}
	return r.Perm(n)[:count]
}

var stories = []story{
	{name: "half, from all", cut: func(r *rand.Rand, g, u int) ([]int, []int) { return share(r, g, 0.5), indexes(0, u) }},
	{name: "a domain, from all", cut: func(_ *rand.Rand, g, u int) ([]int, []int) { return indexes(0, max(1, g/4)), indexes(0, u) }},
	{name: "most, from all", cut: func(r *rand.Rand, g, u int) ([]int, []int) { return share(r, g, 0.8), indexes(0, u) }},
	{name: "half, from a domain's", cut: func(r *rand.Rand, g, u int) ([]int, []int) { return share(r, g, 0.5), indexes(0, max(1, u/4)) }},
	{name: "half, from all but one", cut: func(r *rand.Rand, g, u int) ([]int, []int) { return share(r, g, 0.5), indexes(1, u) }},
	{name: "half, from half", cut: func(r *rand.Rand, g, u int) ([]int, []int) { return share(r, g, 0.5), share(r, u, 0.5) }},
	{
		name: "half, from all, beside crashes", cut: func(r *rand.Rand, g, u int) ([]int, []int) { return share(r, g, 0.5), indexes(0, u) },
		beside: func(w *world, _ []int) { w.crash(testkit.LinkRefuses, indexes(0, len(w.upstreams)/4)) },
	},
	{
		name: "none, but crashes", cut: func(*rand.Rand, int, int) ([]int, []int) { return nil, nil },
		beside: func(w *world, _ []int) {
			half := len(w.upstreams) / 2
			w.crash(testkit.LinkRefuses, indexes(0, half/2))
			w.crash(testkit.LinkHangs, indexes(half/2, half))
		},
	},
	{
		name: "half, from all, and a quarter of the others killed", cut: func(r *rand.Rand, g, u int) ([]int, []int) { return share(r, g, 0.5), indexes(0, u) },
		beside: func(w *world, cut []int) {
			var others []int
			for g := range w.gateways {
				if !slices.Contains(cut, g) {
					others = append(others, g)
				}
			}
			killed := others[:len(others)/4]
			time.Sleep(1500 * time.Millisecond)
			w.kill(killed, true)
		},
	},
}

var faults = []testkit.LinkFault{testkit.LinkHangs, testkit.LinkLosesReplies, testkit.LinkResets, testkit.LinkRefuses, testkit.LinkRefusesNew}

// outcome sums up the first tries of plays.
type outcome struct {
	plays int
	// cut and others count first tries, sent later than settle after the cut, at the gateways that are
	// cut off and at the others.
	cut, cutServed, others, othersServed int
	cutTook, othersTook                  []time.Duration
	// relayedLate counts the calls that were relayed later than settle after the end of the cut.
	relayedLate int
	ranTwice    int
	// falseLost counts the paths that were ever taken for lost and were not.
	falseLost int
	worst     float64
	worstSeed uint64
}

// share returns how often the tries at gateways that were cut off were served, as a share of the
// others.
func (o *outcome) share() float64 {
	if o.cut == 0 || o.othersServed == 0 {
		return 1
	}
	return float64(o.cutServed) / float64(o.cut) / (float64(o.othersServed) / float64(o.others))
}

func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// play plays a story once.
func play(t *testing.T, s story, fault testkit.LinkFault, seed uint64, gateways, upstreams int, perSecond float64, by way) outcome {
	var o outcome
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, gateways, upstreams)
		cut, from := s.cut(rand.New(rand.NewPCG(seed, 2)), gateways, upstreams)
		var results []callResult
		var calls sync.WaitGroup
		ctx, stop := context.WithCancel(t.Context())
		for _, g := range w.gateways {
			go g.network.Run(ctx)
		}
		start := time.Now()
		var mu sync.Mutex
		for g := range gateways {
			r := rand.New(rand.NewPCG(seed, uint64(10+g)))
			calls.Go(func() {
				for i := 0; ; i++ {
					time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
					at := time.Since(start)
					if at > playEnd {
						return
					}
					w.mu.Lock()
					dead := w.gateways[g].dead
					w.mu.Unlock()
					if dead {
						continue
					}
					calls.Go(func() {
						result := w.gateways[g].call(ident.Request(fmt.Sprint(g, "-", i)), time.Second, by)
						result.at, result.gateway = at, g
						mu.Lock()
						defer mu.Unlock()
						results = append(results, result)
					})
				}
			})
		}
		time.Sleep(cutAt)
		w.set(fault, cut, from)
		if s.beside != nil {
			calls.Go(func() { s.beside(w, cut) })
		}
		time.Sleep(healAt - cutAt)
		w.set(testkit.LinkUp, cut, from)
		calls.Wait()
		stop()
		time.Sleep(2 * time.Second) // checks and retries end
		o.count(w, cut, results)
	})
	o.plays, o.worst, o.worstSeed = 1, o.share(), seed
	return o
}

func (o *outcome) count(w *world, cut []int, results []callResult) {
	for _, r := range results {
		if r.relayed && r.at > healAt+settle {
			o.relayedLate++
		}
		if r.at < cutAt+settle || r.at > healAt-settle {
			continue
		}
		if slices.Contains(cut, r.gateway) {
			o.cut++
			if r.served {
				o.cutServed++
				o.cutTook = append(o.cutTook, r.took)
			}
			continue
		}
		o.others++
		if r.served {
			o.othersServed++
			o.othersTook = append(o.othersTook, r.took)
		}
	}
	if len(cut) == 0 {
		for _, g := range w.gateways {
			o.falseLost += int(g.network.Counters().Lost)
		}
	}
	runs := make(map[ident.Request]int)
	for _, u := range w.upstreams {
		for id, n := range u.runs {
			if runs[id] += n; runs[id] == 2 {
				o.ranTwice++
			}
		}
	}
}

// add adds the outcome of another play.
func (o *outcome) add(p outcome) {
	if o.plays == 0 || p.worst < o.worst {
		o.worst, o.worstSeed = p.worst, p.worstSeed
	}
	o.plays += p.plays
	o.cut, o.cutServed, o.others, o.othersServed = o.cut+p.cut, o.cutServed+p.cutServed, o.others+p.others, o.othersServed+p.othersServed
	o.cutTook, o.othersTook = append(o.cutTook, p.cutTook...), append(o.othersTook, p.othersTook...)
	o.relayedLate, o.ranTwice, o.falseLost = o.relayedLate+p.relayedLate, o.ranTwice+p.ranTwice, o.falseLost+p.falseLost
}

// fleetSize is a size of fleets that are played.
type fleetSize struct {
	gateways, upstreams int
	// perSecond is how many calls a second each gateway gets.
	perSecond float64
	// seedsPer divides the number of seeds.
	seedsPer int
}

// Guards against callers of gateways that have lost paths to upstreams who are served less often, or
// later, than others: fleets in virtual time, each kind of fault and cut, beside crashes and kills.
func TestGatewaysWithoutPathsServeTheirCallers(t *testing.T) {
	sizes := []fleetSize{{3, 4, 10, 1}, {8, 13, 10, 1}}
	if *playLarge {
		sizes = append(sizes, fleetSize{70, 40, 5, 4}, fleetSize{330, 60, 3, 20})
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-9s %-52s %-24s %6s %8s %8s %8s %8s %8s %6s %6s\n", "gateways", "cut", "links", "plays", "before", "share", "worst", "extra", "p50 ms", "late", "seed")
	for _, size := range sizes {
		for _, s := range stories {
			for _, fault := range faults {
				var o, before outcome
				for seed := range max(1, *playSeeds/size.seedsPer) {
					o.add(play(t, s, fault, uint64(seed+1), size.gateways, size.upstreams, size.perSecond, viaOthers))
					if *playTable != "" && seed < 3 {
						before.add(play(t, s, fault, uint64(seed+1), size.gateways, size.upstreams, size.perSecond, alone))
					}
				}
				extra := median(o.cutTook) - median(o.othersTook)
				name := fmt.Sprintf("%d gateways, %s, %s", size.gateways, s.name, fault)
				if o.share() < wantShare {
					t.Errorf("%s: served %.3f times as often as the others (%d of %d, others %d of %d), want %.2f; worst seed %d", name, o.share(), o.cutServed, o.cut, o.othersServed, o.others, wantShare, o.worstSeed)
				}
				if extra >= 30*time.Millisecond {
					t.Errorf("%s: answers come %v later, want under 30 ms", name, extra)
				}
				if o.ranTwice > 0 {
					t.Errorf("%s: %d calls ran twice", name, o.ranTwice)
				}
				if o.falseLost > 0 {
					t.Errorf("%s: %d paths to crashed upstreams were taken for lost", name, o.falseLost)
				}
				if o.relayedLate > 0 {
					t.Errorf("%s: %d calls were relayed a second after the paths were back", name, o.relayedLate)
				}
				fmt.Fprintf(&table, "%-9d %-52s %-24s %6d %8.3f %8.3f %8.3f %8.1f %8.1f %6d %6d\n", size.gateways, s.name, fault, o.plays, before.share(), o.share(), o.worst,
					float64(extra.Microseconds())/1000, float64(median(o.othersTook).Microseconds())/1000, o.relayedLate, o.worstSeed)
			}
		}
	}
	if *playTable != "" {
		if err := os.WriteFile(*playTable, []byte(table.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
