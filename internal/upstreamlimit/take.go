package upstreamlimit

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Admit decides whether a request is sent to the upstream that is the best choice for it, and counts
// the request. It returns true if the upstream has no limit.
func (k *Limiter) Admit(upstream ident.Instance) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.inForce(upstream)
	if l == nil {
		return true
	}
	now := k.cfg.Now()
	l.decay(now)
	l.recentDemand++
	l.credit += k.shareOf(l, k.fleet, now)
	l.demand++
	if l.credit < 1 {
		k.counters.PassedOver++
		return false
	}
	l.credit--
	l.sent++
	k.counters.Sent++
	return true
}

// maxRetryAfter bounds the retry time that a caller is given.
const maxRetryAfter = 30 * time.Second

// RetryAfter estimates the time until limited upstreams can accept one more request: the time in which
// they accept the demand of one second. It returns 0 if any of them has no limit.
func (k *Limiter) RetryAfter(upstreams []ident.Instance) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	demand, allowed := 0.0, 0.0
	for _, id := range upstreams {
		l := k.inForce(id)
		if l == nil {
			return 0
		}
		l.decay(now)
		// A request that none of them accepts counts as demand at each.
		demand = max(demand, l.totalDemand(k.fleet, now))
		allowed += l.allowedRate()
	}
	seconds := max(demand, 1) / allowed
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// UnservedShare returns the fraction of the requests for which an upstream is the best choice that its
// limit excludes. It is 0 for an upstream without a limit.
func (k *Limiter) UnservedShare(upstream ident.Instance) float64 {
	if !k.anyLimited.Load() {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.inForce(upstream)
	if l == nil {
		return 0
	}
	l.decay(k.cfg.Now())
	demand := (l.demand + l.othersDemand) / demandDecayTime.Seconds()
	return 1 - min(l.allowedRate()/max(demand, l.allowedRate()), 1)
}
