package retry

import (
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// FleetBudgetConfig limits the extra attempts that arrive at a service from all gateways together,
// in any window.
type FleetBudgetConfig struct {
	// Ratio is the number of extra attempts that each request in the window allows. Slack is a
	// number of extra attempts allowed on top of that.
	Ratio, Slack float64
	Window       time.Duration
}

const (
	// usedBudgetShare is the fraction of the budget that the known gateways use. The rest is for
	// gateways that are not known yet, and for attempts that a network partition delays into another
	// window.
	usedBudgetShare = 0.6
	// minGateways is the number of gateways assumed while fewer are known, so that a gateway that
	// has just started doesn't take the whole slack.
	minGateways = 4
)

// FleetBudget is a retry budget for many services that all gateways together stay within, without
// communication: each gateway uses the ratio of its own requests and an even share of the slack. It
// is safe for concurrent use.
type FleetBudget struct {
	cfg FleetBudgetConfig
	// gateways returns how many gateways there may be, with this one.
	gateways func() int

	mu       sync.Mutex
	services map[ident.Service]*window
	counters Counters
}

// window counts first and extra attempts in time slices of a sliding window.
type window struct {
	firsts, extras [sliceCount]float64
	// slice is the number of the newest slice.
	slice int64
}

const sliceCount = 10

// NewFleetBudget returns a budget of which nothing is spent. gateways returns how many gateways there
// may be, with this one.
func NewFleetBudget(cfg FleetBudgetConfig, gateways func() int) *FleetBudget {
	return &FleetBudget{cfg: cfg, gateways: gateways, services: make(map[ident.Service]*window)}
}

// RecordFirstAttempt records a request's first attempt.
func (b *FleetBudget) RecordFirstAttempt(service ident.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	w.firsts[w.slice%sliceCount]++
}

// Decision tells whether an extra attempt is allowed, and the values that decided it. The zero value stands
// for no decision.
type Decision struct {
	OK bool
	// Firsts and Extras are the first and the extra attempts of this process in the window before the decision.
	Firsts, Extras float64
	// Gateways is the number of gateways that share the slack.
	Gateways int
}

// String returns the decision as it is logged.
func (d *Decision) String() string {
	if d == nil {
		return "not asked"
	}
	return fmt.Sprintf("ok=%v firsts=%.0f extras=%.0f gateways=%d", d.OK, d.Firsts, d.Extras, d.Gateways)
}

// Spend takes one extra attempt from the service's budget, if one is left.
func (b *FleetBudget) Spend(service ident.Service, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	d := Decision{OK: b.allowsOne(w), Firsts: sum(w.firsts), Extras: sum(w.extras), Gateways: max(b.gateways(), minGateways)}
	if !d.OK {
		b.counters.Refused++
		return d
	}
	b.counters.Allowed++
	w.extras[w.slice%sliceCount]++
	return d
}

// Counters are totals since the start.
type Counters struct {
	// Allowed and Refused count the extra attempts that were asked for.
	Allowed, Refused int64
}

// Counters returns the totals of all services.
func (b *FleetBudget) Counters() Counters {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters
}

// Left reports whether an extra attempt is left in the service's budget.
func (b *FleetBudget) Left(service ident.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowsOne(b.currentWindow(service, now))
}

// allowsOne reports whether a window allows one more extra attempt. b.mu must be held.
func (b *FleetBudget) allowsOne(w *window) bool {
	gateways := max(b.gateways(), minGateways)
	allowed := usedBudgetShare * (b.cfg.Ratio*sum(w.firsts) + b.cfg.Slack/float64(gateways))
	return sum(w.extras)+1 <= allowed
}

func sum(counts [sliceCount]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// currentWindow returns a service's window, advanced to now.
func (b *FleetBudget) currentWindow(service ident.Service, now time.Time) *window {
	slice := now.UnixNano() / int64(b.cfg.Window/sliceCount)
	w := b.services[service]
	if w == nil {
		w = &window{slice: slice}
		b.services[service] = w
	}
	for w.slice < slice {
		w.slice++
		w.firsts[w.slice%sliceCount], w.extras[w.slice%sliceCount] = 0, 0
		if slice-w.slice > sliceCount {
			w.slice = slice - sliceCount
		}
	}
	return w
}
