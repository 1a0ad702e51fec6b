package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
)

// RetryAfter returns the time until the queue of some engine is so short that the
// call's first event would arrive within its objective. It returns 0 if a queue is that
// short now, for a plain service, and while too little is known about the engines. The
// time is a lower bound, because it assumes that no more work arrives. If all ready
// upstreams have limits or pauses, RetryAfter returns the time until the limits will have
// admitted the requests that came before the call, or until the first pause ends. If all
// upstreams leave, it returns the time until a replacement has started.
func (c *Chooser) RetryAfter(call *forward.Call, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left := c.acceptsIn(call, now); left > 0 {
		return left
	}
	if startup := c.replacementIn(call.Service, now); startup > 0 {
		return startup
	}
	estimate := c.engineEstimate(call.Service.Name, now)
	if call.Service.Engine == nil || estimate.Samples < minSamples {
		return 0
	}
	shortest, found := time.Duration(0), false
	all := c.refreshView().Of(call.Service.Name)
	software := softwareFilterOf(call, all)
	for i := range all {
		u := &all[i]
		if !software.takesWork(u) {
			continue
		}
		load := c.totalLoad(u.ID, getOrCreate(c.own, u.ID))
		seconds := estimate.FirstEventSecondsAt(c.cfg.Slowness(u.ID), float64(prefillTokens(call)), float64(load.UnreadTokens), float64(load.Running))
		first := time.Duration(seconds * float64(time.Second))
		if late := max(0, first-call.Route.Objective); !found || late < shortest {
			shortest, found = late, true
		}
	}
	return shortest
}
