package routing

import (
	"math"
	"sync/atomic"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

const (
	// popularityCells is the size of the popularity table. Prefixes that share
	// a cell get more homes than they need, which does no other harm.
	popularityCells = 512
	// popularityWindow is how much engine time, in microseconds, is counted
	// before all counts are halved.
	popularityWindow = 60_000_000
	// maxHomes is the largest number of homes that is computed. For a prefix
	// that needs more, every upstream is a home.
	maxHomes = 16
)

// popularity estimates the share of each prefix in the engine time of this
// gateway's requests. Updates may be lost when goroutines race, which makes the
// estimate a little less exact.
type popularity struct {
	cells [popularityCells]atomic.Uint32
	total atomic.Uint32
}

// add counts a request's engine time, in seconds, for a prefix.
func (p *popularity) add(prefix uint64, seconds float64) {
	micros := uint32(min(seconds*1e6, popularityWindow)) + 1
	p.cells[prefix%popularityCells].Add(micros)
	if p.total.Add(micros) < popularityWindow {
		return
	}
	for i := range p.cells {
		p.cells[i].Store(p.cells[i].Load() / 2)
	}
	p.total.Store(p.total.Load() / 2)
}

// share returns the prefix's share of the counted engine time, from 0 to 1.
func (p *popularity) share(prefix uint64) float64 {
	return float64(p.cells[prefix%popularityCells].Load()) / float64(max(1, p.total.Load()))
}

// findHomes sets maxHomeDistance so that the upstreams up to that distance are
// the homes of the request's prefix, where its requests preferably go. All
// gateways compute the same order of upstreams without exchanging messages. The
// larger the prefix's share of the work, the more homes it has.
func (c *chooser) findHomes() {
	c.maxHomeDistance = math.Inf(1)
	prefix := c.req.Blocks[0]
	share := c.router.popularity.share(prefix)
	n := int(math.Ceil(share * float64(len(c.view)) * c.router.params.HomesPerUpstream))
	n = max(1, n)
	if n > maxHomes || n >= len(c.view) {
		return
	}
	var nearest [maxHomes]float64
	count := 0
	for i := range c.view {
		if c.view[i].State != blackboard.Alive {
			continue
		}
		x := c.distance(prefix, i)
		at := count
		for at > 0 && nearest[at-1] > x {
			at--
		}
		if at >= n {
			continue
		}
		copy(nearest[at+1:n], nearest[at:])
		nearest[at] = x
		count = min(count+1, n)
	}
	if count > 0 {
		c.maxHomeDistance = nearest[count-1]
	}
}

// awayFromHome reports whether the i-th upstream is not a home of the request's
// prefix.
func (c *chooser) awayFromHome(i int) bool {
	return len(c.req.Blocks) > 0 && c.distance(c.req.Blocks[0], i) > c.maxHomeDistance
}

// distance returns a pseudo-random number from 0 to 1 for a prefix and an
// upstream, the same at all gateways (rendezvous hashing). The upstreams with
// the smallest distances are the homes of the prefix.
func (c *chooser) distance(prefix uint64, i int) float64 {
	const golden = 0x9e3779b97f4a7c15
	x := (prefix ^ c.upstreams[i].nameHash) * golden
	x ^= x >> 32
	x *= golden
	x ^= x >> 29
	return 1 - float64(x>>11)/(1<<53)
}
