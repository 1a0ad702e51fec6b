package upstreamlimit

import (
	"slices"
	"time"
)

const (
	// announceChangeFor is for how long a change is told to the other gateways in each message, so
	// that two lost ones change nothing.
	announceChangeFor = 3 * time.Second
	// maxAnnouncedChanges bounds the changes in one message, and turns is how many other limits are
	// told in one. Where there are more, they are told in turns, a round each: all messages of
	// a round tell the same, because each goes to another gateway.
	maxAnnouncedChanges, maxAnnouncedOthers = 16, 4
	// minAnnouncedUse is the least that is told of asked and sent.
	minAnnouncedUse = 1.0 / 32
)

// Said is what an upstream's answers say of its limit.
type Said struct {
	// Upstream stands for the ID of the upstream's life.
	Upstream uint32
	Limited  bool
	Rate     float64
	// Age is how long ago an answer said so.
	Age time.Duration
}

// Use is what one or more gateways asked of an upstream and sent to it.
type Use struct{ Asked, Sent float64 }

// Uses are those of several upstreams, by their keys.
type Uses map[uint32]Use

// Add adds the uses of other gateways.
func (u Uses) Add(o Uses) {
	for key, use := range o {
		u[key] = Use{u[key].Asked + use.Asked, u[key].Sent + use.Sent}
	}
}

// Subtract takes out the uses of a gateway that were added before.
func (u Uses) Subtract(o Uses) {
	for key, use := range o {
		left := Use{max(0, u[key].Asked-use.Asked), max(0, u[key].Sent-use.Sent)}
		if left == (Use{}) {
			delete(u, key)
			continue
		}
		u[key] = left
	}
}

// Say returns what to tell the other gateways of limits: what changed lately, and some
// others in turn.
func (k *Keeper) Say() []Said {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.limits) == 0 {
		return nil
	}
	now := k.cfg.Now()
	var news, others []uint32
	for key, l := range k.limits {
		if now.Sub(l.changedAt) < announceChangeFor {
			news = append(news, key)
		} else {
			others = append(others, key)
		}
	}
	turn := int(now.UnixNano() / int64(k.cfg.Round))
	told := append(selectInTurn(news, maxAnnouncedChanges, turn), selectInTurn(others, maxAnnouncedOthers, turn)...)
	out := make([]Said, len(told))
	for i, key := range told {
		l := k.limits[key]
		out[i] = Said{Upstream: key, Limited: l.limited, Rate: l.rate, Age: now.Sub(l.statedAt)}
	}
	return out
}

// selectInTurn returns so many keys, other ones in the next turn.
func selectInTurn(keys []uint32, most, turn int) []uint32 {
	slices.Sort(keys)
	if len(keys) <= most {
		return keys
	}
	out := make([]uint32, most)
	for i := range out {
		out[i] = keys[(turn*most+i)%len(keys)]
	}
	return out
}

// Learn takes in what another gateway says of limits, with ages as of an instant.
func (k *Keeper) Learn(said []Said, asOf time.Time) {
	if len(said) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range said {
		k.merge(s, asOf.Add(-s.Age), k.cfg.Now())
	}
}

// merge takes in what was said at an instant. That a limit was lifted is remembered of any
// upstream: an older word of the limit may come later.
func (k *Keeper) merge(s Said, at, now time.Time) {
	l := k.limits[s.Upstream]
	switch {
	case l == nil && len(k.limits) >= maxLimits:
		return
	case l == nil:
		l = k.add(s.Upstream)
	case !at.After(l.statedAt):
		return
	}
	if k.setLimit(l, s.Limited, s.Rate, at, now) && l.upstream != "" {
		k.logChange(l, "", now)
	}
}

// Uses returns what this gateway asked and sent.
func (k *Keeper) Uses() Uses {
	if !k.anyLimited.Load() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	out := make(Uses)
	for key, l := range k.limits {
		if !l.limited {
			continue
		}
		l.decay(now)
		if l.demand >= minAnnouncedUse || l.sent >= minAnnouncedUse {
			out[key] = Use{Asked: l.demand, Sent: l.sent}
		}
	}
	return out
}

// Refresh takes in what the other gateways asked and sent, and how many they are.
func (k *Keeper) Refresh(others Uses, fleet Fleet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fleet = fleet
	for key, l := range k.limits {
		u := others[key]
		l.othersDemand, l.othersSent = u.Asked, u.Sent
		if l.limited {
			l.seedSent(fleet)
			l.decay(k.cfg.Now())
			l.updateExpectedDemand(l.decayedAt)
		}
	}
}
