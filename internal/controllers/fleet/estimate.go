package fleet

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/planner"
)

// peakHold is an estimate of the demand that rises at once and decays slowly,
// so that no upstream is stopped in a short pause of a load spike. Demand is in
// upstreams that are fully busy.
type peakHold struct {
	value     float64
	updatedAt time.Time
}

// peakHalfLife is the time in which a past peak decays to half.
const peakHalfLife = 3 * time.Minute

// assumedUtilization is the utilization of each upstream that a new holder
// assumes, since it has not seen the demand before: one at which the planner
// wants neither more nor fewer upstreams.
const assumedUtilization = 0.7

// seed sets the demand that a new holder assumes for the existing upstreams.
func (p *peakHold) seed(upstreams int, now time.Time) {
	p.value, p.updatedAt = assumedUtilization*float64(upstreams), now
}

// update adds the current demand and returns the demand to plan for.
func (p *peakHold) update(demand float64, now time.Time) float64 {
	decayed := p.value * math.Exp2(-now.Sub(p.updatedAt).Seconds()/peakHalfLife.Seconds())
	p.value, p.updatedAt = max(demand, decayed), now
	return p.value
}

const (
	// assumedReclaimsPerHour is the rate of reclaims per instance and hour that
	// is assumed before any was seen. It weighs as much as assumedWeightHours
	// hours of observation of one instance.
	assumedReclaimsPerHour = 0.05
	assumedWeightHours     = 20
	// workLostByReclaim is the cost of a reclaim in working time of one
	// upstream: others recompute its tokens, and a replacement has to start.
	workLostByReclaim = 5 * time.Minute
)

// reclaimRates estimates how often instances of an offering are reclaimed.
type reclaimRates struct {
	// exposedHours holds the observed hours, summed over the instances.
	exposedHours map[planner.Offering]float64
	// reclaims holds the reclaims seen.
	reclaims map[planner.Offering]float64
	// countedReclaims holds the incarnations whose reclaim was counted.
	countedReclaims map[upstreamKey]bool
	// updatedAt is the time of the last update.
	updatedAt time.Time
}

func newReclaimRates(now time.Time) *reclaimRates {
	return &reclaimRates{
		exposedHours:    make(map[planner.Offering]float64),
		reclaims:        make(map[planner.Offering]float64),
		countedReclaims: make(map[upstreamKey]bool),
		updatedAt:       now,
	}
}

// update adds the hours since the last update and the reclaims that are new.
func (r *reclaimRates) update(o observation, now time.Time) {
	hours := now.Sub(r.updatedAt).Hours()
	r.updatedAt = now
	for _, instance := range o.instances {
		k, offering := key(instance), offeringOf(instance)
		if !instance.Reclaimable {
			continue
		}
		r.exposedHours[offering] += hours
		if o.noticed[k] && !r.countedReclaims[k] {
			r.countedReclaims[k] = true
			r.reclaims[offering]++
		}
	}
}

// estimate returns the rates by offering, which combine what was seen with what
// is assumed.
func (r *reclaimRates) estimate() planner.ReclaimCosts {
	perHour := make(map[planner.Offering]float64)
	for offering, hours := range r.exposedHours {
		perHour[offering] = (assumedReclaimsPerHour*assumedWeightHours + r.reclaims[offering]) / (assumedWeightHours + hours)
	}
	return planner.ReclaimCosts{PerHour: perHour, DefaultPerHour: assumedReclaimsPerHour, LostWork: workLostByReclaim}
}
