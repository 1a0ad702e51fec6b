package origin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// askTimeout bounds the question to other gateways, for which a caller waits. Gateways are about
	// 1 ms apart.
	askTimeout = 80 * time.Millisecond
	// refreshTimeout bounds the reading of what is listed now, for which a caller waits.
	refreshTimeout = 200 * time.Millisecond
	// earlierTimeout bounds the reading of what was listed before, for which a caller waits too, and
	// earlierInterval is the shortest time between two of them.
	earlierTimeout  = 200 * time.Millisecond
	earlierInterval = time.Second
	// maxViewAge is how old what a gateway in touch knows of the upstreams is at the most.
	maxViewAge = 1800 * time.Millisecond
	// startPeriod is how long after its start a gateway may not know the others yet.
	startPeriod = 2 * time.Second
	// expiryInterval is how often what is over is forgotten.
	expiryInterval = time.Second
)

// Network reaches the other gateways.
type Network interface {
	// Tell sends encoded records to a gateway.
	Tell(ctx context.Context, to Peer, records []byte) error
	// Ask sends an encoded question to a gateway and returns its encoded answer.
	Ask(ctx context.Context, to Peer, question []byte) ([]byte, error)
}

// Config configures a Registry. All fields are required.
type Config struct {
	Now     boottime.Clock
	Log     hclog.Logger
	Network Network
	// ViewAge returns how long ago it was known last that the view of the upstreams was up to date.
	ViewAge func() time.Duration
	// Refresh brings the view of the upstreams up to date, as of an instant after its call, and reports whether it
	// is: streams begin at versions of which this gateway has not heard.
	Refresh func(ctx context.Context) bool
	// Beginnings keeps at which versions that have just appeared streams begin. OnBegun is called when this gateway may
	// begin streams at one.
	Beginnings Beginnings
	OnBegun    func()
	// Earlier returns which versions were listed before this process started, as far as the platform
	// tells.
	Earlier func(ctx context.Context, within time.Duration) (Earlier, error)
}

// Earlier are the versions that upstreams had which were listed at any time in the last For.
type Earlier struct {
	Listed []Origin
	For    time.Duration
}

// Registry knows which software began streams: what this gateway saw itself, what others told it, and
// what they answer. It is safe for concurrent use.
type Registry struct {
	cfg     Config
	started time.Time
	memory  *Memory
	history *History
	outbox  *outbox
	// beginnings are the versions that had just appeared and began streams all the same.
	beginnings *beginnings
	peers      atomic.Pointer[peers]
	// hadPeers: other gateways were known at some time.
	hadPeers atomic.Bool

	// copies and askWidth are the constants of these names.
	copies, askWidth int

	asked, unanswered, notKnown atomic.Int64
	// reading merges concurrent readings of what was listed earlier.
	reading singleflight.Group

	mu sync.Mutex
	// own are the streams that this gateway passed on, and whom it told of them.
	own map[Stream]*ownStream
	// expiredAt is when what was over was forgotten last, earlierReadAt when it was read last what was
	// listed earlier.
	expiredAt, earlierReadAt time.Time
}

// ownStream is a stream that this gateway passed on.
type ownStream struct {
	record Record
	within time.Duration
	// oneService: it can have begun at no other service.
	oneService bool
	// told are the gateways that were told, and toldAmong those among which they were chosen.
	told      map[ident.Instance]ident.Incarnation
	toldAmong *peers
}

// NewRegistry returns a Registry that knows nothing.
func NewRegistry(cfg Config) *Registry {
	r := &Registry{
		cfg: cfg, started: cfg.Now(), memory: NewMemory(), history: NewHistory(), outbox: newOutbox(cfg.Now, cfg.Log, cfg.Network), own: make(map[Stream]*ownStream),
		beginnings: newBeginnings(), copies: copies, askWidth: askWidth,
	}
	r.peers.Store(newPeers(nil))
	return r
}

// Began records that a stream's events are given out, and tells other gateways, unless they can tell by
// themselves. oneService: it can have begun at no other service.
func (r *Registry) Began(s Stream, o Origin, oneService bool, within time.Duration) {
	if !s.isNamed() {
		return
	}
	now := r.cfg.Now()
	record := Record{Stream: s, Origin: o, Until: now.Add(within)}
	r.memory.Add(record, now)
	own := &ownStream{record: record, within: within, oneService: oneService}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[s] = own
	r.tellKeepers(own, now)
}

// tellKeepers tells those that keep a stream of it, if they were not told yet. r.mu must be held.
func (r *Registry) tellKeepers(own *ownStream, now time.Time) {
	among := r.peers.Load()
	if own.toldAmong == among || own.oneService && r.isOnlyVersion(own.record.Origin, own.within, now) {
		return
	}
	own.toldAmong = among
	for _, p := range among.of(own.record.Stream, r.copies) {
		if told, before := own.told[p.Node]; before && told == p.Incarnation {
			continue
		}
		if own.told == nil {
			own.told = make(map[ident.Instance]ident.Incarnation, r.copies)
		}
		own.told[p.Node] = p.Incarnation
		r.outbox.send(p, own.record)
	}
}

// isOnlyVersion reports whether no other version of a service can have begun a stream within a time.
func (r *Registry) isOnlyVersion(o Origin, within time.Duration, now time.Time) bool {
	listed := r.history.Listed(o.Service, now.Add(-within), now)
	return listed.Complete && len(listed.Unused) == 0 && len(listed.Versions) == 1 && listed.Versions[0] == o.SoftwareVersion
}

// HoldsBack reports whether a version of a service begins no streams yet, unless MayBegin says so: other gateways may
// not have heard of it.
func (r *Registry) HoldsBack(service ident.Service, version ident.SoftwareVersion, now time.Time) bool {
	return r.history.HoldsBack(service, version, now) || r.history.IsNewHere(service, version, now)
}

// Observe records which versions a view of the upstreams lists; age is how old the one before had become.
// Where another version appears, others are told of the streams that this gateway passed on before.
func (r *Registry) Observe(view *directory.View, age time.Duration) {
	now := r.cfg.Now()
	r.history.Observe(view, age, now)
	r.tellOfAll(now)
}

// MarkComplete records that all upstreams that have been listed since an instant are known.
func (r *Registry) MarkComplete(since time.Time) { r.history.MarkComplete(since) }

// SetPeers replaces the other gateways. Those that are new are told of the streams that they keep from
// now on.
func (r *Registry) SetPeers(list []Peer) {
	now := r.cfg.Now()
	before := r.peers.Load()
	if len(list) > 0 {
		r.hadPeers.Store(true)
	}
	if !slices.Equal(before.list, list) {
		r.peers.Store(newPeers(list))
		r.tellOfAll(now)
	}
	r.expire(now)
}

// tellOfAll tells those that keep this gateway's streams and were not told yet.
func (r *Registry) tellOfAll(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, own := range r.own {
		if now.Before(own.record.Until) {
			r.tellKeepers(own, now)
		}
	}
}

// expire forgets what is over, once an expiryInterval.
func (r *Registry) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.expiredAt) < expiryInterval {
		return
	}
	r.expiredAt = now
	maps.DeleteFunc(r.own, func(_ Stream, own *ownStream) bool { return !now.Before(own.record.Until) })
	r.memory.Expire(now)
}

// Find returns which software began a stream that a caller takes up. Unless it has a record, it asks other gateways, for
// at most askTimeout: it alone may be the one that has not heard of another version. Where too few of them answer, or
// none has heard of the upstreams lately, it reads what is listed now, for at most refreshTimeout. It then may read
// what was listed earlier, for at most earlierTimeout.
func (r *Registry) Find(ctx context.Context, q Question) Verdict {
	own := r.evidenceOf(q, r.cfg.Now())
	if len(own.recorded) > 0 {
		return decide([]evidence{own}, false)
	}
	others := r.askOthers(ctx, q)
	if others.recorded() || others.fromMost && others.current(own) && !others.deduces(own) {
		return r.concluded(ctx, others, q)
	}
	refreshCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	others.refreshed = r.cfg.Refresh(refreshCtx) && r.readBeginnings(refreshCtx)
	return r.concluded(ctx, others, q)
}

// concluded decides by what others answered and, if that may help, by what was listed earlier.
func (r *Registry) concluded(ctx context.Context, others answers, q Question) Verdict {
	v := r.decideWith(others, q)
	if v.Source == NotKnown && v.TooEarly && r.readEarlier(ctx, q.Within) {
		v = r.decideWith(others, q)
	}
	if v.Source == NotKnown {
		r.notKnown.Add(1)
	}
	return v
}

// decideWith decides from what this gateway knows and what others answered.
func (r *Registry) decideWith(others answers, q Question) Verdict {
	now := r.cfg.Now()
	all := append(slices.Clone(others.evidence), r.evidenceOf(q, now))
	for i := range all {
		all[i].stale = all[i].stale || !others.fromMost
		r.limitDeduction(&all[i], others.refreshed)
	}
	if own := &all[len(all)-1]; others.refreshed {
		own.stale = false
	}
	v := decide(all, others.fromMost)
	v.Asked, v.Silent = others.asked, others.silent
	v.TooEarly = v.TooEarly || others.asked == 0 && now.Sub(r.started) < startPeriod
	return v
}

// readEarlier reads which versions were listed before this process started, and reports whether that is
// known now. It does so once an earlierInterval.
func (r *Registry) readEarlier(ctx context.Context, within time.Duration) bool {
	read, _, _ := r.reading.Do("", func() (any, error) {
		now := r.cfg.Now()
		// Unless it is known what is listed now, what was listed before tells nothing.
		if known := r.history.KnownFor(now); known == 0 || known >= within || !r.mayReadEarlier(now) {
			return known >= within, nil
		}
		// A caller that goes away must not cancel what others wait for.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), earlierTimeout)
		defer cancel()
		asOf := r.cfg.Now()
		earlier, err := r.cfg.Earlier(ctx, within)
		r.cfg.Log.Info("read which versions were listed earlier", "listed", earlier.Listed, "for_ms", earlier.For.Milliseconds(), "error", err)
		if err != nil {
			return false, nil
		}
		for _, o := range earlier.Listed {
			r.history.AddEarlier(o.Service, o.SoftwareVersion, asOf)
		}
		r.history.MarkComplete(asOf.Add(-earlier.For))
		return true, nil
	})
	return read.(bool)
}

func (r *Registry) mayReadEarlier(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.earlierReadAt.IsZero() && now.Sub(r.earlierReadAt) < earlierInterval {
		return false
	}
	r.earlierReadAt = now
	return true
}

// evidenceOf returns what this gateway knows of a stream.
func (r *Registry) evidenceOf(q Question, now time.Time) evidence {
	e := evidence{recorded: r.memory.Find(q.Stream, now), complete: true, stale: r.cfg.ViewAge() > maxViewAge}
	for _, service := range q.Services {
		listed := r.history.Listed(service, now.Add(-q.Within), now)
		for _, v := range listed.Versions {
			e.listed = append(e.listed, Origin{service, v})
		}
		for _, v := range listed.Unused {
			e.unused = append(e.unused, Origin{service, v})
		}
		e.complete = e.complete && listed.Complete
	}
	return e
}

// answers are what other gateways know of a stream.
type answers struct {
	evidence      []evidence
	asked, silent int
	// fromMost: with this gateway, they are most of those that were asked, or there never were others.
	fromMost bool
	// refreshed: what is listed was read after the question.
	refreshed bool
}

// recorded reports whether a gateway has a record of the stream.
func (a *answers) recorded() bool {
	return slices.ContainsFunc(a.evidence, func(e evidence) bool { return len(e.recorded) > 0 })
}

// current reports whether a gateway that answered, or this one, has heard of the upstreams lately.
func (a *answers) current(own evidence) bool {
	return !own.stale || slices.ContainsFunc(a.evidence, func(e evidence) bool { return !e.stale })
}

// deduces reports whether a gateway that answered, or this one, takes a version for one that began no streams.
func (a *answers) deduces(own evidence) bool {
	return len(own.unused) > 0 || slices.ContainsFunc(a.evidence, func(e evidence) bool { return len(e.unused) > 0 })
}

// limitDeduction takes versions for ones that may have begun streams, though they have only just appeared, if that is
// recorded, or was not read after the question.
func (r *Registry) limitDeduction(e *evidence, beginningsRead bool) {
	var unused []Origin
	for _, o := range e.unused {
		if !beginningsRead || r.beginnings.has(o) {
			e.listed = append(slices.Clone(e.listed), o)
		} else {
			unused = append(unused, o)
		}
	}
	e.unused = unused
}

// askOthers asks other gateways about a stream. It returns as soon as one has a record of it.
func (r *Registry) askOthers(ctx context.Context, q Question) answers {
	peers := r.peers.Load().of(q.Stream, r.askWidth)
	question, err := encodeQuestion(q)
	if err != nil {
		r.cfg.Log.Error("cannot ask about a stream", "attempt", q.Stream.Attempt.ForLog(), "error", err)
		return answers{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	received := make(chan *evidence, len(peers))
	for _, p := range peers {
		go func() { received <- r.ask(ctx, p, question, q.Within) }()
	}
	out := answers{asked: len(peers)}
	for range peers {
		answer := <-received
		if answer == nil {
			out.silent++
			continue
		}
		out.evidence = append(out.evidence, *answer)
		if len(answer.recorded) > 0 {
			break
		}
	}
	out.fromMost = 2*(len(out.evidence)+1) > out.asked+1 && out.asked > 0 || !r.hadPeers.Load()
	r.asked.Add(int64(out.asked))
	r.unanswered.Add(int64(out.silent))
	return out
}

// ask asks one gateway, and returns nil if it gives no valid answer.
func (r *Registry) ask(ctx context.Context, p Peer, question []byte, within time.Duration) *evidence {
	data, err := r.cfg.Network.Ask(ctx, p, question)
	if err == nil {
		var e evidence
		if e, err = decodeEvidence(data, within); err == nil {
			return &e
		}
	}
	if ctx.Err() == nil {
		r.cfg.Log.Debug("gateway did not answer about a stream", "gateway", p.Node, "error", err)
	}
	return nil
}

// Told takes another gateway's encoded records.
func (r *Registry) Told(data []byte) error {
	now := r.cfg.Now()
	records, err := decodeRecords(data, now)
	for _, record := range records {
		r.memory.Add(record, now)
	}
	return err
}

// Answer answers another gateway's encoded question.
func (r *Registry) Answer(data []byte) ([]byte, error) {
	q, err := decodeQuestion(data)
	if err != nil {
		return nil, err
	}
	now := r.cfg.Now()
	return encodeEvidence(r.evidenceOf(q, now), r.history.KnownFor(now))
}

// Counters are totals since the start, and what is remembered now.
type Counters struct {
	OutboxCounters
	// Asked counts the questions to other gateways, Unanswered those without an answer, NotKnown the
	// streams of which nobody knew the software.
	Asked, Unanswered, NotKnown int64
	// Remembered counts streams, Evicted those that were forgotten before their time.
	Remembered int
	Evicted    int64
}

// Counters returns the totals since the start.
func (r *Registry) Counters() Counters {
	c := Counters{OutboxCounters: r.outbox.Counters(), Asked: r.asked.Load(), Unanswered: r.unanswered.Load(), NotKnown: r.notKnown.Load()}
	c.Remembered, c.Evicted = r.memory.Counts()
	return c
}
