package upstreamlimit

import (
	"slices"
	"time"
)

const (
	// reportChangeFor is the time for which a change is announced to the other gateways in every
	// message, so that two lost messages do no harm.
	reportChangeFor = 3 * time.Second
	// maxReportedChanges bounds the changes in a message and maxAnnouncedOthers the limits that
	// did not change lately. If there are more, each round announces others of them. All messages
	// of a round announce the same ones, because each goes to another gateway.
	maxReportedChanges, maxReportedOthers = 16, 4
	// minReportedUse is the count of demand or sent requests below which an upstream's use is not
	// announced.
	minReportedUse = 1.0 / 32
)

// Announcement is an announcement between gateways: what an upstream's answers state about its limit.
type Announcement struct {
	// Upstream is the Config.Key of the upstream's ID, which differs after each restart.
	Upstream uint32
	Limited  bool
	// Rate is in requests per second.
	Rate float64
	// Age is the time since an answer stated this.
	Age time.Duration
}

// Use counts, for one or more gateways, how often an upstream was the best choice for a request
// (Asked) and how often it was sent one (Sent). Both counts decay over seconds.
type Use struct{ Demand, Sent float64 }

// Uses are the uses of several upstreams, by their keys.
type Uses map[uint32]Use

// Add adds other uses.
func (u Uses) Add(o Uses) {
	for key, use := range o {
		u[key] = Use{u[key].Demand + use.Demand, u[key].Sent + use.Sent}
	}
}

// Subtract subtracts uses that were added before.
func (u Uses) Subtract(o Uses) {
	for key, use := range o {
		left := Use{max(0, u[key].Demand-use.Demand), max(0, u[key].Sent-use.Sent)}
		if left == (Use{}) {
			delete(u, key)
			continue
		}
		u[key] = left
	}
}

// Announcements returns the announcements for the other gateways: the limits that changed lately, and some of
// the others in turn.
func (k *Limiter) Announcements() []Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.limits) == 0 {
		return nil
	}
	now := k.cfg.Now()
	var changed, others []uint32
	for key, l := range k.limits {
		if now.Sub(l.changedAt) < reportChangeFor {
			changed = append(changed, key)
		} else {
			others = append(others, key)
		}
	}
	turn := int(now.UnixNano() / int64(k.cfg.Round))
	selected := append(selectInTurn(changed, maxReportedChanges, turn), selectInTurn(others, maxReportedOthers, turn)...)
	out := make([]Announcement, len(selected))
	for i, key := range selected {
		l := k.limits[key]
		out[i] = Announcement{Upstream: key, Limited: l.limited, Rate: l.rate, Age: now.Sub(l.statedAt)}
	}
	return out
}

// selectInTurn returns at most the given number of keys. If there are more, each turn selects the
// next ones.
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

// MergeAnnouncements merges another gateway's announcements, whose ages are as of the given time.
func (k *Limiter) MergeAnnouncements(announced []Announcement, asOf time.Time) {
	if len(announced) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range announced {
		k.merge(s, asOf.Add(-s.Age), k.cfg.Now())
	}
}

// merge merges what an answer stated at the given time, unless a newer statement is known. A lifted
// limit is remembered even if the limit was unknown, because an older announcement of the limit may
// still arrive.
func (k *Limiter) merge(s Announcement, at, now time.Time) {
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

// Uses returns this gateway's own uses of the limited upstreams.
func (k *Limiter) Uses() Uses {
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
		if l.demand >= minReportedUse || l.sent >= minReportedUse {
			out[key] = Use{Demand: l.demand, Sent: l.sent}
		}
	}
	return out
}

// Refresh sets what the other gateways use and how many gateways there are.
func (k *Limiter) Refresh(others Uses, fleet Fleet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fleet = fleet
	for key, l := range k.limits {
		u := others[key]
		l.othersDemand, l.othersSent = u.Demand, u.Sent
		if l.limited {
			l.seedSent(fleet)
			l.decay(k.cfg.Now())
			l.updateExpectedDemand(l.decayedAt)
		}
	}
}
