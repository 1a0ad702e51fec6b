package retryslack_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

var (
	// budgetSeeds is the number of plays of each story. CI uses the default.
	budgetSeeds = flag.Int("budget.seeds", 6, "plays of each story")
	// budgetLarge adds fleets of hundreds of gateways.
	budgetLarge = flag.Bool("budget.large", false, "fleets of 330 and 984 gateways too")
)

const (
	playService = ident.Service("svc")
	playStep    = 20 * time.Millisecond
	// calm is the time before the upstreams begin to reject requests, so that the gateways know each other.
	calm       = 14 * time.Second
	playLength = 44 * time.Second
	// maxLateness is how much later than it was sent an attempt may arrive.
	maxLateness = 2 * time.Second
)

var (
	playConfig = retry.FleetBudgetConfig{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	playRule   = testkit.RetryRule(playConfig)
)

// story is what happens to a fleet of gateways while all upstreams reject.
type story struct {
	name string
	// run is called once per step.
	run func(p *play)
}

// killEvery kills all gateways at intervals; each is back after downtime.
func killEvery(interval, downtime time.Duration) func(*play) {
	return func(p *play) {
		if p.isTime(interval) {
			p.killAll(downtime)
		}
	}
}

// replaceInTurn ends one gateway after the other and starts it again.
func replaceInTurn(pause time.Duration) func(*play) {
	return func(p *play) {
		if p.isTime(pause) {
			p.kill(int(p.sinceCalm()/pause)%len(p.gateways), 300*time.Millisecond)
		}
	}
}

var stories = []story{
	{"nothing ends", func(*play) {}},
	{"all killed once", func(p *play) {
		if p.sinceCalm() == 3*time.Second {
			p.killAll(700 * time.Millisecond)
		}
	}},
	{"all killed each 3 s", killEvery(3*time.Second, 400*time.Millisecond)},
	{"all killed each 6 s", killEvery(6*time.Second, time.Second)},
	{"replaced in turn", replaceInTurn(300 * time.Millisecond)},
	{"killed at random", func(p *play) {
		if p.sinceCalm() > 0 && p.rng.IntN(100) < 3 {
			for range 1 + p.rng.IntN(len(p.gateways)) {
				p.kill(p.rng.IntN(len(p.gateways)), time.Duration(100+p.rng.IntN(1500))*time.Millisecond)
			}
		}
	}},
	{"late arrivals, all killed each 3 s", func(p *play) {
		p.late = true
		killEvery(3*time.Second, 400*time.Millisecond)(p)
	}},
	{"two sides for 6 s", func(p *play) {
		p.cut = p.sinceCalm() > 4*time.Second && p.sinceCalm() < 10*time.Second
	}},
	{"paused and back", func(p *play) {
		if !p.isTime(4 * time.Second) {
			return
		}
		for _, g := range p.gateways {
			if p.rng.IntN(2) == 0 {
				g.pausedUntil = p.now.Add(3 * time.Second)
			}
		}
	}},
}

// playedGateway is one gateway of a play.
type playedGateway struct {
	*playedProcess
	startedAt, downUntil, pausedUntil time.Time
}

// play is one fleet of gateways that share a retry budget, in virtual time.
type play struct {
	rng      *rand.Rand
	now      time.Time
	began    time.Time
	gateways []*playedGateway
	fleet    *playedFleet
	// perSecond requests arrive, rejects is how often upstreams reject.
	perSecond, rejects float64
	late, cut          bool
	// running counts the running gateways on each side of a cut.
	running [2]int
	// firsts and extras are when first attempts were sent and extra ones arrived; both are sorted.
	firsts, extras  []time.Time
	wanted, refused int
	// refusedWithRoom counts attempts that were refused while less than half of the budget was used.
	refusedWithRoom int
}

func newPlay(n int, perSecond float64, rng *rand.Rand) *play {
	p := &play{rng: rng, now: time.Unix(1000, 0), perSecond: perSecond, rejects: 0.6 + 0.4*rng.Float64()}
	p.began = p.now
	p.fleet = newPlayedFleet(p)
	for i := range n {
		p.gateways = append(p.gateways, &playedGateway{})
		p.restart(i)
	}
	return p
}

func (p *play) restart(i int) {
	p.gateways[i].startedAt = p.now
	p.gateways[i].playedProcess = p.fleet.start(i)
}

// sinceCalm returns the time since the upstreams began to reject requests; it is negative before.
func (p *play) sinceCalm() time.Duration { return p.now.Sub(p.began) - calm }

// isTime reports whether a multiple of an interval has passed since the upstreams began to reject requests.
func (p *play) isTime(interval time.Duration) bool {
	return p.sinceCalm() > 0 && p.sinceCalm()%interval < playStep
}

func (p *play) killAll(downtime time.Duration) {
	for i := range p.gateways {
		p.kill(i, downtime)
	}
}

// kill ends a gateway's process, unless it is down; it is back after downtime.
func (p *play) kill(i int, downtime time.Duration) {
	if g := p.gateways[i]; !p.now.Before(g.downUntil) {
		g.downUntil = p.now.Add(downtime)
		g.playedProcess = nil
	}
}

// runs reports whether a gateway runs now.
func (p *play) runs(i int) bool {
	return p.gateways[i].playedProcess != nil && !p.now.Before(p.gateways[i].pausedUntil)
}

// sideOf returns on which side of a cut a gateway is.
func sideOf(i int) int {
	if i%3 == 0 {
		return 1
	}
	return 0
}

// hears reports whether two gateways reach each other.
func (p *play) hears(i, j int) bool { return !p.cut || sideOf(i) == sideOf(j) }

// heardBy returns how many other gateways one has heard from lately.
func (p *play) heardBy(i int) int {
	const firstReports = 400 * time.Millisecond
	if p.now.Sub(p.gateways[i].startedAt) < firstReports {
		return 0
	}
	heard := 0
	if p.runs(i) {
		heard-- // itself
	}
	for side, n := range p.running {
		if !p.cut || side == sideOf(i) {
			heard += n
		}
	}
	return max(heard, 0)
}

// countRunning counts the running gateways on each side.
func (p *play) countRunning() {
	p.running = [2]int{}
	for i := range p.gateways {
		if p.runs(i) {
			p.running[sideOf(i)]++
		}
	}
}

func (p *play) run(s story) {
	for credit := 0.0; p.now.Sub(p.began) < playLength; p.now = p.now.Add(playStep) {
		for i, g := range p.gateways {
			if g.playedProcess == nil && !p.now.Before(g.downUntil) {
				p.restart(i)
			}
		}
		p.countRunning()
		p.fleet.refresh()
		s.run(p)
		for credit += p.perSecond * playStep.Seconds(); credit >= 1; credit-- {
			if i := p.rng.IntN(len(p.gateways)); p.runs(i) {
				p.request(i)
			}
		}
	}
}

// request sends a request through a gateway, again as long as upstreams reject it and the budget allows it.
func (p *play) request(i int) {
	g := p.gateways[i]
	p.firsts = append(p.firsts, p.now)
	g.budget.RecordFirstAttempt(playService, p.now)
	for range 2 {
		if p.sinceCalm() < 0 || p.rng.Float64() > p.rejects {
			return
		}
		p.wanted++
		if !g.budget.Spend(playService, p.now).OK {
			p.refused++
			if float64(playRule.Arrived(p.extras, p.now)+1) <= playRule.Allowed(p.firsts, p.now)/2 {
				p.refusedWithRoom++
			}
			return
		}
		at := p.now
		if p.late && p.rng.IntN(2) == 0 {
			at = at.Add(time.Duration(p.rng.Int64N(int64(maxLateness))))
		}
		i, _ := slices.BinarySearchFunc(p.extras, at, time.Time.Compare)
		p.extras = slices.Insert(p.extras, i, at)
	}
}

// Guards against a service that gets more retries in some window than its budget allows, because gateways
// are killed, replaced, paused or cut off meanwhile, or attempts arrive later than they were sent.
func TestRetriesStayWithinTheBudgetThroughStartsAndCuts(t *testing.T) {
	sizes := []int{3, 9, 82}
	if *budgetLarge {
		sizes = append(sizes, 330, 984)
	}
	for _, s := range stories {
		for _, n := range sizes {
			t.Run(fmt.Sprintf("%s/%d gateways", s.name, n), func(t *testing.T) {
				t.Parallel()
				worst, wanted, granted, withRoom := 0.0, 0, 0, 0
				for seed := range *budgetSeeds {
					for _, perSecond := range []float64{10, 40, 160} {
						p := newPlay(n, perSecond, rand.New(rand.NewPCG(uint64(seed), uint64(n))))
						p.run(s)
						arrived, allowed := playRule.Worst(p.firsts, p.extras)
						got := float64(arrived) / allowed
						if got > 1 {
							t.Errorf("seed %d, %.0f requests a second: %.2f of the allowed retries in a window", seed, perSecond, got)
						}
						worst, wanted, granted, withRoom = max(worst, got), wanted+p.wanted, granted+p.wanted-p.refused, withRoom+p.refusedWithRoom
					}
				}
				t.Logf("worst %.2f; %d of %d attempts granted, %d refused with half of the budget left", worst, granted, wanted, withRoom)
			})
		}
	}
}
