package poison

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// A fleet simulates poison requests among ordinary ones, in virtual time: gateways
// with the real Tracker, the exchange of reports with its delays, upstreams that crash and
// restart.

const (
	exchangePeriod           = 250 * time.Millisecond
	pollPeriod               = 25 * time.Millisecond
	minGatewaysForCollectors = 18
	exchangeDelay            = 20 * time.Millisecond
	clientRetryDelay         = 100 * time.Millisecond
	playLength               = 25 * time.Second
	leaseRenewalPeriod       = 1500 * time.Millisecond
	restoreDelay             = 50 * time.Millisecond
)

// scenario describes a fleet and what happens to it.
type scenario struct {
	name              string
	gateways, domains int
	upstreams, slots  int
	knownWithin       time.Duration // from so long after the deciding crash on, sends by a connected gateway are late
	rate              float64
	meanDuration      time.Duration
	poisonKinds       []poisonKind
	hotShare          float64 // share of ordinary requests that have one common content
	crashRate         float64 // crashes per second of random upstreams without a cause
	flappingUpstreams int     // number of upstreams that crash repeatedly without a cause
	domainReclaimed   bool    // one domain's upstreams announce that they leave, and leave
	domainLost        bool    // one domain's upstreams crash at the same time
	domainCutOff      bool    // one domain's connections are reset and refused for 5 s
	keepsIDs          bool    // upstreams restart under the same ID
	rollingRestart    bool    // every gateway restarts at a random time
	withoutTracker    bool    // no gateway asks its Tracker, for comparison
	versions          bool    // every other upstream runs another software version
	burst             bool
	// maxRetries is how often the client of a failed ordinary request retries it; 0 means once.
	maxRetries int
	// unseenShare is the share of crashes that a gateway which had requests there does not see at once: it knows
	// only that its requests were broken off.
	unseenShare float64
	// unheard is the number of gateways whose exchange with the others is silent from unheardFrom on for unheardFor.
	// They reach the store and serve on.
	unheard                 int
	unheardFrom, unheardFor time.Duration
	// massRestarts are the times at which all gateways restart together.
	massRestarts []time.Duration
}

type upstream struct {
	index, incarnation int
	domain             int
	up                 bool
	leaving            bool
	inFlight           map[*request]bool
	// lapsesAt is when the entry of each incarnation that crashed is dropped.
	lapsesAt map[ident.Instance]time.Duration
}

func (u *upstream) id(same bool) ident.Instance {
	if same {
		return ident.Instance("u" + strconv.Itoa(u.index))
	}
	return ident.Instance("u" + strconv.Itoa(u.index) + "/" + strconv.Itoa(u.incarnation))
}

// sortedInFlight returns the requests in progress by ID, so that a seed always gives the same
// play.
func (u *upstream) sortedInFlight() []*request {
	return slices.SortedFunc(maps.Keys(u.inFlight), func(a, b *request) int { return a.id - b.id })
}

type gateway struct {
	index, domain int
	tracker       *Tracker
	// connectedSince is when its latest restart or disconnection ended.
	connectedSince time.Duration
	// hearingDelay is how long after others the gateway hears what the store knows, and sees which crashes it saw at
	// once.
	hearingDelay time.Duration
	sees         map[ident.Instance]bool
	sync         *StoreSync
	// readUpTo is the number of records of the store's topic that it knows while it reads; -1 if it does not.
	readUpTo int
}

type result struct {
	// mostLateSends is the highest number of late sends of one poison feature.
	mostLateSends, crashes, ordinary, refused, lost int
	// kin and kinRefused count the ordinary requests that share a part with poison requests, and those of
	// them that were barred.
	kin, kinRefused int
	// crashesCaused is the highest number of crashes that one feature caused.
	crashesCaused int
	// knownAfter is the longest time from the crash that allows a conviction until all gateways bar it.
	knownAfter  time.Duration
	knownToAll  bool
	maxReported int // highest number of marks and verdicts in one report
}

type fleet struct {
	testkit.Timeline
	s   scenario
	rng *rand.Rand
	// partsRng draws the parts of ordinary requests.
	partsRng *rand.Rand
	// lossRng draws what gateways do not see, and lapses.
	lossRng    *rand.Rand
	gateways   []*gateway
	upstreams  []*upstream
	received   []receivedReport
	domainSums []receivedReport
	lastID     int
	result     result
	// deciding is the time of the crash from which on further sends are counted, by harmful feature;
	// crashesCaused and lateSends are by it too.
	decidingAt    map[ident.Feature]time.Duration
	crashesCaused map[ident.Feature]int
	lateSends     map[ident.Feature]int
	cutOffDomain  int
	checkedAt     time.Duration
	// storedRecord is the content of the lease's record, which outlives all gateways.
	storedRecord json.RawMessage
	// topic are the reports that gateways have written to the store.
	topic []storedReport
}

// storedReport is a report in the store.
type storedReport struct {
	by     int
	report Report
	at     time.Duration
}

// receivedReport is the latest report of a gateway or a collector, and when it was sent.
type receivedReport struct {
	report Report
	sentAt time.Duration
}

func (f *fleet) aged(h receivedReport) Report { return h.report.Aged(f.Now() - h.sentAt) }

var epoch = time.Unix(1_000_000, 0)

func testUpstreamKey(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func newTracker(now func() time.Time) *Tracker {
	return New(Config{
		Now: now, Log: hclog.NewNullLogger(), Key: testUpstreamKey, Alone: func() bool { return false },
		Standing: func(ident.Instance, time.Time) Standing { return Unconfirmed },
	})
}

// newGatewayTracker returns the tracker of a gateway that has just started.
func (f *fleet) newGatewayTracker(g *gateway) *Tracker {
	return New(Config{
		Self: ident.Instance("gw" + strconv.Itoa(g.index)), Now: f.clock, Log: hclog.NewNullLogger(), Key: testUpstreamKey, Alone: func() bool { return f.alone(g) },
		Standing: func(id ident.Instance, since time.Time) Standing { return f.standing(g, id, since) },
	})
}

const (
	// heartbeat is how often upstreams renew their entries, and maxHearingDelay how long the gateways take at most to
	// hear what has changed in the store.
	heartbeat       = 1200 * time.Millisecond
	maxHearingDelay = 700 * time.Millisecond
	// silentAfter is how long others are silent until a gateway notices.
	silentAfter = time.Second
)

// syncDelay is what a call of the store takes.
const syncDelay = 30 * time.Millisecond

// syncWithStore has a gateway write to the store's topic and read it, if it does that for its group.
func (f *fleet) syncWithStore(g *gateway) {
	f.In(exchangePeriod, func() { f.syncWithStore(g) })
	rank, whole := f.rankOf(g)
	if report, due := g.sync.NextWrite(rank, whole, f.clock()); due {
		f.In(syncDelay, func() { f.topic = append(f.topic, storedReport{g.index, report, f.Now() - syncDelay}) })
	}
	if !g.sync.Reads(rank, whole) {
		g.readUpTo = -1
		return
	}
	tracker, first := g.tracker, g.readUpTo < 0
	f.In(syncDelay, func() {
		if g.tracker != tracker {
			return
		}
		for _, r := range f.topic[max(0, g.readUpTo):] {
			age := f.Now() - r.at
			if first { // by the clock of the writer
				age = max(0, age+time.Duration(f.lossRng.Int64N(int64(600*time.Millisecond)))-300*time.Millisecond)
			}
			if r.by != g.index {
				tracker.MergeStored(r.report.Aged(age))
			}
		}
		g.readUpTo = len(f.topic)
	})
}

// rankOf returns a gateway's rank among those that it hears, and whether it hears all.
func (f *fleet) rankOf(g *gateway) (rank int, whole bool) {
	split := f.s.unheard > 0 && f.Now() >= f.s.unheardFrom+silentAfter && f.Now() < f.s.unheardFrom+f.s.unheardFor
	cut := f.cutOffDomain >= 0
	for _, o := range f.gateways[:g.index] {
		heard := !f.isUnheard(g) && !f.isUnheard(o) && (!cut || (o.domain == f.cutOffDomain) == (g.domain == f.cutOffDomain))
		if heard || f.isUnheard(g) && !f.alone(g) {
			rank++
		}
	}
	return rank, !split && !cut
}

// isUnheard reports whether a gateway's exchange with the others is silent.
func (f *fleet) isUnheard(g *gateway) bool {
	return g.index < f.s.unheard && f.Now() >= f.s.unheardFrom && f.Now() < f.s.unheardFrom+f.s.unheardFor
}

// alone reports whether a gateway has noticed that it hears no other one.
func (f *fleet) alone(g *gateway) bool {
	return f.isUnheard(g) && f.Now() >= f.s.unheardFrom+silentAfter
}

// standing returns what a gateway knows of an upstream's process from its entry.
func (f *fleet) standing(g *gateway, id ident.Instance, since time.Time) Standing {
	for _, u := range f.upstreams {
		if lapses, crashed := u.lapsesAt[id]; crashed && f.Now() >= lapses+g.hearingDelay {
			return Gone
		} else if crashed {
			return Unconfirmed
		}
		if u.id(f.s.keepsIDs) == id && u.leaving {
			return Leaving
		}
	}
	if f.clock().Sub(since) >= 3*heartbeat+3*time.Second {
		return Renewed
	}
	return Unconfirmed
}

// evidence returns what a gateway sees of a crash at once.
func (f *fleet) evidence(g *gateway, id ident.Instance) Evidence {
	saw, drawn := g.sees[id]
	if !drawn {
		saw = f.lossRng.Float64() >= f.s.unseenShare
		g.sees[id] = saw
	}
	switch {
	case saw:
		return ProcessEnded
	case *way == "proofs":
		return GivenUp
	}
	return BrokenOff
}

func playScenario(s scenario, seed uint64) result {
	f := &fleet{
		s: s, rng: rand.New(rand.NewPCG(seed, 7)), partsRng: rand.New(rand.NewPCG(seed, 8)), lossRng: rand.New(rand.NewPCG(seed, 9)), decidingAt: make(map[ident.Feature]time.Duration),
		crashesCaused: make(map[ident.Feature]int), lateSends: make(map[ident.Feature]int), cutOffDomain: -1,
	}
	for i := range s.gateways {
		g := &gateway{
			index: i, domain: i % s.domains, connectedSince: -time.Hour, readUpTo: -1, sees: make(map[ident.Instance]bool),
			hearingDelay: time.Duration(f.lossRng.Int64N(int64(maxHearingDelay))),
		}
		g.tracker = f.newGatewayTracker(g)
		g.sync = NewStoreSync(g.tracker)
		f.gateways = append(f.gateways, g)
	}
	for i := range s.upstreams {
		f.upstreams = append(f.upstreams, &upstream{index: i, domain: i % s.domains, up: true, inFlight: make(map[*request]bool), lapsesAt: make(map[ident.Instance]time.Duration)})
	}
	f.received, f.domainSums = make([]receivedReport, s.gateways), make([]receivedReport, s.domains)
	f.schedule()
	f.RunUntil(playLength)
	for _, n := range f.lateSends {
		f.result.mostLateSends = max(f.result.mostLateSends, n)
	}
	for _, n := range f.crashesCaused {
		f.result.crashesCaused = max(f.result.crashesCaused, n)
	}
	return f.result
}

func (f *fleet) clock() time.Time { return epoch.Add(f.Now()) }

func (f *fleet) randomExp(mean time.Duration) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

func (f *fleet) schedule() {
	s := f.s
	f.In(0, f.ordinaryArrives)
	for i := range s.poisonKinds {
		k := &s.poisonKinds[i]
		content := ident.ContentHashOf(ident.OutlineHash(1+i), 0)
		f.In(k.startsAt, func() { f.poisonArrives(k, content) })
		if k.soundInterval > 0 {
			f.In(0, func() { f.soundKinArrives(k) })
		}
	}
	for _, g := range f.gateways {
		f.In(time.Duration(f.rng.Int64N(int64(exchangePeriod))), func() { f.exchange(g) })
		f.In(time.Duration(f.rng.Int64N(int64(exchangePeriod/2))), func() { f.refresh(g) })
		if *way != "no store" && (s.unheard > 0 || s.domainCutOff) {
			f.In(time.Duration(f.lossRng.Int64N(int64(exchangePeriod))), func() { f.syncWithStore(g) })
		}
	}
	if s.gateways >= minGatewaysForCollectors {
		for d := range s.domains {
			f.In(time.Duration(f.rng.Int64N(int64(exchangePeriod/2))), func() { f.collect(d) })
		}
	}
	if s.crashRate > 0 {
		f.In(f.randomExp(time.Duration(float64(time.Second)/s.crashRate)), f.randomCrash)
	}
	for i := range s.flappingUpstreams {
		f.In(f.randomExp(time.Second), func() { f.flap(f.upstreams[i]) })
	}
	domain := f.rng.IntN(s.domains)
	at := 2*time.Second + time.Duration(f.rng.Int64N(int64(6*time.Second)))
	if s.domainReclaimed {
		f.In(at, func() { f.reclaim(domain) })
	}
	if s.domainLost {
		f.In(at, func() {
			for _, u := range f.upstreams {
				if u.domain == domain {
					f.crash(u)
				}
			}
		})
	}
	if s.domainCutOff {
		f.In(at, func() { f.cutDomain(domain) })
	}
	f.In(leaseRenewalPeriod, f.renewLease)
	for _, at := range s.massRestarts {
		f.In(at, func() {
			for _, g := range f.gateways {
				f.restart(g)
			}
		})
	}
	if s.rollingRestart {
		for _, g := range f.gateways {
			f.In(time.Duration(f.rng.Int64N(int64(playLength))), func() { f.restart(g) })
		}
	}
}

func (f *fleet) restart(g *gateway) {
	g.tracker, g.connectedSince = f.newGatewayTracker(g), f.Now()
	g.sync, g.readUpTo = NewStoreSync(g.tracker), -1
	f.In(restoreDelay, func() { g.tracker.Restore(f.storedRecord) })
	f.received[g.index] = receivedReport{}
}

// renewLease writes the first gateway's verdicts to the lease's record.
func (f *fleet) renewLease() {
	f.storedRecord = f.gateways[0].tracker.Snapshot()
	f.In(leaseRenewalPeriod, f.renewLease)
}

func (f *fleet) reclaim(domain int) {
	for _, u := range f.upstreams {
		if u.domain == domain {
			u.leaving = true
		}
	}
	f.In(2500*time.Millisecond, func() {
		for _, u := range f.upstreams {
			if u.domain == domain && u.up {
				f.crash(u)
			}
		}
	})
}

// cutDomain resets all connections between a domain and the others and refuses new ones for 5 s.
func (f *fleet) cutDomain(domain int) {
	f.cutOffDomain = domain
	for _, u := range f.upstreams {
		for _, r := range u.sortedInFlight() {
			if f.cannotReach(r.gateway, u) {
				f.interrupt(r, u, true)
			}
		}
	}
	f.In(5*time.Second, func() {
		f.cutOffDomain = -1
		for _, g := range f.gateways {
			if g.domain == domain {
				g.connectedSince = f.Now()
			}
		}
	})
}

func (f *fleet) cannotReach(g *gateway, u *upstream) bool {
	return f.cutOffDomain >= 0 && (g.domain == f.cutOffDomain) != (u.domain == f.cutOffDomain)
}

func (f *fleet) randomCrash() {
	if u := f.upstreams[f.rng.IntN(len(f.upstreams))]; u.up {
		f.crash(u)
	}
	f.In(f.randomExp(time.Duration(float64(time.Second)/f.s.crashRate)), f.randomCrash)
}

func (f *fleet) flap(u *upstream) {
	if u.up {
		f.crash(u)
	}
	f.In(5*time.Second, func() { f.flap(u) })
}

// receive has a random gateway receive a request.
func (f *fleet) receive(r *request) {
	r.gateway = f.gateways[f.rng.IntN(len(f.gateways))]
	f.lastID++
	r.id, r.sends, r.crashed = f.lastID, 0, false
	if b := r.gateway.tracker.Barred(r.known()); !f.s.withoutTracker && b != nil {
		f.refuse(r)
		return
	}
	r.waitingSince = f.Now()
	f.admit(r)
}

func (f *fleet) refuse(r *request) {
	if r.poison == nil {
		f.result.refused++
	}
	if r.kin {
		f.result.kinRefused++
	}
}

func (f *fleet) admit(r *request) {
	var avoid []ident.Instance
	if known := r.known(); !f.s.withoutTracker && len(known) > 0 {
		d := r.gateway.tracker.Admit(known, f.Now()-r.waitingSince)
		switch d.Step {
		case Bar:
			f.refuse(r)
			return
		case Wait:
			f.In(pollPeriod, func() { f.admit(r) })
			return
		}
		avoid = d.Avoid
	}
	f.place(r, avoid)
}

// place sends a request to an upstream with a free slot: half of the time to its group's
// preferred one if possible, otherwise to the less busy one of two.
func (f *fleet) place(r *request, avoid []ident.Instance) {
	var open []*upstream
	for _, u := range f.upstreams {
		if u.up && !u.leaving && len(u.inFlight) < f.s.slots && !f.cannotReach(r.gateway, u) && !slices.Contains(avoid, u.id(f.s.keepsIDs)) {
			open = append(open, u)
		}
	}
	if len(open) == 0 && len(avoid) > 0 {
		f.place(r, nil)
		return
	}
	if len(open) == 0 {
		if r.poison == nil {
			f.retryByClient(r)
		}
		return
	}
	u := open[f.rng.IntN(len(open))]
	if preferred := f.upstreams[r.group%len(f.upstreams)]; slices.Contains(open, preferred) && f.rng.IntN(2) == 0 {
		u = preferred
	} else if other := open[f.rng.IntN(len(open))]; len(other.inFlight) < len(u.inFlight) {
		u = other
	}
	f.send(r, u)
}

func (f *fleet) send(r *request, u *upstream) {
	r.sends++
	r.upstream, r.sentAt = u, f.Now()
	u.inFlight[r] = true
	r.onFinished = func() {}
	if known := r.known(); !f.s.withoutTracker && len(known) > 0 {
		r.onFinished = r.gateway.tracker.Started(u.id(f.s.keepsIDs), known)
	}
	incarnation := u.incarnation
	if r.poison == nil || f.Now() < r.poison.harmlessUntil || r.poison.harmlessSoftware == f.softwareOf(u) {
		f.In(f.randomExp(f.s.meanDuration), func() { f.complete(r, u, incarnation) })
		return
	}
	for _, x := range r.harmful {
		if deciding, known := f.decidingAt[x]; known && f.Now() > deciding+f.s.knownWithin && f.Now()-r.gateway.connectedSince > f.s.knownWithin {
			f.lateSends[x]++
		}
	}
	f.In(r.poison.crashDelay+time.Duration(f.rng.Int64N(int64(50*time.Millisecond))), func() {
		if u.up && u.incarnation == incarnation && u.inFlight[r] {
			f.crashByPoison(r, u)
		}
	})
}

func (f *fleet) crashByPoison(r *request, u *upstream) {
	for _, x := range r.harmful {
		f.crashesCaused[x]++
		if f.crashesCaused[x] == allowedCrashes[x.Kind] {
			f.decidingAt[x] = f.Now()
		}
	}
	f.crash(u)
}

// allowedCrashes is how many crashes a feature of each kind may cause before further requests with it
// are counted.
var allowedCrashes = map[ident.FeatureKind]int{ident.ContentFeature: 3, ident.PartFeature: 5}

// softwareOf returns what an upstream runs.
func (f *fleet) softwareOf(u *upstream) Software {
	if f.s.versions && u.index%2 == 1 {
		return testSoftware + 1
	}
	return testSoftware
}

func (f *fleet) complete(r *request, u *upstream, incarnation int) {
	if !u.up || u.incarnation != incarnation || !u.inFlight[r] || r.upstream != u {
		return
	}
	delete(u.inFlight, r)
	r.onFinished()
	r.gateway.tracker.Answered(u.id(f.s.keepsIDs), epoch.Add(r.sentAt))
	if known := r.known(); !f.s.withoutTracker && len(known) > 0 {
		r.gateway.tracker.Completed(&Completion{Features: known, Software: f.softwareOf(u), Sent: epoch.Add(r.sentAt), Success: true})
	}
	r.gateway.tracker.Served(r.features[1:])
}

// crash ends an upstream's process and restarts it 2 to 4 s later.
func (f *fleet) crash(u *upstream) {
	if !u.up {
		return
	}
	u.up = false
	f.result.crashes++
	if !f.s.keepsIDs {
		u.lapsesAt[u.id(false)] = f.Now() + 3*heartbeat - time.Duration(f.lossRng.Int64N(int64(heartbeat)))
	}
	for _, r := range u.sortedInFlight() {
		f.interrupt(r, u, !u.leaving)
	}
	f.In(2*time.Second+time.Duration(f.rng.Int64N(int64(2*time.Second))), func() {
		u.up, u.leaving = true, false
		u.incarnation++
	})
}

// interrupt resends or fails a request whose upstream crashed or became unreachable. If asCrash
// is set, it is recorded in the Tracker as a crash.
func (f *fleet) interrupt(r *request, u *upstream, asCrash bool) {
	delete(u.inFlight, r)
	r.onFinished()
	t := r.gateway.tracker
	if asCrash && !f.s.withoutTracker {
		id := u.id(f.s.keepsIDs)
		evidence := f.evidence(r.gateway, id)
		if evidence != BrokenOff || *way != "at once" {
			t.Interrupted(&Interruption{
				Upstream: id, Software: f.softwareOf(u), Request: ident.Request(strconv.Itoa(r.id)), Content: r.content, Parts: r.features[1:], Evidence: evidence,
			})
		}
		r.crashed = true
	}
	if r.sends < r.maxSends && (f.s.withoutTracker || !r.crashed || t.MayResend(r.features)) {
		r.waitingSince = f.Now()
		f.In(time.Millisecond, func() { f.admit(r) })
		return
	}
	if r.poison == nil {
		f.retryByClient(r)
	} else if r.retries++; r.retries <= r.poison.repeats {
		f.In(clientRetryDelay, func() { f.receive(r) })
	}
}

// retryByClient has the client of a failed ordinary request retry it, or counts it as lost.
func (f *fleet) retryByClient(r *request) {
	if r.retries++; r.retries > max(1, f.s.maxRetries) {
		f.result.lost++
		return
	}
	f.In(clientRetryDelay, func() { f.receive(r) })
}

// exchange sends one gateway's report.
func (f *fleet) exchange(g *gateway) {
	f.In(exchangePeriod, func() { f.exchange(g) })
	if f.isUnheard(g) {
		return
	}
	report := g.tracker.Report()
	if *way == "own" {
		report.Doubts = nil
	}
	reported := len(report.Verdicts)
	for _, c := range report.Crashes {
		reported += len(c.Marks)
	}
	f.result.maxReported = max(f.result.maxReported, reported)
	at := f.Now()
	f.In(exchangeDelay, func() { f.received[g.index] = receivedReport{report, at} })
}

// collect merges the reports of a domain's gateways.
func (f *fleet) collect(d int) {
	f.In(exchangePeriod/2, func() { f.collect(d) })
	var sum Report
	for _, g := range f.gateways {
		if g.domain == d {
			sum = sum.Merge(f.aged(f.received[g.index]))
		}
	}
	at := f.Now()
	f.In(exchangeDelay, func() { f.domainSums[d] = receivedReport{sum, at} })
}

// refresh has a gateway merge the reports of the gateways that it can reach.
func (f *fleet) refresh(g *gateway) {
	f.In(exchangePeriod/2, func() { f.refresh(g) })
	var others Report
	if f.isUnheard(g) {
		g.tracker.Refresh(others)
		return
	}
	if f.s.gateways < minGatewaysForCollectors {
		for _, o := range f.gateways {
			if o != g && (f.cutOffDomain < 0 || (o.domain == f.cutOffDomain) == (g.domain == f.cutOffDomain)) {
				others = others.Merge(f.aged(f.received[o.index]))
			}
		}
	} else {
		for d := range f.s.domains {
			if f.cutOffDomain < 0 || (d == f.cutOffDomain) == (g.domain == f.cutOffDomain) {
				others = others.Merge(f.aged(f.domainSums[d]))
			}
		}
	}
	g.tracker.Refresh(others)
	if f.Now() >= f.checkedAt+pollPeriod {
		f.checkedAt = f.Now()
		f.checkKnownToAll()
	}
}

// checkKnownToAll records, once, how long it took until all gateways bar every poison feature that
// has crashed three upstreams.
func (f *fleet) checkKnownToAll() {
	if f.result.knownToAll {
		return
	}
	for feature, deciding := range f.decidingAt {
		for _, g := range f.gateways {
			g.tracker.mu.Lock()
			known := g.tracker.isInConviction(feature, f.clock())
			g.tracker.mu.Unlock()
			if !known {
				return
			}
		}
		f.result.knownAfter, f.result.knownToAll = max(f.result.knownAfter, f.Now()-deciding), true
	}
}
