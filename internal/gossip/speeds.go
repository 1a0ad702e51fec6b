package gossip

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
)

// speedsPerSum is how many upstreams' speeds a sum contains. All are sent in turn; a sum of all
// gateways contains those alone that may differ from their service's model.
const speedsPerSum = 32

// collectedSpeeds holds what a collector has received of upstreams' speeds.
type collectedSpeeds struct {
	// members holds the sums of this domain's gateways, by their incarnations, and domains those
	// of the other domains.
	members, domains *speed.Table
	// domain is the part of this domain's sums that is sent in the present round, and total all that
	// gateways may use of the sums of all gateways.
	domain, total []speed.Entry
	round         int64
	rotation      speed.Rotation
}

func newCollectedSpeeds() collectedSpeeds {
	return collectedSpeeds{members: speed.NewTable(), domains: speed.NewTable()}
}

// refresh adds the sums up, once a round.
func (s *collectedSpeeds) refresh(now time.Time) {
	round := now.UnixNano() / int64(Interval)
	if round == s.round {
		return
	}
	s.round = round
	s.members.Expire(now)
	s.domains.Expire(now)
	sums := make(map[uint32]speed.Sums)
	s.members.AddTotals(sums, now)
	s.domain = s.rotation.Window(speed.Entries(sums), speedsPerSum, round)
	s.domains.AddTotals(sums, now)
	s.total = speed.Differing(speed.Entries(sums))
}

// speedsAfter returns the speeds that an asker gets next, which got those up to an upstream.
func (c *Collector) speedsAfter(upstream uint32, now time.Time) []speed.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.speeds.refresh(now)
	return speed.Following(c.speeds.total, upstream, speedsPerSum)
}
