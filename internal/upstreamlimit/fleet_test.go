package upstreamlimit

import (
	"encoding/json"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// A fleet plays upstreams that name limits, in virtual time: gateways with the real Keeper,
// the exchange with its delays, directly among few and by collectors among many, callers and
// upstreams.

const (
	round     = 250 * time.Millisecond
	collectAt = 18
	hop       = 20 * time.Millisecond
	look      = 100 * time.Millisecond
	// fresh is for how long a report counts as the present, and knownFor for how long its
	// gateway counts as one that may send.
	fresh    = time.Second
	knownFor = 15 * time.Second
	renewal  = 1500 * time.Millisecond
	// down is for how long a killed gateway is away.
	down     = 800 * time.Millisecond
	contact  = 3 * time.Second
	window   = 4 * time.Second
	usedOver = 10 * time.Second
	length   = 40 * time.Second
)

// plan is the limit of one upstream over time.
type plan func(at time.Duration) (rate float64, limited bool)

// always names a rate from a time on, and between names it up to another time.
func always(rate float64, from time.Duration) plan { return between(rate, from, time.Hour) }

func between(rate float64, from, to time.Duration) plan {
	return func(at time.Duration) (float64, bool) { return rate, at >= from && at < to }
}

// story is a fleet with what happens to it.
type story struct {
	name              string
	gateways, domains int
	upstreams         int
	// rate is requests a second.
	rate float64
	// limits by upstream.
	limits map[int]plan
	// part of the gateways that get requests; all where 0.
	part float64
	// burst is by how much more is asked from 12 s to 22 s; 0 for none.
	burst float64
	// cut: a domain is cut off from 15 s to 20 s.
	cut bool
	// killed are when all gateways are killed, and killEach whether they are one by one.
	killed   []time.Duration
	killEach bool
	// joins is how many gateways more start, between 10 s and 20 s.
	joins int
	// reborn: limited upstreams start again at 20 s, without a limit.
	reborn bool
	// again is how often a refused caller comes back.
	again int
	// wanted says when the upstreams with limits are the best choice of all requests, and
	// when of none; nil where they are of some.
	wanted func(at time.Duration) bool
	// share is another way to divide a rate; nil for the one that stands.
	share share
}

func (s story) with(change func(*story)) story {
	change(&s)
	return s
}

type gateway struct {
	i, domain int
	keeper    *Keeper
	up        bool
	startedAt time.Duration
	// reports are the others' uses as they came, directly or in a collector's sum.
	reports map[int]report
	sums    map[int]domainReport
	// answer is the collector's sum of all others.
	answer domainReport
	fleet  Fleet
	// listAt is when it next looks which upstreams there are.
	listAt time.Duration
}

// report is one gateway's uses.
type report struct {
	uses Uses
	at   time.Duration
}

// domainReport is a domain's sum.
type domainReport struct {
	uses  Uses
	heard int
	known int
	at    time.Duration
}

type upstream struct {
	i, domain, life int
	plan            plan
	// named is when a limit was first named, and lifted when an answer first named none after
	// that; negative for never.
	named, lifted time.Duration
	arrivals      []time.Duration
}

func (u *upstream) id() ident.Instance {
	return ident.Instance("u" + strconv.Itoa(u.i) + "/" + strconv.Itoa(u.life))
}

// result is what a play showed.
type result struct {
	// beyond counts windows over what is allowed, and worst is the most in one as a part of
	// what is allowed.
	beyond int
	worst  float64
	// over is the most in one window as a part of the limit itself, where that allows ten.
	over float64
	// used are the parts of the limits that were used, over 10 s each.
	used []float64
	// refused requests had room at upstreams without a limit.
	refused, refusedAll, requests int
	// known is how long it took until all gateways knew a limit, and forgot how long until
	// none had it any more after it was lifted.
	known, forgot time.Duration
	// said and told are the most limits and uses in one message.
	said, told int
}

type fleet struct {
	testkit.Timeline
	s        story
	rng      *rand.Rand
	gateways []*gateway
	ups      []*upstream
	kept     json.RawMessage
	cutOff   int
	r        result
}

var epoch = time.Unix(1_000_000, 0)

func (f *fleet) clock() time.Time { return epoch.Add(f.Now()) }

func key(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func play(s story, seed uint64) result {
	f := &fleet{s: s, rng: rand.New(rand.NewPCG(seed, 11)), cutOff: -1}
	for i := range s.gateways + s.joins {
		g := &gateway{i: i, domain: i % s.domains}
		f.gateways = append(f.gateways, g)
		if i < s.gateways {
			f.start(g)
		} else {
			f.In(10*time.Second+time.Duration(f.rng.Int64N(int64(10*time.Second))), func() { f.start(g) })
		}
		f.In(time.Duration(f.rng.Int64N(int64(round))), func() { f.exchange(g) })
		f.In(time.Duration(f.rng.Int64N(int64(round/2))), func() { f.refresh(g) })
	}
	for i := range s.upstreams {
		f.ups = append(f.ups, &upstream{i: i, domain: i % s.domains, plan: s.limits[i], named: -1, lifted: -1})
	}
	f.schedule()
	f.Play(length)
	for _, u := range f.ups {
		f.judge(u)
	}
	return f.r
}

func (f *fleet) schedule() {
	s := f.s
	f.In(0, f.arrive)
	f.In(renewal, f.renew)
	f.In(look, f.noteKnown)
	if f.many() {
		for d := range s.domains {
			f.In(time.Duration(f.rng.Int64N(int64(round/2))), func() { f.exchangeSums(d) })
		}
	}
	for _, at := range s.killed {
		f.In(at, func() {
			for _, g := range f.gateways {
				f.kill(g)
			}
		})
	}
	if s.killEach {
		for _, g := range f.gateways {
			f.In(time.Duration(f.rng.Int64N(int64(length))), func() { f.kill(g) })
		}
	}
	if s.cut {
		f.In(15*time.Second, func() { f.cutOff = f.rng.IntN(s.domains) })
		f.In(20*time.Second, func() { f.cutOff = -1 })
	}
	if s.reborn {
		f.In(20*time.Second, func() {
			for _, u := range f.ups {
				if u.plan != nil {
					f.judge(u)
					u.life, u.plan, u.named, u.lifted, u.arrivals = u.life+1, nil, -1, -1, nil
				}
			}
		})
	}
}

func (f *fleet) start(g *gateway) {
	g.up, g.startedAt = true, f.Now()
	g.reports, g.sums, g.answer = make(map[int]report), make(map[int]domainReport), domainReport{}
	g.fleet = Fleet{Heard: 1, Known: f.s.gateways}
	g.keeper = NewKeeper(Config{Now: f.clock, Log: hclog.NewNullLogger(), Key: key, Round: round, Seed: f.rng.Uint64()})
	if f.s.share != nil {
		g.keeper.share = f.s.share
	}
	g.listAt = 0
	g.keeper.Refresh(nil, g.fleet)
	g.keeper.Restore(f.kept)
}

func (f *fleet) kill(g *gateway) {
	if !g.up {
		return
	}
	g.up = false
	f.In(down+time.Duration(f.rng.Int64N(int64(down/2))), func() { f.start(g) })
}

// renew writes the lease's record.
func (f *fleet) renew() {
	f.In(renewal, f.renew)
	for _, g := range f.gateways {
		if g.up && f.cutOff != g.domain {
			f.kept = g.keeper.Keep()
			return
		}
	}
}

func (f *fleet) many() bool { return f.s.gateways >= collectAt }

// apart reports whether two domains are cut off from each other.
func (f *fleet) apart(a, b int) bool { return f.cutOff >= 0 && (a == f.cutOff) != (b == f.cutOff) }

// collector is the gateway of a domain that adds up.
func (f *fleet) collector(domain int) *gateway {
	for _, g := range f.gateways {
		if g.domain == domain && g.up && f.Now()-g.startedAt > 500*time.Millisecond {
			return g
		}
	}
	return nil
}

// exchange tells what one gateway has to say.
func (f *fleet) exchange(g *gateway) {
	f.In(round, func() { f.exchange(g) })
	if !g.up {
		return
	}
	own := g.keeper.Uses()
	f.r.told = max(f.r.told, len(own))
	if f.many() {
		if c := f.collector(g.domain); c != nil {
			f.say(g, c, func() { c.reports[g.i] = report{own, f.Now()} })
			f.say(c, g, func() { f.answer(c, g) })
		}
		return
	}
	for _, o := range f.gateways {
		if o != g && o.up && !f.apart(g.domain, o.domain) {
			f.say(g, o, func() { o.reports[g.i] = report{own, f.Now()} })
		}
	}
}

// say has one gateway hear what another says of limits, and then does what comes with it.
func (f *fleet) say(from, to *gateway, then func()) {
	said := from.keeper.Say()
	f.r.said = max(f.r.said, len(said))
	at := f.Now()
	keeper := to.keeper
	f.In(hop+time.Duration(f.rng.Int64N(int64(hop))), func() {
		if to.up && to.keeper == keeper {
			to.keeper.Learn(said, epoch.Add(at))
			then()
		}
	})
}

// answer gives a gateway its collector's sum of all others.
func (f *fleet) answer(c, g *gateway) {
	sum := domainReport{uses: make(Uses), at: f.Now()}
	f.addMembers(c, &sum, g.i)
	for _, d := range slices.Sorted(maps.Keys(c.sums)) {
		other := c.sums[d]
		if f.Now()-other.at <= fresh {
			sum.uses.Add(other.uses)
			sum.heard += other.heard
		}
		if f.Now()-other.at <= knownFor {
			sum.known += other.known
		}
	}
	g.answer = sum
}

func (f *fleet) addMembers(c *gateway, sum *domainReport, without int) {
	for _, i := range slices.Sorted(maps.Keys(c.reports)) {
		if i == without {
			continue
		}
		r := c.reports[i]
		if f.Now()-r.at <= knownFor {
			sum.known++
		}
		if f.Now()-r.at <= fresh {
			sum.heard++
			sum.uses.Add(r.uses)
		}
	}
}

// exchangeSums tells a domain's sum to the collectors of the others.
func (f *fleet) exchangeSums(domain int) {
	f.In(round/2, func() { f.exchangeSums(domain) })
	c := f.collector(domain)
	if c == nil {
		return
	}
	sum := domainReport{uses: make(Uses), at: f.Now()}
	f.addMembers(c, &sum, -1)
	for d := range f.s.domains {
		if o := f.collector(d); d != domain && o != nil && !f.apart(domain, d) {
			f.say(c, o, func() { o.sums[domain] = sum })
		}
	}
}

// refresh takes in what the others said.
func (f *fleet) refresh(g *gateway) {
	f.In(round/2, func() { f.refresh(g) })
	if !g.up {
		return
	}
	others := make(Uses)
	fleet := Fleet{Heard: 1, Known: 1}
	if f.many() {
		if sum := g.answer; f.Now()-sum.at <= fresh && sum.at > 0 {
			others, fleet = sum.uses, Fleet{1 + sum.heard, 1 + sum.known}
		} else {
			fleet.Known = 1 + sum.known
		}
	} else {
		for _, i := range slices.Sorted(maps.Keys(g.reports)) {
			if i == g.i {
				continue
			}
			r := g.reports[i]
			if f.Now()-r.at <= fresh {
				others.Add(r.uses)
				fleet.Heard++
			}
			if f.Now()-r.at <= knownFor {
				fleet.Known++
			}
		}
	}
	if f.Now()-g.startedAt < contact {
		fleet.Known = max(fleet.Known, f.s.gateways)
	}
	g.keeper.Refresh(others, fleet)
	if f.Now() >= g.listAt {
		g.listAt = f.Now() + time.Second
		g.keeper.Listed(func(note func(ident.Instance)) {
			for _, u := range f.ups {
				note(u.id())
			}
		})
	}
}

// noteKnown notes when all gateways know what an upstream says of its limit.
func (f *fleet) noteKnown() {
	f.In(look, f.noteKnown)
	for _, u := range f.ups {
		if u.named < 0 {
			continue
		}
		rate, limited := u.plan(f.Now())
		all := true
		for _, g := range f.gateways {
			if !all {
				break
			}
			if g.up {
				got, knows := g.keeper.Rate(u.id())
				all = knows == limited && (!limited || got == max(rate, leastRate))
			}
		}
		switch {
		case all:
		case limited:
			f.r.known = max(f.r.known, f.Now()-u.named)
		case u.lifted >= 0:
			f.r.forgot = max(f.r.forgot, f.Now()-u.lifted)
		}
	}
}

// arrive brings a request, and schedules the next.
func (f *fleet) arrive() {
	rate := f.s.rate
	if f.s.burst > 0 && f.Now() > 12*time.Second && f.Now() < 22*time.Second {
		rate *= f.s.burst
	}
	f.In(time.Duration(f.rng.ExpFloat64()*float64(time.Second)/rate), f.arrive)
	f.r.requests++
	f.come(0)
}

// come brings a request to some gateway that is up, for the so-manieth time.
func (f *fleet) come(times int) {
	n := len(f.gateways)
	if f.s.part > 0 {
		n = max(1, int(f.s.part*float64(n)))
	}
	g := f.gateways[f.rng.IntN(n)]
	for range 4 * n {
		if g.up {
			break
		}
		g = f.gateways[f.rng.IntN(n)]
	}
	if g.up {
		f.place(g, times)
	}
}

// place sends a request to its best upstream that takes it.
func (f *fleet) place(g *gateway, times int) {
	room := false
	// A step that has no common divisor with the number of upstreams reaches all of them.
	start, step := f.rng.IntN(len(f.ups)), 1+f.rng.IntN(len(f.ups))
	for gcd(step, len(f.ups)) > 1 {
		step = 1 + f.rng.IntN(len(f.ups))
	}
	for i := range f.ups {
		u := f.ups[(start+i*step)%len(f.ups)]
		if f.s.wanted != nil {
			u = f.ups[i]
			if u.plan != nil && !f.s.wanted(f.Now()) {
				continue
			}
		}
		if f.apart(g.domain, u.domain) {
			continue
		}
		room = room || !g.keeper.Limited(u.id())
		if g.keeper.Take(u.id()) {
			f.send(g, u)
			return
		}
	}
	f.r.refusedAll++
	if room {
		f.r.refused++
	}
	if times < f.s.again {
		f.In(200*time.Millisecond+time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.come(times + 1) })
	}
}

// gcd is the greatest common divisor.
func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

func (f *fleet) send(g *gateway, u *upstream) {
	u.arrivals = append(u.arrivals, f.Now())
	life, keeper := u.life, g.keeper
	took := 20*time.Millisecond + time.Duration(f.rng.ExpFloat64()*float64(80*time.Millisecond))
	id := u.id()
	f.In(took, func() {
		if !g.up || g.keeper != keeper || u.life != life {
			return
		}
		s := Statement{}
		if u.plan != nil {
			if rate, limited := u.plan(f.Now()); limited {
				s = RateOf(rate)
				if u.named < 0 {
					u.named = f.Now()
				}
				u.lifted = -1
			} else if u.named >= 0 && u.lifted < 0 {
				u.lifted = f.Now()
			}
		}
		g.keeper.Hear(id, "", s)
	})
}

// most is the highest rate that was named in a time; unlimited where none was in a part of
// it.
func (u *upstream) most(from, to time.Duration) (rate float64, limited bool) {
	for at := from; at <= to; at += 50 * time.Millisecond {
		r, l := u.plan(at)
		if !l {
			return 0, false
		}
		rate = max(rate, r)
	}
	return max(rate, leastRate), true
}

// judge looks at all windows of an upstream's arrivals. A rate that was named counts from
// the contact time after it was.
func (f *fleet) judge(u *upstream) {
	if u.plan == nil || u.named < 0 {
		return
	}
	end := f.Now()
	first := 0
	for i, at := range u.arrivals {
		for at-u.arrivals[first] > window || u.arrivals[first] < u.named+contact && first < i {
			first++
		}
		if at < u.named+contact {
			continue
		}
		rate, limited := u.most(max(u.named, u.arrivals[first]-contact), at)
		if !limited {
			continue
		}
		n := float64(i - first + 1)
		allowed := math.Floor(1.5*rate*window.Seconds() + 5)
		f.r.worst = max(f.r.worst, n/allowed)
		if n > allowed {
			f.r.beyond++
		}
		if rate*window.Seconds() >= 10 {
			f.r.over = max(f.r.over, n/(rate*window.Seconds()))
		}
	}
	for from := u.named + contact; from+usedOver <= end; from += usedOver {
		least, limited := u.plan(from)
		for at := from; at < from+usedOver; at += 100 * time.Millisecond {
			r, l := u.plan(at)
			least, limited = min(least, r), limited && l
		}
		if !limited || least < leastRate {
			continue
		}
		n := 0
		for _, at := range u.arrivals {
			if at >= from && at < from+usedOver {
				n++
			}
		}
		f.r.used = append(f.r.used, float64(n)/(least*usedOver.Seconds()))
	}
}

func median(x []float64) float64 {
	if len(x) == 0 {
		return math.NaN()
	}
	x = slices.Sorted(slices.Values(x))
	return x[len(x)/2]
}
