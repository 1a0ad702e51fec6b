package announced

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

const (
	// logInterval is the shortest time between two log lines on an upstream's pauses, and between
	// two on unreadable statements. An upstream may announce another pause in each answer.
	logInterval = time.Second
	// forgottenRetention is how long it is retained that an upstream was forgotten: longer than
	// another gateway may report its statements.
	forgottenRetention = time.Minute
)

// Config configures a registry. All fields are required.
type Config struct {
	Now boottime.Clock
	Log hclog.Logger
	// Limits keeps the rate limits.
	Limits *upstreamlimit.Limiter
	// Round is the interval between two messages to the same gateway.
	Round time.Duration
	// MaxPause bounds the pauses that upstreams ask for.
	MaxPause time.Duration
	// Seed seeds the registry's random numbers. It should differ between gateways.
	Seed uint64
	// Listed reports whether an upstream is listed at this gateway. It must not call the registry.
	Listed func(ident.Instance) bool
	// OnLeaving is called when the registry has learned that upstreams leave, after which Leaving
	// returns true for them. It may call the registry.
	OnLeaving func([]ident.Instance)
}

// Registry holds what upstreams announced. It is safe for concurrent use.
type Registry struct {
	cfg Config
	// pauses is the number of upstreams with a pause, and pausesVersion changes whenever the set of
	// these upstreams does.
	pauses        atomic.Int64
	pausesVersion atomic.Uint64
	// brittle is the number of upstreams that said that they are brittle.
	brittle atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
	// records are by the IDs of the upstreams' incarnations, so that a statement ends with the
	// incarnation that made it.
	records map[ident.Instance]*record
	// forgottenAt says of upstreams without a known incarnation when they were forgotten, so that
	// a statement of an earlier process is not taken for one of its successor.
	forgottenAt map[ident.Instance]time.Time
	counters    Counters
	// unreadableLines bounds the log lines on unreadable statements of all upstreams.
	unreadableLines logthrottle.Throttle
}

// record holds what one upstream announced.
type record struct {
	// leavingAt is when an answer to any gateway first announced that the upstream leaves; zero if
	// none did. learnedAt is when this gateway learned of it.
	leavingAt, learnedAt time.Time
	// pause is nil if the upstream asked this gateway for none lately.
	pause *Pause
	// brittleUntil is until when the upstream counts as brittle; zero if it has not said so lately.
	brittleUntil time.Time
	// listedAt is when the upstream was last listed.
	listedAt time.Time
	// reportedOnly: only another gateway's report says that there is such an upstream.
	reportedOnly bool
	pauseLines   logthrottle.Throttle
}

// Counters are totals since the start, and present numbers.
type Counters struct {
	// Leaving is the number of upstreams that leave, as an answer received here announced first,
	// and LeavingReported the number that another gateway reported first.
	Leaving, LeavingReported int
	// Pauses is the number of answers that asked for a pause, and Unreadable that of answers with
	// a statement that could not be read.
	Pauses, Unreadable int
	// Resumed is the number of pauses after which the upstream served again.
	Resumed int
	// LeavingNow and PausedNow are the numbers of upstreams that leave, and whose pause is not over.
	LeavingNow, PausedNow int
}

// NewRegistry returns a registry without statements.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), records: make(map[ident.Instance]*record), forgottenAt: make(map[ident.Instance]time.Time)}
}

// Record records what an upstream's answer to a request announces.
func (r *Registry) Record(upstream ident.Instance, id ident.Request, s Statement) {
	r.cfg.Limits.RecordStatement(upstream, id, s.Limit)
	if s.Brittle.Is && s.Rejected {
		s.Pause = max(s.Pause, brittlePause)
	}
	if !s.Leaving && s.Pause <= 0 && s.Problem == "" && !s.Brittle.Is && !r.AnyBrittle() {
		return
	}
	if r.recordOwn(upstream, id, s) {
		r.cfg.OnLeaving([]ident.Instance{upstream})
	}
}

// recordOwn records a statement without its limit, and reports whether it is the first that the
// upstream leaves.
func (r *Registry) recordOwn(upstream ident.Instance, id ident.Request, s Statement) (leaves bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if s.Problem != "" {
		r.logUnreadable(upstream, id, s, now)
	}
	r.recordBrittle(upstream, id, s, now)
	if s.Pause > 0 {
		r.recordPause(upstream, id, min(s.Pause, r.cfg.MaxPause), now)
	}
	if !s.Leaving || !r.recordLeaving(upstream, now, now) {
		return false
	}
	r.counters.Leaving++
	r.cfg.Log.Info("upstream announced that it leaves", "upstream", upstream, "id", id)
	return true
}

// recordOf returns the record of an upstream, and adds one if there is none. r.mu must be held.
func (r *Registry) recordOf(upstream ident.Instance, now time.Time) *record {
	rec := r.records[upstream]
	if rec == nil {
		rec = &record{listedAt: now}
		r.records[upstream] = rec
	}
	return rec
}

// recordLeaving records that an answer announced at the given time that its upstream leaves, and
// reports whether that is new. r.mu must be held.
func (r *Registry) recordLeaving(upstream ident.Instance, at, now time.Time) bool {
	rec := r.recordOf(upstream, now)
	if !rec.leavingAt.IsZero() {
		return false
	}
	rec.leavingAt, rec.learnedAt = at, now
	return true
}

// Leaving reports whether an upstream announced that it leaves. Nothing takes that back: an answer
// without the statement may be older than one with it.
func (r *Registry) Leaving(upstream ident.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[upstream]
	return rec != nil && rec.leaves()
}

// leaves reports whether the upstream announced that it leaves.
func (rec *record) leaves() bool { return !rec.leavingAt.IsZero() }

// Accepts reports whether an upstream takes requests from this gateway: it does not leave, and has
// asked for no pause that is not over.
func (r *Registry) Accepts(upstream ident.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[upstream]
	return rec == nil || !rec.leaves() && !rec.paused(r.cfg.Now())
}

// logUnreadable counts an unreadable statement and logs it, unless one of any upstream was logged
// within logInterval. r.mu must be held.
func (r *Registry) logUnreadable(upstream ident.Instance, id ident.Request, s Statement, now time.Time) {
	r.counters.Unreadable++
	if _, ok := r.unreadableLines.Pass(now, logInterval); !ok {
		return
	}
	r.cfg.Log.Warn("cannot read upstream's announcement", "upstream", upstream, "id", id, "problem", s.Problem,
		"unreadable_total", r.counters.Unreadable)
}

// Counters returns the totals since the start and the present numbers.
func (r *Registry) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, now := r.counters, r.cfg.Now()
	for _, rec := range r.records {
		if rec.leaves() {
			out.LeavingNow++
		}
		if rec.paused(now) {
			out.PausedNow++
		}
	}
	return out
}

// UpdateListed updates which upstreams exist and forgets the statements of those that are gone.
// each must call its argument for every upstream that exists.
func (r *Registry) UpdateListed(each func(func(ident.Instance))) {
	r.cfg.Limits.UpdateListed(each)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for upstream, at := range r.forgottenAt {
		if now.Sub(at) > forgottenRetention {
			delete(r.forgottenAt, upstream)
		}
	}
	for upstream, rec := range r.records {
		if r.cfg.Listed(upstream) {
			rec.listedAt, rec.reportedOnly = now, false
		}
		if rec.pause != nil && now.Sub(rec.pause.Until) > pauseRetention {
			r.endPause(rec)
		}
		if !rec.brittle(now) {
			r.endBrittle(rec)
		}
		if now.Sub(rec.listedAt) > upstreamlimit.UnlistedRetention || !rec.leaves() && rec.pause == nil && rec.brittleUntil.IsZero() {
			r.remove(upstream, rec)
		}
	}
}

// remove forgets what an upstream announced. r.mu must be held.
func (r *Registry) remove(upstream ident.Instance, rec *record) {
	if rec.pause != nil {
		r.endPause(rec)
	}
	r.endBrittle(rec)
	delete(r.records, upstream)
}

// Forget forgets what an upstream announced whose entry is gone and named no incarnation: the next
// process under its ID cannot be told from it.
func (r *Registry) Forget(upstream ident.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[upstream]; rec != nil {
		r.remove(upstream, rec)
	}
	r.forgottenAt[upstream] = r.cfg.Now()
}
