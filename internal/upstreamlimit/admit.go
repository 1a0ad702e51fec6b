package upstreamlimit

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Admit decides whether a request is sent to the upstream that is the best choice for it, and counts
// the request. It returns true if the upstream has no limit.
func (lim *Limiter) Admit(upstream ident.Instance) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	l := lim.inForce(upstream)
	if l == nil {
		return true
	}
	now := lim.cfg.Now()
	l.decay(now)
	l.recentDemand++
	l.credit += lim.shareOf(l, lim.fleet, now)
	l.demand++
	if l.credit < 1 {
		lim.counters.PassedOver++
		return false
	}
	l.credit--
	l.sent++
	lim.counters.Sent++
	return true
}

// maxRetryAfter bounds the retry-after time that a caller is given.
const maxRetryAfter = 30 * time.Second

// RetryAfter estimates the time until limited upstreams can accept one more request: the time in
// which they accept the demand of one second. It returns 0 if any of them has no limit.
func (lim *Limiter) RetryAfter(upstreams []ident.Instance) time.Duration {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.cfg.Now()
	demand, allowed := 0.0, 0.0
	for _, id := range upstreams {
		l := lim.inForce(id)
		if l == nil {
			return 0
		}
		l.decay(now)
		// A request that none of them accepts counts as demand at each.
		demand = max(demand, l.totalDemand(lim.fleet, now))
		allowed += l.allowedRate()
	}
	seconds := max(demand, 1) / allowed
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// UnservedShare returns the fraction of an upstream's demand that its limit excludes. The demand is
// the requests for which the upstream is the best choice. It is 0 for an upstream without a limit.
func (lim *Limiter) UnservedShare(upstream ident.Instance) float64 {
	if !lim.anyLimited.Load() {
		return 0
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	l := lim.inForce(upstream)
	if l == nil {
		return 0
	}
	l.decay(lim.cfg.Now())
	demand := (l.demand + l.othersDemand) / demandDecayTime.Seconds()
	return 1 - min(l.allowedRate()/max(demand, l.allowedRate()), 1)
}
