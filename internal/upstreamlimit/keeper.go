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
	// logInterval bounds the log lines of an upstream that names another rate in each answer.
	logInterval = time.Second
	// maxLimits bounds the upstreams whose limits are known.
	maxLimits = 5000
	// unlistedRetention is for how long the limit of an upstream is kept that is not listed: what
	// other gateways say of one that has just started may come before its entry.
	unlistedRetention = 15 * time.Second
	// liftedRetention is for how long it is remembered that a limit was lifted: longer than an
	// older word of it can be on its way.
	liftedRetention = 30 * time.Second
)

// Config is what a Keeper works with. All fields are required.
type Config struct {
	Now boottime.Clock
	Log hclog.Logger
	// Key stands for an upstream between gateways.
	Key func(ident.Instance) uint32
	// Round is the time between two messages to the same gateway.
	Round time.Duration
	// Seed of what is drawn; it should differ between gateways.
	Seed uint64
}

// Keeper holds the limits that upstreams named, and this gateway's part in keeping to them.
// It is safe for concurrent use.
type Keeper struct {
	cfg Config
	// version grows when the set of upstreams with a limit changes, and some is whether
	// there are any.
	version    atomic.Uint64
	anyLimited atomic.Bool

	mu     sync.Mutex
	limits map[uint32]*limit
	// fleet is the other gateways as of the last Refresh.
	fleet Fleet
	rng   *rand.Rand
	// order is worked out on demand; its Set is 0 until then.
	order Order
	// shareOf is how a rate is divided between gateways.
	shareOf  shareFunc
	counters Counters
	// unreadableLoggedAt is when a line last told of a limit that could not be read.
	unreadableLoggedAt time.Time
}

// Fleet counts gateways.
type Fleet struct {
	// Heard gateways are in touch, and Known ones may send to upstreams; both with this one.
	Heard, Known int
}

// limit is what is known of one upstream's limit.
type limit struct {
	// upstream is empty as long as only its key is known.
	upstream ident.Instance
	limited  bool
	rate     float64
	// statedAt is when an answer last said so, to any gateway.
	statedAt time.Time
	// changedAt is when this gateway last heard a change, and since when it knows that there
	// is a limit.
	changedAt, limitedSince time.Time
	// listedAt is when the upstream was last listed.
	listedAt time.Time
	traffic
	// answers counts those that came here since the limit was heard of.
	answers int
	// loggedAt is when a line told of it last, and unlogged how many changes came since.
	loggedAt        time.Time
	unloggedChanges int
}

// Counters are totals since the start.
type Counters struct {
	// Changes of a limit that answers named here, and answers whose limit was unreadable.
	Changes, Unreadable int
	// Sent requests were within a limit, and PassedOver ones went elsewhere, or nowhere.
	Sent, PassedOver int
}

// NewKeeper returns a keeper that knows no limit.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, limits: make(map[uint32]*limit), fleet: Fleet{Heard: 1, Known: 1},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0)), shareOf: demandShare,
	}
}

// Hear takes in what an answer of an upstream to a request says.
func (k *Keeper) Hear(upstream ident.Instance, id ident.Request, s Statement) {
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

// add adds an upstream of which nothing is known.
func (k *Keeper) add(key uint32) *limit {
	l := &limit{listedAt: k.cfg.Now()}
	k.limits[key] = l
	return l
}

// setLimit takes in what was said of a limit at an instant, and reports whether that is new.
func (k *Keeper) setLimit(l *limit, limited bool, rate float64, at, now time.Time) bool {
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
		// What was sent within one rate says of another how far it was used.
		l.sent *= max(rate, minRate) / l.allowedRate()
	}
	changed := l.limited != limited
	k.order = Order{}
	l.limited, l.rate, l.changedAt = limited, rate, now
	if changed {
		k.updateLimited()
	}
	return true
}

// updateLimited takes in that other upstreams have limits than before.
func (k *Keeper) updateLimited() {
	k.order = Order{}
	k.version.Add(1)
	some := false
	for _, l := range k.limits {
		some = some || l.limited
	}
	k.anyLimited.Store(some)
}

// inForce returns an upstream's limit; nil if it has none.
func (k *Keeper) inForce(upstream ident.Instance) *limit {
	if l := k.limits[k.cfg.Key(upstream)]; l != nil && l.limited {
		return l
	}
	return nil
}

// logChange logs a change, once in a time.
func (k *Keeper) logChange(l *limit, id ident.Request, now time.Time) {
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < logInterval {
		l.unloggedChanges++
		return
	}
	k.cfg.Log.Info("upstream's limit changed", "upstream", l.upstream, "id", id, "limited", l.limited, "per_second", l.rate,
		"changes_unlogged", l.unloggedChanges, "heard", k.fleet.Heard, "known", k.fleet.Known)
	l.loggedAt, l.unloggedChanges = now, 0
}

// logUnreadable logs what could not be read, once in a time for all upstreams.
func (k *Keeper) logUnreadable(upstream ident.Instance, id ident.Request, s Statement, l *limit, now time.Time) {
	k.counters.Unreadable++
	if k.counters.Unreadable > 1 && now.Sub(k.unreadableLoggedAt) < logInterval {
		return
	}
	k.unreadableLoggedAt = now
	k.cfg.Log.Warn("upstream's limit not readable", "upstream", upstream, "id", id, "problem", s.Problem,
		"stays_limited", l != nil && l.limited, "unreadable_total", k.counters.Unreadable)
}

// Counters returns the totals.
func (k *Keeper) Counters() Counters {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counters
}

// Some reports whether any upstream has a limit.
func (k *Keeper) Some() bool { return k.anyLimited.Load() }

// Version changes with the set of upstreams that have a limit.
func (k *Keeper) Version() uint64 { return k.version.Load() }

// Limited reports whether an upstream has a limit.
func (k *Keeper) Limited(upstream ident.Instance) bool {
	_, limited := k.Rate(upstream)
	return limited
}

// Rate returns the rate that all gateways together may send to an upstream.
func (k *Keeper) Rate(upstream ident.Instance) (perSecond float64, limited bool) {
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

// Listed takes in which upstreams there are, and forgets the limits of those that are gone.
func (k *Keeper) Listed(each func(func(ident.Instance))) {
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
				// It was heard of before its entry.
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
