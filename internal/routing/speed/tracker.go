package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
)

// Config holds what a Tracker needs.
type Config struct {
	Log hclog.Logger
	// Key returns the hash that identifies an upstream in messages.
	Key func(ident.Instance) uint32
	// Interval is the time between two reports.
	Interval time.Duration
}

// Tracker knows the factors of all upstreams from this gateway's samples and the other gateways'
// sums. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	// factors holds the upstreams whose factor is not 1.
	factors atomic.Pointer[map[ident.Instance]float64]

	// mu guards all fields below.
	mu sync.Mutex
	// own are the sums over this gateway's samples, and sent those that it reported last.
	own, sent map[uint32]timedSums
	// others are the sums of the other gateways. If wholeFleet is set, they contain this gateway's
	// own, as it reported them.
	others     *Table
	wholeFleet bool
	rotation   Rotation
	spreads    map[ident.Service]*spread
	baselines  map[baselineKey]*baseline
	// logged are the factors that were logged last.
	logged   map[ident.Instance]float64
	throttle logthrottle.Throttle
}

// New returns a Tracker that knows nothing: all factors are 1.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg: cfg, own: make(map[uint32]timedSums), sent: make(map[uint32]timedSums), others: NewTable(),
		spreads: make(map[ident.Service]*spread), baselines: make(map[baselineKey]*baseline), logged: make(map[ident.Instance]float64),
	}
	t.factors.Store(&map[ident.Instance]float64{})
	return t
}

// Factor returns by how much an upstream is slower than its service's model, as of the last Refresh;
// 1 if it is like the model or unknown.
func (t *Tracker) Factor(id ident.Instance) float64 {
	return factorOf(*t.factors.Load(), id)
}

// Factors returns the upstreams whose factor is not 1. The caller must not change the map.
func (t *Tracker) Factors() map[ident.Instance]float64 { return *t.factors.Load() }

// Record adds a sample of this gateway.
func (t *Tracker) Record(s Sample, now time.Time) {
	if s.Observed <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	upstream := t.cfg.Key(s.Upstream)
	spread := t.spreadOf(s.Service)
	sums := t.sums(upstream, now)
	known := sums.Estimate(spread.deviation())
	log, ok := t.logRatio(&s, known)
	if !ok {
		return
	}
	// The whole time has the same relative error whatever it consists of, so that the ratio of a
	// small part of it tells little.
	share := s.variableShare()
	distance := share * (log - known.Log)
	weight := share * share * robustWeight(distance, known, spread.deviation())
	if sums.Weight >= deviationMinWeight {
		spread.learn(distance)
	}
	t.own[upstream] = timedSums{t.own[upstream].asOf(now).Plus(Sums{weight, weight * log}), now}
}

// logRatio returns the logarithm of the observed by the predicted time. It returns false if the sample
// tells nothing of the upstream's speed, or while too little is known of a plain service.
func (t *Tracker) logRatio(s *Sample, known Estimate) (float64, bool) {
	if s.Predicted > 0 {
		if s.variableShare() < minVariableShare {
			return 0, false
		}
		return s.logRatio(), true
	}
	log := math.Log(s.Observed.Seconds())
	key := baselineKeyOf(s)
	b := t.baselines[key]
	if b == nil {
		b = &baseline{}
		t.baselines[key] = b
	}
	mean, samples := b.mean, b.samples
	b.learn(log - known.Log)
	return log - mean, samples >= baselineMinSamples
}

func (t *Tracker) spreadOf(service ident.Service) *spread {
	s := t.spreads[service]
	if s == nil {
		s = &spread{}
		t.spreads[service] = s
	}
	return s
}

// sums returns the sums over all gateways' samples of an upstream.
func (t *Tracker) sums(upstream uint32, now time.Time) Sums {
	others := t.others.Total(upstream, now)
	if t.wholeFleet {
		others = others.Minus(t.sent[upstream].asOf(now))
	}
	return others.Plus(t.own[upstream].asOf(now))
}

// Heard is what a gateway, or a sum of all of them, told of upstreams' speeds.
type Heard struct {
	// Source identifies who told it.
	Source string
	// WholeFleet is set if the sums are of all gateways, this one included.
	WholeFleet bool
	Entries    []Entry
	AsOf       time.Time
}

// Apply applies what was heard of the other gateways. Sums of single gateways and those of the whole
// fleet are not added: a change from the ones to the others starts anew.
func (t *Tracker) Apply(heard []Heard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range heard {
		if h.WholeFleet != t.wholeFleet {
			t.wholeFleet, t.others = h.WholeFleet, NewTable()
		}
		t.others.Apply(h.Source, h.Entries, h.AsOf)
	}
}

// Refresh works out the factors of all upstreams. It forgets upstreams that are gone.
func (t *Tracker) Refresh(view *directory.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others.Expire(now)
	before, factors := *t.factors.Load(), make(map[ident.Instance]float64)
	listed := make(map[uint32]bool, view.Count())
	view.Each(func(u *directory.Upstream) {
		upstream := t.cfg.Key(u.ID)
		listed[upstream] = true
		estimate := t.sums(upstream, now).Estimate(t.spreads[u.Service].deviation())
		if factor := estimate.Factor(factorOf(before, u.ID) != 1); factor != 1 {
			factors[u.ID] = factor
		}
	})
	gone := func(upstream uint32, _ timedSums) bool { return !listed[upstream] }
	maps.DeleteFunc(t.own, gone)
	maps.DeleteFunc(t.sent, gone)
	t.factors.Store(&factors)
	t.logChanges(view, factors, now)
}

const (
	// newestReported is how many of the upstreams with the newest samples a report to a collector
	// contains, which are those of some rounds, and olderReported how many of the others.
	newestReported, olderReported = 10, 4
	// newestDirect and olderDirect are the same for a report to each of a few gateways.
	newestDirect, olderDirect = 3, 2
	// forgetReportAfter is the age of the newest sample after which sums are not reported: a
	// receiver has them.
	forgetReportAfter = 2 * memory
)

// Report returns sums over this gateway's samples for the other gateways: those of the upstreams
// that were sampled last, and some others.
func (t *Tracker) Report(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	upstreams := slices.SortedFunc(maps.Keys(t.own), func(a, b uint32) int {
		return cmp.Or(t.own[b].at.Compare(t.own[a].at), cmp.Compare(a, b))
	})
	var entries []Entry
	for _, upstream := range upstreams {
		if now.Sub(t.own[upstream].at) < forgetReportAfter {
			entries = append(entries, Entry{upstream, t.own[upstream].asOf(now)})
		}
	}
	newest, others := newestDirect, olderDirect
	if t.wholeFleet {
		newest, others = newestReported, olderReported
	}
	newest = min(newest, len(entries))
	older := entries[newest:]
	sortEntries(older)
	older = t.rotation.Window(older, others, now.UnixNano()/int64(t.cfg.Interval))
	entries = append(slices.Clone(entries[:newest]), older...)
	for _, e := range entries {
		t.sent[e.Upstream] = timedSums{e.Sums, now}
	}
	return entries
}
