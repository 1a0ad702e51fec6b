package fleet

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/planner"
)

// peakHold is an estimate of the demand that rises at once and decays slowly, so
// that no upstream is stopped in a short pause of high load. Demand is in
// upstreams that are fully busy.
type peakHold struct {
	value float64
	at    time.Time
}

// halfLife is the time in which a past peak decays to half.
const halfLife = 3 * time.Minute

// assumedUse is the utilization of each upstream that a new holder assumes, since
// it has not seen the demand before: one at which the planner wants neither more
// nor fewer upstreams.
const assumedUse = 0.7

// seed sets the demand that a new holder assumes for the existing upstreams.
func (p *peakHold) seed(upstreams int, now time.Time) {
	p.value, p.at = assumedUse*float64(upstreams), now
}

// update adds the current demand and returns the demand to plan for.
func (p *peakHold) update(demand float64, now time.Time) float64 {
	decayed := p.value * math.Exp2(-now.Sub(p.at).Seconds()/halfLife.Seconds())
	p.value, p.at = max(demand, decayed), now
	return p.value
}

const (
	// assumedPerHour is the rate of reclaims per instance and hour that is
	// assumed before any was seen. It weighs as much as assumedHours hours
	// of observation of one instance.
	assumedPerHour = 0.05
	assumedHours   = 20
	// lostByReclaim is the cost of a reclaim in working time of one upstream:
	// others recompute its tokens, and a replacement has to start.
	lostByReclaim = 5 * time.Minute
)

// reclaimRates estimates how often instances of an offering are reclaimed.
type reclaimRates struct {
	// exposed holds the observed hours, summed over the instances.
	exposed map[planner.Offering]float64
	// count holds the reclaims seen.
	count map[planner.Offering]float64
	// seen holds the incarnations whose reclaim was counted.
	seen map[upstreamKey]bool
	// at is the time of the last update.
	at time.Time
}

func newReclaimRates(now time.Time) *reclaimRates {
	return &reclaimRates{
		exposed: make(map[planner.Offering]float64),
		count:   make(map[planner.Offering]float64),
		seen:    make(map[upstreamKey]bool),
		at:      now,
	}
}

// update adds the hours since the last update and the reclaims that are new.
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

// estimate returns the rates by offering, which combine what was seen with what
// is assumed.
func (r *reclaimRates) estimate() planner.Reclaims {
	perHour := make(map[planner.Offering]float64)
	for offering, hours := range r.exposed {
		perHour[offering] = (assumedPerHour*assumedHours + r.count[offering]) / (assumedHours + hours)
	}
	return planner.Reclaims{PerHour: perHour, Default: assumedPerHour, Lost: lostByReclaim}
}
