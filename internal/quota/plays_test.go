package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// playSeeds is the number of plays of each kind. CI uses the default.
var playSeeds = flag.Int("quota.seeds", 12, "plays of each kind")

const (
	// minGatewaysForCollectors is the number of gateways from which on they use collectors.
	minGatewaysForCollectors = 18
	playStep                 = 10 * time.Millisecond
	// surgeEarliest, surgeLength and playLength are times from the start of a play.
	startTime                              = 2 * time.Second
	surgeEarliest, surgeLength, playLength = 6 * time.Second, 9 * time.Second, 22 * time.Second
	usageWindow                            = 10 * time.Second
)

// fault is what happens to the gateways of a play at a random moment of the load spike.
type fault int

const (
	noFault fault = iota
	allKilled
	allKilledTwice
	killedInTurn
	twoHalves
	halfKilled
	collectorFresh
)

// play is one account's load spike at a fleet of gateways, with random sizes and moments.
type play struct {
	gateways int
	// busy is the number of gateways that get the account's requests.
	busy              int
	rate, surge, size float64
	// before is the fraction of the rate that is requested before the load spike.
	before float64
	fault  fault
	// countStored: gateways that start know from the store how many there were.
	countStored bool
}

func (p play) String() string {
	return fmt.Sprintf("%d gateways, %d busy, %.0f a second, %.1f times, requests of %.0f, %.1f before, fault %d, count stored %v",
		p.gateways, p.busy, p.rate, p.surge, p.size, p.before, p.fault, p.countStored)
}

// playResult is what a play measured.
type playResult struct {
	play play
	// worst is the highest cost in a window as a fraction of what is allowed.
	worst float64
	// refusedBefore is the fraction of requests refused before the load spike, used the least
	// fraction of the limit that was used in a usageWindow of the load spike.
	refusedBefore, used float64
}

// player runs a play.
type player struct {
	*fleet
	play    play
	downFor map[int]time.Time
	credit  float64
	next    float64
}

func randomPlay(rng *rand.Rand, f fault) play {
	p := play{gateways: 6 + rng.IntN(12), rate: 36_000 + rng.Float64()*374_000, surge: 2 + 6*rng.Float64(), size: 2000 + rng.Float64()*9000, before: 0.5, fault: f, countStored: rng.IntN(2) == 0}
	if rng.IntN(2) == 0 {
		p.gateways = 18 + rng.IntN(65)
	}
	p.busy = p.gateways
	if rng.IntN(3) == 0 {
		p.busy = 1 + rng.IntN(3)
	}
	if rng.IntN(4) == 0 {
		p.before = 0
	}
	return p
}

func newPlayer(p play, rng *rand.Rand) *player {
	f := newFleet(p.gateways, p.rate)
	f.rng = rng
	if p.gateways >= minGatewaysForCollectors {
		f.collector = &collector{}
	}
	r := &player{fleet: f, play: p, downFor: make(map[int]time.Time), next: rng.ExpFloat64()}
	f.isDown = r.down
	return r
}

func runPlay(p play, rng *rand.Rand) playResult {
	r := newPlayer(p, rng)
	start := r.now
	surgeAt := surgeEarliest + time.Duration(rng.Int64N(int64(2*time.Second)))
	faultAt := surgeAt + time.Duration(rng.Int64N(int64(4*time.Second)))
	result := playResult{play: p}
	r.until(start.Add(startTime), 0)
	r.until(start.Add(surgeAt), p.before)
	result.refusedBefore = float64(r.refused) / float64(max(r.requested, 1))
	r.until(start.Add(faultAt), p.surge)
	r.strike(rng)
	r.until(start.Add(surgeAt+surgeLength), p.surge)
	r.until(start.Add(playLength), 0.5)
	got, allowed := r.busiestWindow()
	result.worst = got / allowed
	result.used = r.usedIn(start.Add(surgeAt), start.Add(surgeAt+surgeLength))
	return result
}

// usedIn returns the used fraction of the limit between two instants.
func (f *fleet) usedIn(from, to time.Time) float64 {
	sum := 0.0
	for _, a := range f.admitted {
		if a.at.After(from) && !a.at.After(to) {
			sum += a.cost
		}
	}
	return sum / (f.limit.Rate * to.Sub(from).Seconds())
}

// strike makes the play's fault happen.
func (r *player) strike(rng *rand.Rand) {
	switch r.play.fault {
	case allKilled:
		r.killAll(rng)
	case allKilledTwice:
		r.killAll(rng)
		r.until(r.now.Add(3*time.Second), r.play.surge)
		r.killAll(rng)
	case killedInTurn:
		for i := range r.gateways {
			r.kill(i, rng)
			r.until(r.now.Add(3*time.Second/time.Duration(r.play.gateways)), r.play.surge)
		}
	case halfKilled:
		for i := 0; i < r.play.gateways; i += 2 {
			r.kill(i, rng)
		}
	case twoHalves:
		side := 1 + rng.IntN(r.play.gateways/2)
		r.hears = func(a, b int) bool { return (a < side) == (b < side) }
		if r.collector != nil {
			r.collector.side, r.collector.cutAt = side, r.now
		}
		r.until(r.now.Add(3*time.Second), r.play.surge)
		r.hears = func(int, int) bool { return true }
		if r.collector != nil {
			r.collector.side = 0
		}
	case collectorFresh:
		if r.collector != nil {
			r.collector = &collector{}
		}
	}
}

func (r *player) killAll(rng *rand.Rand) {
	for i := range r.gateways {
		r.kill(i, rng)
	}
}

// kill ends a gateway, which restarts within a second.
func (r *player) kill(i int, rng *rand.Rand) {
	r.downFor[i] = r.now.Add(500*time.Millisecond + time.Duration(rng.Int64N(int64(500*time.Millisecond))))
	r.restart(i)
}

// until sends requests until an instant, at a multiple of the account's rate.
func (r *player) until(end time.Time, times float64) {
	for ; r.now.Before(end); r.now = r.now.Add(playStep) {
		for i, up := range r.downFor {
			if !r.now.Before(up) {
				delete(r.downFor, i)
				r.restart(i)
			}
		}
		if r.now.UnixNano()/int64(reportInterval) != r.now.Add(-playStep).UnixNano()/int64(reportInterval) {
			r.exchange()
		}
		// Requests arrive as a Poisson process.
		for r.credit += times * r.play.rate / r.play.size * playStep.Seconds(); r.credit >= r.next; {
			r.credit -= r.next
			r.next = r.rng.ExpFloat64()
			i := r.rng.IntN(r.play.busy)
			if r.down(i) {
				continue
			}
			r.request(r.gateways[i], r.play.size*(0.2+1.6*r.rng.Float64()))
		}
	}
}

func (r *player) down(i int) bool { _, down := r.downFor[i]; return down }

// Guards against an account that gets more than its limit in a load spike, whatever its size, the
// number of gateways, and the gateways that are killed or cut off at that moment.
func TestLoadSpikesBesideFaultsStayWithinTheLimit(t *testing.T) {
	names := []string{"no fault", "all killed", "all killed twice", "killed in turn", "two halves", "half killed", "new collector"}
	for f, name := range names {
		results := testkit.RunSeeds(*playSeeds, func(seed uint64) playResult {
			rng := rand.New(rand.NewPCG(seed, uint64(f)))
			return runPlay(randomPlay(rng, fault(f)), rng)
		})
		over, worst, used, refused := 0, 0.0, 1.0, 0.0
		for i, r := range results {
			if r.worst > 1 {
				over++
				t.Errorf("%s, seed %d: %.3f of what is allowed: %v", name, i+1, r.worst, r.play)
			}
			worst, used = max(worst, r.worst), min(used, r.used)
			refused += r.refusedBefore / float64(len(results))
		}
		t.Logf("%-16s %d plays, %d beyond, worst %.2f; least used %.2f, median %.2f; %.5f refused before the load spike", name, len(results), over, worst, used, medianUsed(results), refused)
	}
}

func medianUsed(results []playResult) float64 {
	var all []float64
	for _, r := range results {
		all = append(all, r.used)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// Guards against gateways that have just started, know of no other yet, and each admit what all may
// admit together.
func TestAGatewayThatKnowsNobodyYetAdmitsNothing(t *testing.T) {
	f := newFleet(8, 160_000)
	for ; f.now.Sub(f.gateways[0].startedAt) < StartupPeriod-playStep; f.now = f.now.Add(playStep) {
		for _, g := range f.gateways {
			f.request(g, 300)
			f.request(g, 9000)
		}
	}
	if len(f.admitted) > 0 {
		t.Errorf("%d of %d requests admitted", len(f.admitted), f.requested)
	}
}

// Guards against refusing callers because the pool that a keeper gives up, to a gateway that runs
// again, is lost.
func TestAPoolIsHandedToTheGatewayThatKeepsItNow(t *testing.T) {
	f, even := newFleet(4, 160_000), []float64{1, 1, 1, 1}
	f.run(6*time.Second, 0, 1, even)
	frozen := true
	f.isDown = func(i int) bool { return i == 0 && frozen }
	f.run(3*time.Second, 0, 1, even)
	pool := func(i int) *pool { return &f.gateways[i].limiter.accounts["acct"].pool }
	if pool(2).share == 0 {
		t.Fatal("no other gateway keeps the pool of the one that is frozen")
	}
	held := pool(2).level
	frozen = false
	f.run(reportInterval+playStep, 0, 1, even)
	if got := pool(0).level; got < held || pool(2).share != 0 {
		t.Errorf("the pool holds %.0f after it moved, want %.0f; share of the former keeper %v", got, held, pool(2).share)
	}
}

// Guards against refusing an account's small requests, far below its limit, because one request is as
// large as the pool: each would need the full pool.
func TestOneHugeRequestDoesNotHoldUpTheOthers(t *testing.T) {
	f, even := newFleet(6, 23_000), []float64{1, 1, 1, 1, 1, 1}
	f.run(10*time.Second, 0, 1, even)
	for range 4 {
		f.request(f.gateways[5], 60_000)
	}
	f.run(6*time.Second, 0.8*23_000, 1500, even)
	f.refused, f.requested = 0, 0
	f.run(6*time.Second, 0.8*23_000, 1500, even)
	if f.refused > 0 {
		t.Errorf("%d of %d requests refused", f.refused, f.requested)
	}
}

// Guards against tokens that are created twice because requests are admitted in another order than that
// of their times: a request's time is that of its arrival, and its body may take long to read.
func TestRequestsThatWereReadSlowlyCreateNoTokens(t *testing.T) {
	f := newFleet(1, 10_000)
	f.run(8*time.Second, 0, 1, []float64{1})
	g := f.gateways[0]
	admitted := 0.0
	for i := range 20_000 {
		at := f.now
		if i%2 == 1 {
			at = at.Add(-200 * time.Millisecond)
		}
		if g.limiter.Admit(&f.limit, 20, at).OK {
			admitted += 20
		}
	}
	if _, allowed := f.busiestWindow(); admitted > allowed-f.limit.Rate*f.tolerance.Window.Seconds() {
		t.Errorf("%.0f tokens admitted at one moment, %.0f allowed in a window", admitted, allowed)
	}
}
