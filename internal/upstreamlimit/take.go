package upstreamlimit

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Take reports whether a request may be sent to an upstream for which it is the best choice.
func (k *Keeper) Take(upstream ident.Instance) bool {
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

// maxRetryAfter bounds what a caller is told of when to return.
const maxRetryAfter = 30 * time.Second

// RoomIn returns after how long upstreams that all have a limit take one more request: when
// they have taken what is asked of them in a second.
func (k *Keeper) RoomIn(upstreams []ident.Instance) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	asked, allowed := 0.0, 0.0
	for _, id := range upstreams {
		l := k.inForce(id)
		if l == nil {
			return 0
		}
		l.decay(now)
		// A request that is not taken asks at each of them.
		asked = max(asked, l.totalDemand(k.fleet, now))
		allowed += l.allowedRate()
	}
	seconds := max(asked, 1) / allowed
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// Lacking is the part of the requests for which an upstream is the best choice that it does
// not take.
func (k *Keeper) Lacking(upstream ident.Instance) float64 {
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
	asked := (l.demand + l.othersDemand) / demandDecayTime.Seconds()
	return 1 - min(l.allowedRate()/max(asked, l.allowedRate()), 1)
}
