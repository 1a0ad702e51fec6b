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
	// Ratio is the number of extra attempts that each request allows in its window and the next. Slack is a
	// number of extra attempts allowed on top of that.
	Ratio, Slack float64
	Window       time.Duration
}

const (
	// sliceCount is the number of slices into which a window is divided.
	sliceCount = 10
	// lateSlices is how many slices later than it was sent an attempt may arrive without exceeding the
	// budget.
	lateSlices = 2
	// earnedShare is the fraction of the ratio that a request earns. The attempts of a window may have been
	// earned in that window and in the one before, while only the requests of one of them count.
	earnedShare = 0.5
)

// Slack lends the part of the budget that all gateways share.
type Slack interface {
	// Take takes one extra attempt out of a service's slack. It may wait for other gateways.
	Take(service ident.Service, now time.Time) SlackDecision
}

// SlackDecision tells whether the slack gave an extra attempt.
type SlackDecision struct {
	OK bool
	// RetryAfter is when the slack will probably have one; 0 if OK.
	RetryAfter time.Duration
	// Keeper is the gateway that was asked; "" if it is this one. Level is how many extra attempts its pool held.
	Keeper ident.Instance
	Level  float64
	// Heard counts the gateways that are heard and Known those that there may be, both with this one.
	Heard, Known int
}

// SlackWindow is the time in which attempts are sent that arrive in one window.
func (c FleetBudgetConfig) SlackWindow() time.Duration {
	return c.Window * (sliceCount + lateSlices) / sliceCount
}

// FleetBudget is a retry budget for many services that all gateways together stay within. Extra attempts are
// first taken from those that this gateway's own requests have earned, and then from the slack that
// all gateways share. Nothing is there at the start of a process: what an earlier process of the
// gateway spent is not known. It is safe for concurrent use.
type FleetBudget struct {
	cfg   FleetBudgetConfig
	slack Slack

	mu       sync.Mutex
	services map[ident.Service]*earnings
	counters Counters
}

// earnings are the extra attempts of a service that requests have earned.
type earnings struct {
	// slices holds integer units (unitsPerAttempt) by the time slice in which they were earned, until they
	// expire.
	slices [sliceCount - lateSlices]int64
	// newest is the number of the newest slice.
	newest int64
	// slackEmptyUntil is when the slack will have another extra attempt.
	slackEmptyUntil time.Time
}

// NewFleetBudget returns a budget that holds nothing.
func NewFleetBudget(cfg FleetBudgetConfig, slack Slack) *FleetBudget {
	return &FleetBudget{cfg: cfg, slack: slack, services: make(map[ident.Service]*earnings)}
}

// RecordFirstAttempt records a request's first attempt, which earns a part of an extra one.
func (b *FleetBudget) RecordFirstAttempt(service ident.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.earnings(service, now)
	e.slices[e.index(e.newest)] += int64(earnedShare * b.cfg.Ratio * unitsPerAttempt)
}

// Source tells which part of the budget decided.
type Source string

// The sources.
const (
	// FromEarned: requests of this gateway have earned the attempt.
	FromEarned Source = "earned"
	// FromSlack: the slack of all gateways.
	FromSlack Source = "slack"
	// FromRefusal: the slack was found empty a moment ago.
	FromRefusal Source = "slack, earlier refusal"
)

// Decision tells whether an extra attempt is allowed, and the values that decided it. A nil Decision stands
// for none.
type Decision struct {
	OK     bool
	Source Source
	// Earned is how many extra attempts this gateway's requests had earned.
	Earned float64
	// Slack is the decision on the slack; the zero value unless Source is FromSlack.
	Slack SlackDecision
}

// String returns the decision as it is logged.
func (d *Decision) String() string {
	if d == nil {
		return "not asked"
	}
	text := fmt.Sprintf("ok=%v from=%q earned=%.2f", d.OK, d.Source, d.Earned)
	if d.Source == FromSlack {
		text += fmt.Sprintf(" keeper=%q level=%.2f heard=%d known=%d", d.Slack.Keeper, d.Slack.Level, d.Slack.Heard, d.Slack.Known)
	}
	return text
}

// Spend takes one extra attempt from the service's budget, if one is left. It may wait for other gateways.
func (b *FleetBudget) Spend(service ident.Service, now time.Time) Decision {
	d, decided := b.spendEarned(service, now)
	if decided {
		return d
	}
	d.Slack = b.slack.Take(service, now)
	d.OK, d.Source = d.Slack.OK, FromSlack
	b.mu.Lock()
	defer b.mu.Unlock()
	if !d.OK {
		b.earnings(service, now).slackEmptyUntil = now.Add(d.Slack.RetryAfter)
	}
	b.counters.add(d)
	return d
}

// spendEarned decides without the slack if that is possible.
func (b *FleetBudget) spendEarned(service ident.Service, now time.Time) (d Decision, decided bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.earnings(service, now)
	d = Decision{Earned: float64(e.sum()) / unitsPerAttempt}
	switch {
	case e.spend():
		d.OK, d.Source = true, FromEarned
	case b.cfg.Slack <= 0 || now.Before(e.slackEmptyUntil):
		d.Source = FromRefusal
	default:
		return d, false
	}
	b.counters.add(d)
	return d, true
}

// Left reports, without waiting, whether an extra attempt is probably left in the service's budget.
func (b *FleetBudget) Left(service ident.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.earnings(service, now)
	return e.sum() >= unitsPerAttempt || b.cfg.Slack > 0 && !now.Before(e.slackEmptyUntil)
}

// Counters are totals since the start.
type Counters struct {
	// Earned and Slack count the extra attempts that were allowed, by their source, and Refused those that
	// were not.
	Earned, Slack, Refused int64
}

func (c *Counters) add(d Decision) {
	switch {
	case !d.OK:
		c.Refused++
	case d.Source == FromEarned:
		c.Earned++
	default:
		c.Slack++
	}
}

// Counters returns the totals of all services.
func (b *FleetBudget) Counters() Counters {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters
}

// earnings returns a service's earnings without those that have expired. b.mu must be held.
func (b *FleetBudget) earnings(service ident.Service, now time.Time) *earnings {
	slice := now.UnixNano() / int64(b.cfg.Window/sliceCount)
	e := b.services[service]
	if e == nil {
		e = &earnings{newest: slice}
		b.services[service] = e
	}
	e.advance(slice)
	return e
}

func (e *earnings) index(slice int64) int { return int(slice % int64(len(e.slices))) }

// advance drops what has expired when a slice begins. A clock that went back changes nothing.
func (e *earnings) advance(slice int64) {
	e.newest = max(e.newest, slice-int64(len(e.slices)))
	for e.newest < slice {
		e.newest++
		e.slices[e.index(e.newest)] = 0
	}
}

func (e *earnings) sum() (total int64) {
	for _, n := range e.slices {
		total += n
	}
	return total
}

// spend takes one extra attempt, out of what expires first, if so much was earned.
func (e *earnings) spend() bool {
	if e.sum() < unitsPerAttempt {
		return false
	}
	left := int64(unitsPerAttempt)
	for slice := e.newest - int64(len(e.slices)) + 1; left > 0; slice++ {
		n := &e.slices[e.index(slice)]
		taken := min(*n, left)
		*n -= taken
		left -= taken
	}
	return true
}
