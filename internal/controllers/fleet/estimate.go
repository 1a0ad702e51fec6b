package fleet

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/planner"
)

// peakHold follows the demand up at once and down slowly, so that a short lull
// in a rush stops nothing.
type peakHold struct {
	value float64
	at    time.Time
}

// halfLife is the time in which a peak that is over counts half.
const halfLife = 3 * time.Minute

// assumedUse is the use of each upstream that a new holder assumes, who has not
// seen the demand before: as much as calls for neither more nor fewer.
const assumedUse = 0.7

// seed sets the demand that a new holder assumes.
func (p *peakHold) seed(upstreams int, now time.Time) {
	p.value, p.at = assumedUse*float64(upstreams), now
}

// update returns the demand to plan for.
func (p *peakHold) update(demand float64, now time.Time) float64 {
	faded := p.value * math.Exp2(-now.Sub(p.at).Seconds()/halfLife.Seconds())
	p.value, p.at = max(demand, faded), now
	return p.value
}

// What is assumed of reclaims before any was seen, and how much it weighs.
const (
	assumedPerHour = 0.05
	assumedHours   = 20
	// lostByReclaim is the work of one upstream that a reclaim costs: tokens
	// computed again by others, and the start of a replacement.
	lostByReclaim = 5 * time.Minute
)

// reclaimRates estimates how often instances of an offering are reclaimed.
type reclaimRates struct {
	exposed map[planner.Offering]float64
	count   map[planner.Offering]float64
	seen    map[upstreamKey]bool
	at      time.Time
}

func newReclaimRates(now time.Time) *reclaimRates {
	return &reclaimRates{
		exposed: make(map[planner.Offering]float64),
		count:   make(map[planner.Offering]float64),
		seen:    make(map[upstreamKey]bool),
		at:      now,
	}
}

// update counts the hours since the last update and the reclaims that are new.
func (r *reclaimRates) update(o observation, now time.Time) {
	hours := now.Sub(r.at).Hours()
	r.at = now
	for _, instance := range o.instances {
		k, offering := key(instance), offeringOf(instance)
		if !instance.Reclaimable {
			continue
		}
		r.exposed[offering] += hours
		if o.noticed[k] && !r.seen[k] {
			r.seen[k] = true
			r.count[offering]++
		}
	}
}

// estimate weighs what was seen with what is assumed.
func (r *reclaimRates) estimate() planner.Reclaims {
	perHour := make(map[planner.Offering]float64)
	for offering, hours := range r.exposed {
		perHour[offering] = (assumedPerHour*assumedHours + r.count[offering]) / (assumedHours + hours)
	}
	return planner.Reclaims{PerHour: perHour, Default: assumedPerHour, Lost: lostByReclaim}
}
