package upstreamlimit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// logInterval is the shortest time between two log lines on an upstream's changes, and between
	// two on unreadable limits. An upstream may state another rate in each answer.
	logInterval = time.Second
	// maxLimits bounds the number of upstreams whose limits are known.
	maxLimits = 5000
	// unlistedRetention is how long the limit of an unlisted upstream is kept. Other gateways may
	// announce the limit of an upstream that has just started before it is listed here.
	unlistedRetention = 15 * time.Second
	// liftedRetention is how long a lifted limit is remembered. It is longer than an older
	// announcement of the limit can be in flight.
	liftedRetention = 30 * time.Second
)

// Config configures a limiter. All fields are required.
type Config struct {
	Now boottime.Clock
	Log hclog.Logger
	// Key returns the key that identifies an upstream between gateways.
	Key func(ident.Instance) uint32
	// Round is the interval between two messages to the same gateway.
	Round time.Duration
	// Seed seeds the limiter's random numbers. It should differ between gateways.
	Seed uint64
}

// Limiter holds the limits that upstreams stated, and decides which requests this gateway sends so
// that all gateways together keep to them. It is safe for concurrent use.
type Limiter struct {
	cfg Config
	// version increases when the set of limited upstreams changes. anyLimited is set if there are
	// any.
	version    atomic.Uint64
	anyLimited atomic.Bool

	mu sync.Mutex
	// limits are by the upstreams' keys.
	limits map[uint32]*limit
	// fleet is as of the last Refresh.
	fleet Fleet
	rng   *rand.Rand
	// limitedSet is computed on demand. Its Set is 0 until then.
	limitedSet LimitedSet
	// shareOf divides a rate between the gateways.
	shareOf  shareFunc
	counters Counters
	// unreadableLoggedAt is when an unreadable limit was last logged.
	unreadableLoggedAt time.Time
}

// Fleet counts the gateways.
type Fleet struct {
	// Heard is the number of gateways whose reports arrive, Known that of the gateways that may
	// send to upstreams. Both include this one.
	Heard, Known int
}

// limit is what is known about one upstream's limit, or that it has none any more.
type limit struct {
	// upstream is empty while only the key is known.
	upstream ident.Instance
	limited  bool
	// rate, in requests per second, is 0 if limited is not set.
	rate float64
	// statedAt is when an answer to any gateway last stated this.
	statedAt time.Time
	// changedAt is when this gateway last heard of a change, and limitedSince when it heard that
	// there is a limit.
	changedAt, limitedSince time.Time
	// listedAt is when the upstream was last listed.
	listedAt time.Time
	traffic
	// answers is the number of answers received here since the limit has been known.
	answers int
	// loggedAt is when a change was last logged, and unloggedChanges the number of changes since.
	loggedAt        time.Time
	unloggedChanges int
}

// Counters are totals since the start.
type Counters struct {
	// Changes is the number of limit changes in answers received here, Unreadable that of answers
	// with an unreadable limit.
	Changes, Unreadable int
	// Sent is the number of requests sent to limited upstreams. PassedOver is the number that a
	// limited upstream was the best choice for but wasn't sent: they went to another upstream or to
	// none.
	Sent, PassedOver int
}

// NewLimiter returns a limiter that knows no limits.
func NewLimiter(cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, limits: make(map[uint32]*limit), fleet: Fleet{Heard: 1, Known: 1},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0)), shareOf: demandShare,
	}
}

// RecordStatement records what an upstream's answer to a request states.
func (k *Limiter) RecordStatement(upstream ident.Instance, id ident.Request, s Statement) {
	if s.Kind == Unlimited && !k.anyLimited.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	key := k.cfg.Key(upstream)
	l := k.limits[key]
	if s.Problem != "" {
		k.logUnreadable(upstream, id, s, l, now)
	}
	if s.Kind == Unreadable || s.Kind == Unlimited && l == nil {
		return
	}
	if l == nil {
		l = k.add(key)
	}
	l.upstream = upstream
	l.answers++
	if k.setLimit(l, s.Kind == Limited, s.Rate, now, now) {
		k.counters.Changes++
		k.logChange(l, id, now)
	}
}

// add adds an upstream about which nothing is known.
func (k *Limiter) add(key uint32) *limit {
	l := &limit{listedAt: k.cfg.Now()}
	k.limits[key] = l
	return l
}

// setLimit records what was stated at the given time and reports whether it is a change.
func (k *Limiter) setLimit(l *limit, limited bool, rate float64, at, now time.Time) bool {
	l.statedAt = at
	if !limited {
		rate = 0
	}
	if l.limited == limited && l.rate == rate {
		return false
	}
	switch {
	case limited && !l.limited:
		l.limitedSince = now
		l.traffic = traffic{decayedAt: now, credit: k.rng.Float64()}
	case limited:
		// Scale the sent count so that it means the same utilization of the new rate.
		l.sent *= max(rate, minRate) / l.allowedRate()
	}
	limitedChanged := l.limited != limited
	k.limitedSet = LimitedSet{}
	l.limited, l.rate, l.changedAt = limited, rate, now
	if limitedChanged {
		k.updateLimited()
	}
	return true
}

// updateLimited updates what depends on the set of limited upstreams.
func (k *Limiter) updateLimited() {
	k.limitedSet = LimitedSet{}
	k.version.Add(1)
	anyLimited := false
	for _, l := range k.limits {
		anyLimited = anyLimited || l.limited
	}
	k.anyLimited.Store(anyLimited)
}

// inForce returns an upstream's limit, or nil if it has none.
func (k *Limiter) inForce(upstream ident.Instance) *limit {
	if l := k.limits[k.cfg.Key(upstream)]; l != nil && l.limited {
		return l
	}
	return nil
}

// logChange logs a change of a limit, unless one was logged within logInterval.
func (k *Limiter) logChange(l *limit, id ident.Request, now time.Time) {
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < logInterval {
		l.unloggedChanges++
		return
	}
	k.cfg.Log.Info("upstream's limit changed", "upstream", l.upstream, "id", id, "limited", l.limited, "per_second", l.rate,
		"changes_unlogged", l.unloggedChanges, "heard", k.fleet.Heard, "known", k.fleet.Known)
	l.loggedAt, l.unloggedChanges = now, 0
}

// logUnreadable counts an unreadable limit and logs it, unless one of any upstream was logged
// within logInterval.
func (k *Limiter) logUnreadable(upstream ident.Instance, id ident.Request, s Statement, l *limit, now time.Time) {
	k.counters.Unreadable++
	if k.counters.Unreadable > 1 && now.Sub(k.unreadableLoggedAt) < logInterval {
		return
	}
	k.unreadableLoggedAt = now
	k.cfg.Log.Warn("upstream's limit not readable", "upstream", upstream, "id", id, "problem", s.Problem,
		"stays_limited", l != nil && l.limited, "unreadable_total", k.counters.Unreadable)
}

// Counters returns the totals since the start.
func (k *Limiter) Counters() Counters {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counters
}

// AnyLimited reports whether any upstream has a limit.
func (k *Limiter) AnyLimited() bool { return k.anyLimited.Load() }

// Version returns a number that changes with the set of limited upstreams.
func (k *Limiter) Version() uint64 { return k.version.Load() }

// Limited reports whether an upstream has a limit.
func (k *Limiter) Limited(upstream ident.Instance) bool {
	_, limited := k.Rate(upstream)
	return limited
}

// Rate returns the rate that all gateways together may send to an upstream, at least minRate. It
// returns false if there is no limit.
func (k *Limiter) Rate(upstream ident.Instance) (perSecond float64, limited bool) {
	if !k.anyLimited.Load() {
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.inForce(upstream)
	if l == nil {
		return 0, false
	}
	return l.allowedRate(), true
}

// UpdateListed updates which upstreams exist and drops the limits of those that are gone. each calls its
// argument for every upstream.
func (k *Limiter) UpdateListed(each func(func(ident.Instance))) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.limits) == 0 {
		return
	}
	now := k.cfg.Now()
	each(func(upstream ident.Instance) {
		if l := k.limits[k.cfg.Key(upstream)]; l != nil {
			l.upstream, l.listedAt = upstream, now
			if l.limited && l.loggedAt.IsZero() {
				// The limit was announced before the upstream was listed.
				k.logChange(l, "", now)
			}
		}
	})
	changed := false
	for key, l := range k.limits {
		gone := now.Sub(l.listedAt) > unlistedRetention
		if gone || !l.limited && now.Sub(l.statedAt) > liftedRetention {
			delete(k.limits, key)
			changed = changed || l.limited
		}
	}
	if changed {
		k.updateLimited()
	}
}
