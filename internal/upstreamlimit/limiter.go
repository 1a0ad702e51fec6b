package upstreamlimit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
)

const (
	// logInterval is the shortest time between two log lines on an upstream's changes, and between
	// two on unreadable limits. An upstream may announce another rate in each answer.
	logInterval = time.Second
	// maxLimits bounds the number of upstreams whose limits are known.
	maxLimits = 5000
	// UnlistedRetention is how long the limit of an unlisted upstream is retained. Other gateways
	// may report the limit of an upstream that has just started before it is listed here.
	UnlistedRetention = 15 * time.Second
	// liftedRetention is how long it is retained that a limit was lifted. It is longer than an
	// older report of the limit can be in flight.
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

// Limiter holds the rate limits that upstreams announced, and decides which requests this gateway
// sends so that all gateways together keep to them. It is safe for concurrent use.
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
	// limitedSet is computed on demand. Its Hash is 0 until then.
	limitedSet LimitedSet
	// shareOf divides a rate between the gateways.
	shareOf  shareFunc
	counters Counters
	// unreadableLines bounds the log lines on unreadable limits of all upstreams.
	unreadableLines logthrottle.Throttle
}

// Fleet counts the gateways.
type Fleet struct {
	// Heard is the number of gateways whose reports arrive, Known that of the gateways that may
	// send to upstreams. Both include this one.
	Heard, Known int
}

// limit is what is known about one upstream's limit. limited is not set if the limit was lifted.
type limit struct {
	// upstream is empty while only the key is known.
	upstream ident.Instance
	// reportedOnly: this gateway learned of the limit from another gateway's report. Until the
	// upstream is listed here, nothing else says that it exists.
	reportedOnly bool
	limited      bool
	// rate, in requests per second, is 0 if limited is not set.
	rate float64
	// announcedAt is when an answer to any gateway last announced the rate, or last none.
	announcedAt time.Time
	// changedAt is when this gateway last learned of a change, and limitedSince when it learned that
	// there is a limit.
	changedAt, limitedSince time.Time
	// listedAt is when the upstream was last listed.
	listedAt time.Time
	traffic
	// answers is the number of answers received here since the limit has been known.
	answers     int
	changeLines logthrottle.Throttle
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

// RecordStatement records what an upstream's answer to a request says about its limit.
func (lim *Limiter) RecordStatement(upstream ident.Instance, id ident.Request, s Statement) {
	if s.Kind == NotStated || s.Kind == Unlimited && !lim.anyLimited.Load() {
		return
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.cfg.Now()
	key := lim.cfg.Key(upstream)
	l := lim.limits[key]
	if s.Problem != "" {
		lim.logUnreadable(upstream, id, s, l, now)
	}
	if s.Kind == Unreadable || s.Kind == Unlimited && l == nil {
		return
	}
	if l == nil {
		l = lim.add(key)
	}
	l.upstream = upstream
	l.answers++
	if lim.setLimit(l, s.Kind == Limited, s.Rate, now, now) {
		lim.counters.Changes++
		lim.logChange(l, id, now)
	}
}

// add adds an upstream about which nothing is known.
func (lim *Limiter) add(key uint32) *limit {
	l := &limit{listedAt: lim.cfg.Now()}
	lim.limits[key] = l
	return l
}

// setLimit records what the upstream announced at the given time and reports whether it is a change.
func (lim *Limiter) setLimit(l *limit, limited bool, rate float64, at, now time.Time) bool {
	l.announcedAt = at
	if !limited {
		rate = 0
	}
	if l.limited == limited && l.rate == rate {
		return false
	}
	switch {
	case limited && !l.limited:
		l.limitedSince = now
		l.traffic = traffic{decayedAt: now, credit: lim.rng.Float64()}
	case limited:
		// Scale the sent count so that it means the same utilization of the new rate.
		l.sent *= max(rate, minRate) / l.allowedRate()
	}
	limitedChanged := l.limited != limited
	lim.limitedSet = LimitedSet{}
	l.limited, l.rate, l.changedAt = limited, rate, now
	if limitedChanged {
		lim.updateLimited()
	}
	return true
}

// updateLimited updates what depends on the set of limited upstreams.
func (lim *Limiter) updateLimited() {
	lim.limitedSet = LimitedSet{}
	lim.version.Add(1)
	anyLimited := false
	for _, l := range lim.limits {
		anyLimited = anyLimited || l.limited
	}
	lim.anyLimited.Store(anyLimited)
}

// inForce returns an upstream's limit, or nil if it has none.
func (lim *Limiter) inForce(upstream ident.Instance) *limit {
	if l := lim.limits[lim.cfg.Key(upstream)]; l != nil && l.limited {
		return l
	}
	return nil
}

// logChange logs a change of a limit, unless one was logged within logInterval.
func (lim *Limiter) logChange(l *limit, id ident.Request, now time.Time) {
	unlogged, ok := l.changeLines.Pass(now, logInterval)
	if !ok {
		return
	}
	lim.cfg.Log.Info("upstream's limit changed", "upstream", l.upstream, "id", id, "limited", l.limited, "per_second", l.rate,
		"changes_unlogged", unlogged, "heard", lim.fleet.Heard, "known", lim.fleet.Known)
}

// logUnreadable counts an unreadable limit and logs it, unless one of any upstream was logged
// within logInterval.
func (lim *Limiter) logUnreadable(upstream ident.Instance, id ident.Request, s Statement, l *limit, now time.Time) {
	lim.counters.Unreadable++
	if _, ok := lim.unreadableLines.Pass(now, logInterval); !ok {
		return
	}
	lim.cfg.Log.Warn("cannot read upstream's limit", "upstream", upstream, "id", id, "problem", s.Problem,
		"stays_limited", l != nil && l.limited, "unreadable_total", lim.counters.Unreadable)
}

// Counters returns the totals since the start.
func (lim *Limiter) Counters() Counters {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return lim.counters
}

// AnyLimited reports whether any upstream has a limit.
func (lim *Limiter) AnyLimited() bool { return lim.anyLimited.Load() }

// Version returns a number that changes with the set of limited upstreams.
func (lim *Limiter) Version() uint64 { return lim.version.Load() }

// Limited reports whether an upstream has a limit.
func (lim *Limiter) Limited(upstream ident.Instance) bool {
	_, limited := lim.Rate(upstream)
	return limited
}

// Rate returns the rate that all gateways together may send to an upstream, at least minRate. It
// returns false if there is no limit.
func (lim *Limiter) Rate(upstream ident.Instance) (perSecond float64, limited bool) {
	if !lim.anyLimited.Load() {
		return 0, false
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	l := lim.inForce(upstream)
	if l == nil {
		return 0, false
	}
	return l.allowedRate(), true
}

// UpdateListed updates which upstreams exist and drops the limits of those that are gone. each must
// call its argument for every upstream that exists.
func (lim *Limiter) UpdateListed(each func(func(ident.Instance))) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if len(lim.limits) == 0 {
		return
	}
	now := lim.cfg.Now()
	each(func(upstream ident.Instance) {
		if l := lim.limits[lim.cfg.Key(upstream)]; l != nil {
			l.upstream, l.listedAt = upstream, now
			if l.limited && !l.changeLines.Used() {
				// Another gateway reported the limit before the upstream was listed here.
				lim.logChange(l, "", now)
			}
		}
	})
	changed := false
	for key, l := range lim.limits {
		gone := now.Sub(l.listedAt) > UnlistedRetention
		if gone || !l.limited && now.Sub(l.announcedAt) > liftedRetention {
			delete(lim.limits, key)
			changed = changed || l.limited
		}
	}
	if changed {
		lim.updateLimited()
	}
}
