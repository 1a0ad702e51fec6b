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

// A fleet plays requests that end upstreams beside ordinary ones, in virtual time: gateways
// with the real Tracker, the exchange with its delays, upstreams that end and come back.

const (
	round      = 250 * time.Millisecond
	look       = 25 * time.Millisecond
	collectAt  = 18
	hop        = 20 * time.Millisecond
	retryAfter = 100 * time.Millisecond
	length     = 25 * time.Second
	renewal    = 1500 * time.Millisecond
	startTime  = 50 * time.Millisecond
)

// killer is a content that ends each upstream that runs it.
type killer struct {
	// every is the mean time between its arrivals, and burst how many come at once.
	every time.Duration
	burst int
	// after is when, of the run, it ends the upstream.
	after time.Duration
	// attempts is how often a gateway may send one arrival.
	attempts int
	// from is when it begins to come.
	from time.Duration
	// group is what other requests have the same home.
	group int
}

// story is a fleet with what happens to it.
type story struct {
	name              string
	gateways, domains int
	upstreams, slots  int
	contact           time.Duration
	rate              float64
	took              time.Duration
	killers           []killer
	hot               float64 // the part of ordinary requests that have one content
	selfEnds          float64 // ends a second of upstreams by themselves, under load
	flaps             int     // upstreams that end by themselves, again and again
	reclaimed         bool    // a domain's upstreams leave as announced
	lost              bool    // a domain's upstreams end at once, unannounced
	cut               bool    // a domain is cut off by resets for some seconds
	sameName          bool    // upstreams come back under their name
	restart           bool    // gateways are started anew, one after the other
	none              bool    // without the tracker
	burst             bool
	// tries is how often the caller of an ordinary request that failed comes again; 0 is once.
	tries int
	// killed are when all gateways are started anew at once.
	killed []time.Duration
}

type request struct {
	id      int
	content ident.Content
	killer  *killer
	gateway *gateway
	// tries of the client, runs of this arrival.
	tries, runs, attempts int
	ended                 bool
	group                 int
	waitedFrom            time.Duration
	upstream              *upstream
	done                  func()
}

type upstream struct {
	i, life int
	domain  int
	up      bool
	leaving bool
	runs    map[*request]bool
}

func (u *upstream) id(same bool) ident.Instance {
	if same {
		return ident.Instance("u" + strconv.Itoa(u.i))
	}
	return ident.Instance("u" + strconv.Itoa(u.i) + "/" + strconv.Itoa(u.life))
}

// inOrder returns the requests in progress in the order of their coming, so that a seed
// plays alike each time.
func (u *upstream) inOrder() []*request {
	return slices.SortedFunc(maps.Keys(u.runs), func(a, b *request) int { return a.id - b.id })
}

type gateway struct {
	i, domain int
	tracker   *Tracker
	// calmSince is since when it is in touch with the others.
	calmSince time.Duration
}

type result struct {
	// worst is the most sends of one content that were too late.
	worst, ends, ordinary, refused, lost int
	// known is the longest time from a content's third end to the last gateway's knowing.
	known time.Duration
	found bool
	told  int // the most contents and verdicts in one report
}

type fleet struct {
	testkit.Timeline
	s        story
	rng      *rand.Rand
	gateways []*gateway
	ups      []*upstream
	words    []heard
	sums     []heard
	ids      int
	r        result
	// ends of each killer's content, and late sends.
	thirdEnd map[ident.Content]time.Duration
	kills    map[ident.Content]int
	late     map[ident.Content]int
	cutOff   int
	notedAt  time.Duration
	// kept is what the lease's record holds.
	kept json.RawMessage
}

// heard is what came from a gateway or a collector last, and since when it is so old.
type heard struct {
	words Words
	at    time.Duration
}

func (f *fleet) aged(h heard) Words { return h.words.Aged(f.Now() - h.at) }

var epoch = time.Unix(1_000_000, 0)

func key(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func newTracker(now func() time.Time) *Tracker {
	return New(Config{Now: now, Log: hclog.NewNullLogger(), Key: key})
}

func play(s story, seed uint64) result {
	f := &fleet{
		s: s, rng: rand.New(rand.NewPCG(seed, 7)), thirdEnd: make(map[ident.Content]time.Duration),
		kills: make(map[ident.Content]int), late: make(map[ident.Content]int), cutOff: -1,
	}
	for i := range s.gateways {
		f.gateways = append(f.gateways, &gateway{i: i, domain: i % s.domains, tracker: newTracker(f.clock), calmSince: -time.Hour})
	}
	for i := range s.upstreams {
		f.ups = append(f.ups, &upstream{i: i, domain: i % s.domains, up: true, runs: make(map[*request]bool)})
	}
	f.words, f.sums = make([]heard, s.gateways), make([]heard, s.domains)
	f.schedule()
	f.Play(length)
	for _, n := range f.late {
		f.r.worst = max(f.r.worst, n)
	}
	return f.r
}

func (f *fleet) clock() time.Time { return epoch.Add(f.Now()) }

func (f *fleet) exp(mean time.Duration) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

func (f *fleet) schedule() {
	s := f.s
	f.In(0, f.arrive)
	for i := range s.killers {
		k := &s.killers[i]
		content := ident.ContentOf(ident.Outline(1+i), 0)
		f.In(k.from, func() { f.killerComes(k, content) })
	}
	for _, g := range f.gateways {
		f.In(time.Duration(f.rng.Int64N(int64(round))), func() { f.exchange(g) })
		f.In(time.Duration(f.rng.Int64N(int64(round/2))), func() { f.refresh(g) })
	}
	if s.gateways >= collectAt {
		for d := range s.domains {
			f.In(time.Duration(f.rng.Int64N(int64(round/2))), func() { f.collect(d) })
		}
	}
	if s.selfEnds > 0 {
		f.In(f.exp(time.Duration(float64(time.Second)/s.selfEnds)), f.selfEnd)
	}
	for i := range s.flaps {
		f.In(f.exp(time.Second), func() { f.flap(f.ups[i]) })
	}
	domain := f.rng.IntN(s.domains)
	at := 2*time.Second + time.Duration(f.rng.Int64N(int64(6*time.Second)))
	if s.reclaimed {
		f.In(at, func() { f.reclaim(domain) })
	}
	if s.lost {
		f.In(at, func() {
			for _, u := range f.ups {
				if u.domain == domain {
					f.end(u)
				}
			}
		})
	}
	if s.cut {
		f.In(at, func() { f.cutDomain(domain) })
	}
	f.In(renewal, f.renew)
	for _, at := range s.killed {
		f.In(at, func() {
			for _, g := range f.gateways {
				f.restart(g)
			}
		})
	}
	if s.restart {
		for _, g := range f.gateways {
			f.In(time.Duration(f.rng.Int64N(int64(length))), func() { f.restart(g) })
		}
	}
}

func (f *fleet) restart(g *gateway) {
	g.tracker, g.calmSince = newTracker(f.clock), f.Now()
	f.In(startTime, func() { g.tracker.Learn(f.kept) })
	f.words[g.i] = heard{}
}

// renew writes the lease's record.
func (f *fleet) renew() {
	f.kept = f.gateways[0].tracker.Keep()
	f.In(renewal, f.renew)
}

func (f *fleet) reclaim(domain int) {
	for _, u := range f.ups {
		if u.domain == domain {
			u.leaving = true
		}
	}
	f.In(2500*time.Millisecond, func() {
		for _, u := range f.ups {
			if u.domain == domain && u.up {
				f.end(u)
			}
		}
	})
}

// cutDomain resets all connections between a domain and the others, and refuses new ones.
func (f *fleet) cutDomain(domain int) {
	f.cutOff = domain
	for _, u := range f.ups {
		for _, r := range u.inOrder() {
			if f.apart(r.gateway, u) {
				f.brokenOff(r, u, true)
			}
		}
	}
	f.In(5*time.Second, func() {
		f.cutOff = -1
		for _, g := range f.gateways {
			if g.domain == domain {
				g.calmSince = f.Now()
			}
		}
	})
}

func (f *fleet) apart(g *gateway, u *upstream) bool {
	return f.cutOff >= 0 && (g.domain == f.cutOff) != (u.domain == f.cutOff)
}

func (f *fleet) selfEnd() {
	if u := f.ups[f.rng.IntN(len(f.ups))]; u.up {
		f.end(u)
	}
	f.In(f.exp(time.Duration(float64(time.Second)/f.s.selfEnds)), f.selfEnd)
}

func (f *fleet) flap(u *upstream) {
	if u.up {
		f.end(u)
	}
	f.In(5*time.Second, func() { f.flap(u) })
}

// arrive brings an ordinary request, and schedules the next.
func (f *fleet) arrive() {
	rate := f.s.rate
	if f.s.burst && f.Now() > 5*time.Second && f.Now() < 10*time.Second {
		rate *= 2
	}
	f.In(f.exp(time.Duration(float64(time.Second)/rate)), f.arrive)
	f.ids++
	r := &request{id: f.ids, content: ident.ContentOf(ident.Outline(1_000_000+f.ids), 0), attempts: 1 + 2*f.rng.IntN(2), group: f.rng.IntN(10)}
	if f.rng.Float64() < f.s.hot {
		r.content, r.attempts, r.group = ident.ContentOf(999, 0), 3, 5
	}
	f.r.ordinary++
	f.come(r)
}

func (f *fleet) killerComes(k *killer, content ident.Content) {
	for range max(1, k.burst) {
		f.ids++
		f.come(&request{id: f.ids, content: content, killer: k, attempts: k.attempts, group: k.group})
	}
	f.In(f.exp(k.every), func() { f.killerComes(k, content) })
}

// come brings a request to some gateway.
func (f *fleet) come(r *request) {
	r.gateway = f.gateways[f.rng.IntN(len(f.gateways))]
	f.ids++
	r.id, r.runs, r.ended = f.ids, 0, false
	if _, barred := r.gateway.tracker.Barred(r.content); barred && !f.s.none {
		f.refuse(r)
		return
	}
	r.waitedFrom = f.Now()
	f.admit(r)
}

func (f *fleet) refuse(r *request) {
	if r.killer == nil {
		f.r.refused++
	}
}

func (f *fleet) admit(r *request) {
	var avoid []ident.Instance
	if t := r.gateway.tracker; !f.s.none && !t.Quiet() && t.Knows(r.content.Outline()) {
		d := t.Admit(r.content, f.Now()-r.waitedFrom)
		switch d.Step {
		case Bar:
			f.refuse(r)
			return
		case Wait:
			f.In(look, func() { f.admit(r) })
			return
		}
		avoid = d.Avoid
	}
	f.place(r, avoid)
}

// place sends a request to the home of its group if that has room, and else to the one of
// two that has less.
func (f *fleet) place(r *request, avoid []ident.Instance) {
	var open []*upstream
	for _, u := range f.ups {
		if u.up && !u.leaving && len(u.runs) < f.s.slots && !f.apart(r.gateway, u) && !slices.Contains(avoid, u.id(f.s.sameName)) {
			open = append(open, u)
		}
	}
	if len(open) == 0 && len(avoid) > 0 {
		f.place(r, nil)
		return
	}
	if len(open) == 0 {
		if r.killer == nil {
			f.failed(r)
		}
		return
	}
	u := open[f.rng.IntN(len(open))]
	if home := f.ups[r.group%len(f.ups)]; slices.Contains(open, home) && f.rng.IntN(2) == 0 {
		u = home
	} else if other := open[f.rng.IntN(len(open))]; len(other.runs) < len(u.runs) {
		u = other
	}
	f.send(r, u)
}

func (f *fleet) send(r *request, u *upstream) {
	r.runs++
	r.upstream = u
	u.runs[r] = true
	r.done = func() {}
	if !f.s.none && r.gateway.tracker.Knows(r.content.Outline()) {
		r.done = r.gateway.tracker.Started(u.id(f.s.sameName), r.content)
	}
	life := u.life
	if r.killer == nil {
		f.In(f.exp(f.s.took), func() { f.complete(r, u, life) })
		return
	}
	if third, known := f.thirdEnd[r.content]; known && f.Now() > third+f.s.contact && f.Now()-r.gateway.calmSince > f.s.contact {
		f.late[r.content]++
	}
	f.In(r.killer.after+time.Duration(f.rng.Int64N(int64(50*time.Millisecond))), func() {
		if u.up && u.life == life && u.runs[r] {
			f.kill(r, u)
		}
	})
}

func (f *fleet) kill(r *request, u *upstream) {
	f.kills[r.content]++
	if f.kills[r.content] == 3 {
		f.thirdEnd[r.content] = f.Now()
	}
	f.end(u)
}

func (f *fleet) complete(r *request, u *upstream, life int) {
	if !u.up || u.life != life || !u.runs[r] || r.upstream != u {
		return
	}
	delete(u.runs, r)
	r.done()
	if !f.s.none && r.gateway.tracker.Knows(r.content.Outline()) {
		r.gateway.tracker.Completed(r.content)
	}
}

// end ends an upstream's process; it is back some seconds later.
func (f *fleet) end(u *upstream) {
	if !u.up {
		return
	}
	u.up = false
	f.r.ends++
	for _, r := range u.inOrder() {
		f.brokenOff(r, u, !u.leaving)
	}
	f.In(2*time.Second+time.Duration(f.rng.Int64N(int64(2*time.Second))), func() {
		u.up, u.leaving = true, false
		u.life++
	})
}

// brokenOff goes on with a request whose upstream ended, or seemed to.
func (f *fleet) brokenOff(r *request, u *upstream, noted bool) {
	delete(u.runs, r)
	r.done()
	t := r.gateway.tracker
	if noted && !f.s.none {
		t.Crashed(u.id(f.s.sameName), ident.MarkOf(r.content, ident.Request(strconv.Itoa(r.id))))
		r.ended = true
	}
	if r.runs < r.attempts && (f.s.none || !r.ended || t.Resend(r.content)) {
		r.waitedFrom = f.Now()
		f.In(time.Millisecond, func() { f.admit(r) })
		return
	}
	if r.killer == nil {
		f.failed(r)
	}
}

// failed has the client of an ordinary request come once more.
func (f *fleet) failed(r *request) {
	if r.tries++; r.tries > max(1, f.s.tries) {
		f.r.lost++
		return
	}
	f.In(retryAfter, func() { f.come(r) })
}

// exchange tells what one gateway has to say.
func (f *fleet) exchange(g *gateway) {
	f.In(round, func() { f.exchange(g) })
	w := g.tracker.Words()
	told := len(w.Verdicts)
	for _, c := range w.Crashes {
		told += len(c.Marks)
	}
	f.r.told = max(f.r.told, told)
	at := f.Now()
	f.In(hop, func() { f.words[g.i] = heard{w, at} })
}

// collect adds up a domain's words, as of now.
func (f *fleet) collect(d int) {
	f.In(round/2, func() { f.collect(d) })
	var sum Words
	for _, g := range f.gateways {
		if g.domain == d {
			sum = sum.Plus(f.aged(f.words[g.i]))
		}
	}
	at := f.Now()
	f.In(hop, func() { f.sums[d] = heard{sum, at} })
}

// refresh takes in what the others said.
func (f *fleet) refresh(g *gateway) {
	f.In(round/2, func() { f.refresh(g) })
	var words Words
	if f.s.gateways < collectAt {
		for _, o := range f.gateways {
			if o != g && (f.cutOff < 0 || (o.domain == f.cutOff) == (g.domain == f.cutOff)) {
				words = words.Plus(f.aged(f.words[o.i]))
			}
		}
	} else {
		for d := range f.s.domains {
			if f.cutOff < 0 || (d == f.cutOff) == (g.domain == f.cutOff) {
				words = words.Plus(f.aged(f.sums[d]))
			}
		}
	}
	g.tracker.Refresh(words)
	if f.Now() >= f.notedAt+look {
		f.notedAt = f.Now()
		f.noteKnown()
	}
}

// noteKnown notes when the last gateway has found the content of all that it must know.
func (f *fleet) noteKnown() {
	if f.r.found {
		return
	}
	for content, third := range f.thirdEnd {
		all := true
		for _, g := range f.gateways {
			g.tracker.mu.Lock()
			all = all && g.tracker.convicted(content, f.clock())
			g.tracker.mu.Unlock()
			if !all {
				return
			}
		}
		f.r.known, f.r.found = max(f.r.known, f.Now()-third), true
	}
}
