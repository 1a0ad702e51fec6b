package upstreamlimit

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// lineEvery bounds the log lines of an upstream that names another rate in each answer.
const lineEvery = time.Second

// Config is what a Keeper works with. All fields are required.
type Config struct {
	Now boottime.Clock
	Log hclog.Logger
}

// Keeper holds the limits that upstreams named. It is safe for concurrent use.
type Keeper struct {
	cfg Config

	mu       sync.Mutex
	limits   map[ident.Instance]*limit
	counters Counters
	// unreadableAt is when a line last told of a limit that could not be read.
	unreadableAt time.Time
}

// limit is what is known of one upstream's limit.
type limit struct {
	limited bool
	rate    float64
	// saidAt is when an answer last said so.
	saidAt time.Time
	// answers counts those that came since the limit was heard of.
	answers int
	// loggedAt is when a line told of it last, and unlogged how many changes came since.
	loggedAt time.Time
	unlogged int
}

// Counters are totals since the start.
type Counters struct {
	// Changes of a limit that answers named here, and answers whose limit was unreadable.
	Changes, Unreadable int
}

// NewKeeper returns a keeper that knows no limit.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, limits: make(map[ident.Instance]*limit)}
}

// Hear takes in what an answer of an upstream to a request says.
func (k *Keeper) Hear(upstream ident.Instance, id ident.Request, s Statement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	l := k.limits[upstream]
	if s.Problem != "" || s.Kind == Unreadable {
		k.unreadable(upstream, id, s, l, now)
	}
	switch {
	case s.Kind == Unreadable, s.Kind == Unlimited && l == nil:
		return
	case l == nil:
		l = &limit{}
		k.limits[upstream] = l
	}
	l.saidAt = now
	l.answers++
	if l.limited == (s.Kind == Limited) && l.rate == s.Rate {
		return
	}
	l.limited, l.rate = s.Kind == Limited, s.Rate
	k.counters.Changes++
	k.tell(upstream, id, l, now)
}

// tell logs a change, once in a time.
func (k *Keeper) tell(upstream ident.Instance, id ident.Request, l *limit, now time.Time) {
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < lineEvery {
		l.unlogged++
		return
	}
	k.cfg.Log.Info("upstream's limit changed", "upstream", upstream, "id", id, "limited", l.limited, "per_second", l.rate, "changes_unlogged", l.unlogged)
	l.loggedAt, l.unlogged = now, 0
}

// unreadable logs what could not be read, once in a time for all upstreams.
func (k *Keeper) unreadable(upstream ident.Instance, id ident.Request, s Statement, l *limit, now time.Time) {
	k.counters.Unreadable++
	if k.counters.Unreadable > 1 && now.Sub(k.unreadableAt) < lineEvery {
		return
	}
	k.unreadableAt = now
	k.cfg.Log.Warn("upstream's limit not readable", "upstream", upstream, "id", id, "problem", s.Problem,
		"stays_limited", l != nil && l.limited, "unreadable_total", k.counters.Unreadable)
}

// Counters returns the totals.
func (k *Keeper) Counters() Counters {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counters
}
