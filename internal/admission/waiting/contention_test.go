package waiting

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// The aims of the design note.
const (
	minServedOfPart  = 0.95
	minPlacesUsed    = 0.97
	playAccounts     = 16
	playPriorities   = 3
	playFor          = 15 * time.Second
	playWarmUp       = time.Second
	playWait         = 250 * time.Millisecond
	largeAccountAsks = 10
	meanCost         = 60 * time.Millisecond
	maxCost          = 3 * meanCost / 2
)

// arrival is one call of a play.
type arrival struct {
	at       time.Duration
	account  int
	priority int
	cost     time.Duration
}

// play offers calls to the places of one service in virtual time.
type play struct {
	t     *rapid.T
	queue *Queue
	// ends are when the places in use become free, in order, and places is how many there are.
	ends   []time.Duration
	places int
	now    time.Duration
	// part is the most seconds of slots that an account gets in one window, if all that ask for more get
	// the same.
	part float64
	// asked and served are seconds of slots of calls that arrived after the warm-up, by account and
	// priority; used is the same for calls that were granted after it.
	asked, served [playAccounts][playPriorities]float64
	used          float64
	// early is the part of served that was granted while a more urgent call of the account waited, and
	// waiting counts its waiters.
	early   [playAccounts][playPriorities]float64
	waiting [playAccounts][playPriorities]int
	// promised is what each account asked for up to its part, summed over windows as long as a call may
	// wait: what it asks for beyond its part in such a window can't be evened out. askedNow is what it
	// asked for in the current window, which ends at windowEnd.
	promised, askedNow [playAccounts]float64
	windowEnd          time.Duration
}

// TestContention guards against an account that takes the places of others by asking more often, against
// urgent calls that wait for less urgent ones, and against places that stay free while calls wait.
func TestContention(t *testing.T) { rapid.Check(t, checkContention) }

func checkContention(t *rapid.T) {
	load := rapid.SampledFrom([]float64{1.2, 1.5, 3}).Draw(t, "load")
	large := rapid.SampledFrom([]int{0, 1, 4}).Draw(t, "large accounts")
	p := &play{t: t, queue: New(Config{MaxWait: playWait}), places: rapid.IntRange(6, 36).Draw(t, "places")}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	asks := drawAsks(random, load, large)
	p.part = fairPart(asks) * float64(p.places) * playWait.Seconds()
	p.windowEnd = playWarmUp + playWait
	for _, a := range drawArrivals(random, asks, float64(p.places)) {
		p.arrive(a)
	}
	p.advance(playFor)
	p.check()
}

// drawAsks returns how much each account asks for, as a share of the room; together they ask for load.
func drawAsks(random *rand.Rand, load float64, large int) [playAccounts]float64 {
	var asks [playAccounts]float64
	sum := 0.0
	for i := range asks {
		asks[i] = 0.5 + random.Float64()
		if i < large {
			asks[i] = largeAccountAsks
		}
		sum += asks[i]
	}
	for i := range asks {
		asks[i] *= load / sum
	}
	return asks
}

// drawArrivals returns the calls of all accounts in order. Each account's calls arrive at random times, in
// a third of the time each priority.
func drawArrivals(random *rand.Rand, asks [playAccounts]float64, places float64) []arrival {
	var all []arrival
	for account, ask := range asks {
		gap := meanCost.Seconds() / (ask * places)
		for at := random.ExpFloat64() * gap; at < playFor.Seconds(); at += random.ExpFloat64() * gap {
			cost := time.Duration((0.5 + random.Float64()) * float64(meanCost))
			all = append(all, arrival{at: time.Duration(at * float64(time.Second)), account: account, priority: random.IntN(playPriorities), cost: cost})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (p *play) arrive(a arrival) {
	p.advance(a.at)
	p.countAsked(a)
	w := &Waiter{
		Account: ident.ClientAccount(fmt.Sprint(a.account)), Priority: a.priority, Cost: a.cost.Seconds(),
		ArrivedAt: at(a.at), Value: a,
	}
	p.waiting[a.account][a.priority]++
	if refused := p.queue.Add(w, at(p.now)); refused != nil {
		p.refuse(refused)
	}
	p.grant()
}

func (p *play) countAsked(a arrival) {
	if a.at < playWarmUp {
		return
	}
	for a.at >= p.windowEnd {
		p.windowEnd += playWait
		for account, asked := range p.askedNow {
			p.promised[account] += min(asked, p.part)
		}
		p.askedNow = [playAccounts]float64{}
	}
	p.askedNow[a.account] += a.cost.Seconds()
	p.asked[a.account][a.priority] += a.cost.Seconds()
}

// advance ends what ends before a time, and lets waiters leave whose time is over.
func (p *play) advance(until time.Duration) {
	for {
		next := until
		if len(p.ends) > 0 {
			next = min(next, p.ends[0])
		}
		if expiry, waits := p.queue.NextExpiry(); waits {
			next = min(next, expiry.Sub(at(0)))
		}
		p.now = next
		for len(p.ends) > 0 && p.ends[0] <= p.now {
			p.ends = p.ends[1:]
		}
		p.grant()
		for _, w := range p.queue.Expired(at(p.now)) {
			p.refuse(w)
		}
		if p.now >= until {
			return
		}
	}
}

func (p *play) refuse(w *Waiter) {
	a := w.Value.(arrival)
	p.waiting[a.account][a.priority]--
	if len(p.ends) < p.places {
		p.t.Fatalf("a call was refused while %d of %d places were in use", len(p.ends), p.places)
	}
}

func (p *play) grant() {
	for len(p.ends) < p.places {
		w := p.queue.Next(at(p.now), func(*Waiter) bool { return true })
		if w == nil {
			return
		}
		a := w.Value.(arrival)
		p.waiting[a.account][a.priority]--
		if waited := p.now - a.at; waited > playWait {
			p.t.Fatalf("a call waited for %v, want at most %v", waited, playWait)
		}
		end := p.now + a.cost
		i, _ := slices.BinarySearch(p.ends, end)
		p.ends = slices.Insert(p.ends, i, end)
		if p.now >= playWarmUp {
			p.used += a.cost.Seconds()
		}
		if a.at >= playWarmUp {
			p.served[a.account][a.priority] += a.cost.Seconds()
			p.countEarly(a)
		}
	}
}

// countEarly counts a granted call that a more urgent one of its account waits beside.
func (p *play) countEarly(granted arrival) {
	for priority, waiting := range p.waiting[granted.account] {
		if priority < granted.priority && waiting > 0 {
			p.early[granted.account][granted.priority] += granted.cost.Seconds()
			return
		}
	}
}

func (p *play) check() {
	windows := (playFor - playWarmUp).Seconds() / playWait.Seconds()
	for account, promised := range p.promised {
		asked, served := sum(p.asked[account]), sum(p.served[account])
		if asked <= p.part*windows && served < minServedOfPart*promised {
			p.t.Errorf("account %d asked for %.3f of its part and was served %.3f of what was within it, want at least %v", account, asked/(p.part*windows), served/promised, minServedOfPart)
		}
		// Each less urgent lane may be ahead of its share by one call.
		maxEarly := p.queue.shares.ClassShare()*served + (playPriorities-1)*maxCost.Seconds()
		if early := sum(p.early[account]); early > maxEarly {
			p.t.Errorf("account %d was served %.3f s, of that %.3f s while more urgent calls of it waited", account, served, early)
		}
	}
	p.checkPriorities()
	room := float64(p.places) * (playFor - playWarmUp).Seconds()
	if p.used < minPlacesUsed*room {
		p.t.Errorf("%.3f of the room used, want at least %v", p.used/room, minPlacesUsed)
	}
}

// checkPriorities checks that no less urgent calls were served more than urgent ones, without those that
// the class share let go early.
func (p *play) checkPriorities() {
	var asked, served, early [playPriorities]float64
	for account := range playAccounts {
		for priority := range playPriorities {
			asked[priority] += p.asked[account][priority]
			served[priority] += p.served[account][priority]
			early[priority] += p.early[account][priority]
		}
	}
	for urgent := range playPriorities - 1 {
		less := urgent + 1
		if served[urgent]/asked[urgent] < (served[less]-early[less])/asked[less] {
			p.t.Errorf("%.3f of priority %d served, but %.3f of priority %d", served[urgent]/asked[urgent], urgent, served[less]/asked[less], less)
		}
	}
}

// fairPart returns the most that an account gets of the room if each account gets what it asks for or
// that.
func fairPart(asks [playAccounts]float64) float64 {
	sorted := asks
	slices.Sort(sorted[:])
	left := 1.0
	for i, ask := range sorted {
		part := left / float64(len(sorted)-i)
		if ask > part {
			return part
		}
		left -= ask
	}
	return 1
}

func sum(of [playPriorities]float64) float64 {
	total := 0.0
	for _, x := range of {
		total += x
	}
	return total
}
