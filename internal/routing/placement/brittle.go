package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// bearableAfterRejection is the share of the requests in progress at a rejection that a brittle
	// upstream is taken to bear.
	bearableAfterRejection = 0.6
	// bearableGrowth is how much of its slots more it is taken to bear with each second without one.
	bearableGrowth = 0.05
	// sharedSlots is the share of all slots that is divided where there are more gateways than an
	// upstream has slots: each gateway uses some upstreams, and by chance more of them use one.
	sharedSlots = 0.6
)

// bearing is what a brittle upstream was seen to bear: so many requests in progress, as of a rejection.
type bearing struct {
	requests float64
	at       time.Time
}

// anyBrittle reports whether an upstream of a list said lately that it is brittle. All are then treated
// so: the others may be too, and have not answered since.
func (c *Chooser) anyBrittle(all []directory.Upstream) bool {
	if !c.cfg.Pauses.AnyBrittle() {
		return false
	}
	for i := range all {
		if c.cfg.Pauses.Brittle(all[i].ID) {
			return true
		}
	}
	return false
}

// bearable returns how many requests of all gateways together a brittle upstream is taken to bear: none
// that waits, as no gateway knows when the upstream lets fewer wait.
func (x *candidate) bearable(now time.Time) float64 {
	slots := float64(x.upstream.Slots)
	if x.own.bears.at.IsZero() {
		return slots
	}
	return min(slots, x.own.bears.requests+now.Sub(x.own.bears.at).Seconds()*bearableGrowth*slots)
}

// recordRejection records what a brittle upstream did not bear.
func (c *Chooser) recordRejection(o *ownWork, id ident.Instance, result forward.Result, now time.Time) {
	if result == forward.Rejected || result == forward.Declined {
		if c.cfg.Pauses.AnyBrittle() && c.cfg.Pauses.Brittle(id) {
			o.bears = bearing{bearableAfterRejection * float64(c.totalLoad(id, o).Running), now}
		}
	}
}

// isFullWhileBrittle reports whether this gateway may send no more requests to one of the brittle upstreams
// of a list. The parts of all gateways together are what the upstream bears; that holds whatever the
// others do, of which this gateway hears some tenths of a second late.
func (c *Chooser) isFullWhileBrittle(x *candidate, all []directory.Upstream, now time.Time) bool {
	if x.upstream.Slots == 0 {
		return false
	}
	bears := x.bearable(now)
	if float64(x.load.Running) >= bears {
		return true
	}
	part := bears / float64(max(1, c.cfg.Gateways()))
	if part < 1 {
		return x.own.load.Running > 0 || !c.isAmongFirst(x.upstream, all, part)
	}
	return float64(x.own.load.Running+1) > part
}

// isAmongFirst reports whether an upstream is among the first at this gateway, of so many that each
// gateway can have one request at each of them. part is this gateway's part of one upstream.
func (c *Chooser) isAmongFirst(u *directory.Upstream, all []directory.Upstream, part float64) bool {
	first := max(1, int(sharedSlots*part*float64(len(all))))
	own, before := c.rank(u.Name), 0
	for i := range all {
		if c.rank(all[i].Name) < own {
			before++
		}
	}
	return before < first
}
