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

// A fleet simulates upstreams that announce limits, in virtual time: gateways with the real limiter,
// callers, upstreams, and the exchange between gateways with its delays. A small fleet exchanges
// directly, a large one through collectors.

const (
	round                    = 250 * time.Millisecond
	minGatewaysForCollectors = 18
	messageDelay             = 20 * time.Millisecond
	checkInterval            = 100 * time.Millisecond
	// maxReportAge is the age up to which a report counts, and knownFor the age up to which its
	// gateway counts as one that may send.
	maxReportAge = time.Second
	knownFor     = 15 * time.Second
	renewal      = 1500 * time.Millisecond
	// restartDelay is the least time for which a killed gateway is down.
	restartDelay = 800 * time.Millisecond
	contactTime  = 3 * time.Second
	window       = 4 * time.Second
	usageWindow  = 10 * time.Second
	runTime      = 40 * time.Second
)

// limitSchedule is the limit that one upstream announces, over time.
type limitSchedule func(at time.Duration) (rate float64, limited bool)

// always announces a rate from a time on; between announces it until another time.
func always(rate float64, from time.Duration) limitSchedule { return between(rate, from, time.Hour) }

func between(rate float64, from, to time.Duration) limitSchedule {
	return func(at time.Duration) (float64, bool) { return rate, at >= from && at < to }
}

// scenario describes a fleet, the limits that its upstreams announce, and the faults that happen.
type scenario struct {
	name              string
	gateways, domains int
	upstreams         int
	// rate is the number of requests per second.
	rate float64
	// limits are the schedules of the upstreams with limits, by index.
	limits map[int]limitSchedule
	// gatewayShare is the fraction of the gateways that get requests; 0 means all.
	gatewayShare float64
	// burst is the factor by which the rate is higher from 12 s to 22 s; 0 means no burst.
	burst float64
	// cut: a failure domain is partitioned from the others from 15 s to 20 s.
	cut bool
	// killed are the times when all gateways are killed. killEach: each gateway is killed once, at
	// a random time.
	killed   []time.Duration
	killEach bool
	// joins is the number of additional gateways that start between 10 s and 20 s.
	joins int
	// restarted: the limited upstreams restart at 20 s, without a limit.
	restarted bool
	// retries is how often a refused caller tries again.
	retries int
	// preferred reports when the limited upstreams are the best choice for all requests; otherwise
	// they are for none. nil: they are the best choice for some.
	preferred func(at time.Duration) bool
	// share is an alternative way to divide a rate; nil means the limiter's own.
	share shareFunc
}

func (s scenario) with(change func(*scenario)) scenario {
	change(&s)
	return s
}

type gateway struct {
	i, domain int
	limiter   *Limiter
	up        bool
	startedAt time.Duration
	// reports are the other gateways' uses, by gateway, if they arrive directly or this gateway is
	// a collector. sums are the other domains' sums, at a collector.
	reports map[int]report
	sums    map[int]domainReport
	// collected is the collector's sum of all other gateways.
	collected domainReport
	fleet     Fleet
	// nextListAt is when the gateway next lists the upstreams.
	nextListAt time.Duration
}

// report holds one gateway's uses.
type report struct {
	uses Uses
	at   time.Duration
}

// domainReport holds the sum of a failure domain's gateways.
type domainReport struct {
	uses  Uses
	heard int
	known int
	at    time.Duration
}

type upstream struct {
	i, domain, incarnation int
	schedule               limitSchedule
	// announcedAt is when a limit was first announced, and liftedAt when an answer first announced
	// none after that. Negative means never.
	announcedAt, liftedAt time.Duration
	arrivals              []time.Duration
}

func (u *upstream) id() ident.Instance {
	return ident.Instance("u" + strconv.Itoa(u.i) + "/" + strconv.Itoa(u.incarnation))
}

// result is what a run of a scenario measured.
type result struct {
	// windowsOver counts the windows with more arrivals than allowed. worstOfAllowed is the highest
	// number of arrivals in a window, as a fraction of what is allowed.
	windowsOver    int
	worstOfAllowed float64
	// worstOfLimit is the same as a fraction of the limit itself, in windows for which the limit
	// allows ten or more.
	worstOfLimit float64
	// usedShares are the used fractions of the limits, over 10 s each.
	usedShares []float64
	// refused counts refused requests while an upstream without a limit had room, refusedAll all
	// refused ones.
	refused, refusedAll, requests int
	// knownAfter is how long it took until all gateways knew a limit, and liftedAfter until none
	// had it any more after it was lifted.
	knownAfter, liftedAfter time.Duration
	// maxLimitsInMessage and maxUsesInMessage are the highest numbers of limits and uses in one
	// message.
	maxLimitsInMessage, maxUsesInMessage int
}

type fleet struct {
	testkit.Timeline
	scenario  scenario
	rng       *rand.Rand
	gateways  []*gateway
	upstreams []*upstream
	stored    json.RawMessage
	cutOff    int
	result    result
}

var epoch = time.Unix(1_000_000, 0)

func (f *fleet) clock() time.Time { return epoch.Add(f.Now()) }

func key(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func runOnce(s scenario, seed uint64) result {
	f := &fleet{scenario: s, rng: rand.New(rand.NewPCG(seed, 11)), cutOff: -1}
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
		f.upstreams = append(f.upstreams, &upstream{i: i, domain: i % s.domains, schedule: s.limits[i], announcedAt: -1, liftedAt: -1})
	}
	f.schedule()
	f.RunUntil(runTime)
	for _, u := range f.upstreams {
		f.evaluate(u)
	}
	return f.result
}

func (f *fleet) schedule() {
	s := f.scenario
	f.In(0, f.arrive)
	f.In(renewal, f.storeLimits)
	f.In(checkInterval, f.recordKnown)
	if f.usesCollectors() {
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
			f.In(time.Duration(f.rng.Int64N(int64(runTime))), func() { f.kill(g) })
		}
	}
	if s.cut {
		f.In(15*time.Second, func() { f.cutOff = f.rng.IntN(s.domains) })
		f.In(20*time.Second, func() { f.cutOff = -1 })
	}
	if s.restarted {
		f.In(20*time.Second, func() {
			for _, u := range f.upstreams {
				if u.schedule != nil {
					f.evaluate(u)
					u.incarnation, u.schedule, u.announcedAt, u.liftedAt, u.arrivals = u.incarnation+1, nil, -1, -1, nil
				}
			}
		})
	}
}

func (f *fleet) start(g *gateway) {
	g.up, g.startedAt = true, f.Now()
	g.reports, g.sums, g.collected = make(map[int]report), make(map[int]domainReport), domainReport{}
	g.fleet = Fleet{Heard: 1, Known: f.scenario.gateways}
	g.limiter = NewLimiter(Config{Now: f.clock, Log: hclog.NewNullLogger(), Key: key, Round: round, Seed: f.rng.Uint64()})
	if f.scenario.share != nil {
		g.limiter.shareOf = f.scenario.share
	}
	g.nextListAt = 0
	g.limiter.Refresh(nil, g.fleet)
	g.limiter.Restore(f.stored)
}

func (f *fleet) kill(g *gateway) {
	if !g.up {
		return
	}
	g.up = false
	f.In(restartDelay+time.Duration(f.rng.Int64N(int64(restartDelay/2))), func() { f.start(g) })
}

// storeLimits stores the limits in the lease's record.
func (f *fleet) storeLimits() {
	f.In(renewal, f.storeLimits)
	for _, g := range f.gateways {
		if g.up && f.cutOff != g.domain {
			f.stored = g.limiter.Snapshot()
			return
		}
	}
}

func (f *fleet) usesCollectors() bool { return f.scenario.gateways >= minGatewaysForCollectors }

// apart reports whether two domains are on different sides of the partition.
func (f *fleet) apart(a, b int) bool { return f.cutOff >= 0 && (a == f.cutOff) != (b == f.cutOff) }

// collector returns the gateway of a domain that adds up its reports.
func (f *fleet) collector(domain int) *gateway {
	for _, g := range f.gateways {
		if g.domain == domain && g.up && f.Now()-g.startedAt > 500*time.Millisecond {
			return g
		}
	}
	return nil
}

// exchange sends a gateway's limits and uses to its collector, or to all others in a small fleet.
func (f *fleet) exchange(g *gateway) {
	f.In(round, func() { f.exchange(g) })
	if !g.up {
		return
	}
	own := g.limiter.Uses()
	f.result.maxUsesInMessage = max(f.result.maxUsesInMessage, len(own))
	if f.usesCollectors() {
		if c := f.collector(g.domain); c != nil {
			f.sendLimits(g, c, func() { c.reports[g.i] = report{own, f.Now()} })
			f.sendLimits(c, g, func() { f.sendCollected(c, g) })
		}
		return
	}
	for _, o := range f.gateways {
		if o != g && o.up && !f.apart(g.domain, o.domain) {
			f.sendLimits(g, o, func() { o.reports[g.i] = report{own, f.Now()} })
		}
	}
}

// sendLimits delivers one gateway's reports on limits to another and afterwards calls onDelivery.
func (f *fleet) sendLimits(from, to *gateway, onDelivery func()) {
	reports := from.limiter.LimitReports()
	f.result.maxLimitsInMessage = max(f.result.maxLimitsInMessage, len(reports))
	at := f.Now()
	limiter := to.limiter
	f.In(messageDelay+time.Duration(f.rng.Int64N(int64(messageDelay))), func() {
		if to.up && to.limiter == limiter {
			to.limiter.MergeLimitReports(reports, epoch.Add(at))
			onDelivery()
		}
	})
}

// sendCollected gives a gateway its collector's sum of all other gateways.
func (f *fleet) sendCollected(c, g *gateway) {
	sum := domainReport{uses: make(Uses), at: f.Now()}
	f.addMembers(c, &sum, g.i)
	for _, d := range slices.Sorted(maps.Keys(c.sums)) {
		other := c.sums[d]
		if f.Now()-other.at <= maxReportAge {
			sum.uses.Add(other.uses)
			sum.heard += other.heard
		}
		if f.Now()-other.at <= knownFor {
			sum.known += other.known
		}
	}
	g.collected = sum
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
		if f.Now()-r.at <= maxReportAge {
			sum.heard++
			sum.uses.Add(r.uses)
		}
	}
}

// exchangeSums sends a domain's sum to the collectors of the other domains.
func (f *fleet) exchangeSums(domain int) {
	f.In(round/2, func() { f.exchangeSums(domain) })
	c := f.collector(domain)
	if c == nil {
		return
	}
	sum := domainReport{uses: make(Uses), at: f.Now()}
	f.addMembers(c, &sum, -1)
	for d := range f.scenario.domains {
		if o := f.collector(d); d != domain && o != nil && !f.apart(domain, d) {
			f.sendLimits(c, o, func() { o.sums[domain] = sum })
		}
	}
}

// refresh passes what a gateway received from the others to its limiter.
func (f *fleet) refresh(g *gateway) {
	f.In(round/2, func() { f.refresh(g) })
	if !g.up {
		return
	}
	others := make(Uses)
	fleet := Fleet{Heard: 1, Known: 1}
	if f.usesCollectors() {
		if sum := g.collected; f.Now()-sum.at <= maxReportAge && sum.at > 0 {
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
			if f.Now()-r.at <= maxReportAge {
				others.Add(r.uses)
				fleet.Heard++
			}
			if f.Now()-r.at <= knownFor {
				fleet.Known++
			}
		}
	}
	if f.Now()-g.startedAt < contactTime {
		fleet.Known = max(fleet.Known, f.scenario.gateways)
	}
	g.limiter.Refresh(others, fleet)
	if f.Now() >= g.nextListAt {
		g.nextListAt = f.Now() + time.Second
		g.limiter.UpdateListed(func(note func(ident.Instance)) {
			for _, u := range f.upstreams {
				note(u.id())
			}
		})
	}
}

// recordKnown records how long it takes until all gateways know what an upstream announces about
// its limit.
func (f *fleet) recordKnown() {
	f.In(checkInterval, f.recordKnown)
	for _, u := range f.upstreams {
		if u.announcedAt < 0 {
			continue
		}
		rate, limited := u.schedule(f.Now())
		all := true
		for _, g := range f.gateways {
			if !all {
				break
			}
			if g.up {
				got, knows := g.limiter.Rate(u.id())
				all = knows == limited && (!limited || got == max(rate, minRate))
			}
		}
		switch {
		case all:
		case limited:
			f.result.knownAfter = max(f.result.knownAfter, f.Now()-u.announcedAt)
		case u.liftedAt >= 0:
			f.result.liftedAfter = max(f.result.liftedAfter, f.Now()-u.liftedAt)
		}
	}
}

// arrive delivers a request and schedules the next one.
func (f *fleet) arrive() {
	rate := f.scenario.rate
	if f.scenario.burst > 0 && f.Now() > 12*time.Second && f.Now() < 22*time.Second {
		rate *= f.scenario.burst
	}
	f.In(time.Duration(f.rng.ExpFloat64()*float64(time.Second)/rate), f.arrive)
	f.result.requests++
	f.receive(0)
}

// receive delivers a request to a random gateway that is up. times is the number of earlier tries.
func (f *fleet) receive(times int) {
	n := len(f.gateways)
	if f.scenario.gatewayShare > 0 {
		n = max(1, int(f.scenario.gatewayShare*float64(n)))
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

// place sends a request to the first upstream, in the request's order of preference, whose limit
// admits it.
func (f *fleet) place(g *gateway, times int) {
	unlimitedUp := false
	// A step that has no common divisor with the number of upstreams reaches all of them.
	start, step := f.rng.IntN(len(f.upstreams)), 1+f.rng.IntN(len(f.upstreams))
	for gcd(step, len(f.upstreams)) > 1 {
		step = 1 + f.rng.IntN(len(f.upstreams))
	}
	for i := range f.upstreams {
		u := f.upstreams[(start+i*step)%len(f.upstreams)]
		if f.scenario.preferred != nil {
			u = f.upstreams[i]
			if u.schedule != nil && !f.scenario.preferred(f.Now()) {
				continue
			}
		}
		if f.apart(g.domain, u.domain) {
			continue
		}
		unlimitedUp = unlimitedUp || !g.limiter.Limited(u.id())
		if g.limiter.Admit(u.id()) {
			f.sendRequest(g, u)
			return
		}
	}
	f.result.refusedAll++
	if unlimitedUp {
		f.result.refused++
	}
	if times < f.scenario.retries {
		f.In(200*time.Millisecond+time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.receive(times + 1) })
	}
}

// gcd returns the greatest common divisor.
func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

func (f *fleet) sendRequest(g *gateway, u *upstream) {
	u.arrivals = append(u.arrivals, f.Now())
	incarnation, limiter := u.incarnation, g.limiter
	took := 20*time.Millisecond + time.Duration(f.rng.ExpFloat64()*float64(80*time.Millisecond))
	id := u.id()
	f.In(took, func() {
		if !g.up || g.limiter != limiter || u.incarnation != incarnation {
			return
		}
		s := Statement{}
		if u.schedule != nil {
			if rate, limited := u.schedule(f.Now()); limited {
				s = LimitedTo(rate)
				if u.announcedAt < 0 {
					u.announcedAt = f.Now()
				}
				u.liftedAt = -1
			} else if u.announcedAt >= 0 && u.liftedAt < 0 {
				u.liftedAt = f.Now()
			}
		}
		g.limiter.RecordStatement(id, "", s)
	})
}

// maxAnnouncedRate returns the highest rate that was announced between two times, and false if none
// was announced at some time between them.
func (u *upstream) maxAnnouncedRate(from, to time.Duration) (rate float64, limited bool) {
	for at := from; at <= to; at += 50 * time.Millisecond {
		r, l := u.schedule(at)
		if !l {
			return 0, false
		}
		rate = max(rate, r)
	}
	return max(rate, minRate), true
}

// evaluate checks all windows of an upstream's arrivals. A rate that was announced counts after
// contactTime has passed.
func (f *fleet) evaluate(u *upstream) {
	if u.schedule == nil || u.announcedAt < 0 {
		return
	}
	end := f.Now()
	first := 0
	for i, at := range u.arrivals {
		for at-u.arrivals[first] > window || u.arrivals[first] < u.announcedAt+contactTime && first < i {
			first++
		}
		if at < u.announcedAt+contactTime {
			continue
		}
		rate, limited := u.maxAnnouncedRate(max(u.announcedAt, u.arrivals[first]-contactTime), at)
		if !limited {
			continue
		}
		n := float64(i - first + 1)
		allowed := math.Floor(1.5*rate*window.Seconds() + 5)
		f.result.worstOfAllowed = max(f.result.worstOfAllowed, n/allowed)
		if n > allowed {
			f.result.windowsOver++
		}
		if rate*window.Seconds() >= 10 {
			f.result.worstOfLimit = max(f.result.worstOfLimit, n/(rate*window.Seconds()))
		}
	}
	for from := u.announcedAt + contactTime; from+usageWindow <= end; from += usageWindow {
		least, limited := u.schedule(from)
		for at := from; at < from+usageWindow; at += 100 * time.Millisecond {
			r, l := u.schedule(at)
			least, limited = min(least, r), limited && l
		}
		if !limited || least < minRate {
			continue
		}
		n := 0
		for _, at := range u.arrivals {
			if at >= from && at < from+usageWindow {
				n++
			}
		}
		f.result.usedShares = append(f.result.usedShares, float64(n)/(least*usageWindow.Seconds()))
	}
}

func median(x []float64) float64 {
	if len(x) == 0 {
		return math.NaN()
	}
	x = slices.Sorted(slices.Values(x))
	return x[len(x)/2]
}
