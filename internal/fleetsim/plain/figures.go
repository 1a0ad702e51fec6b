package plain

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Figures are what a play showed after it had warmed up.
type Figures struct {
	// Offered counts the calls, Served those that ran, Late those of them that took longer than the
	// objective.
	Offered, Served, Late int
	// RefusedByUpstream counts the calls that were refused by an upstream, RefusedByGateway those that found
	// none with room.
	RefusedByUpstream, RefusedByGateway int
	// MostAsked is how often the most asked upstream was asked within a quarter of a second, in parts of the
	// mean of all upstreams, on average.
	MostAsked float64
	// PlacesUsed is the part of the time in which slots ran a request.
	PlacesUsed float64
	// Messages counts the asks and the slots that were given back, each a message.
	Messages int
	// Chosen is a digest of all choices, in their order.
	Chosen uint64
}

// per1000 returns n in parts of 1,000 calls.
func (g Figures) per1000(n int) float64 { return 1000 * float64(n) / float64(max(1, g.Offered)) }

// String returns the figures as a row of a table.
func (g Figures) String() string {
	return fmt.Sprintf("most asked %.2f, per 1,000 calls: refused by upstreams %.1f, by gateways %.1f, late %.1f; places used %.3f",
		g.MostAsked, g.per1000(g.RefusedByUpstream), g.per1000(g.RefusedByGateway), g.per1000(g.Late), g.PlacesUsed)
}

// countAsked counts a call that arrives at its upstream.
func (f *fleet) countAsked(c *call) {
	f.figures.Chosen = 31*f.figures.Chosen + xxhash.Sum64String(string(c.ID)+string(c.choice.Upstream))
	if f.Now() < warmUp || f.Now() >= arrivalsEnd {
		return
	}
	at := f.Now() / window
	if f.asked[at] == nil {
		f.asked[at] = make(map[ident.Instance]int)
	}
	f.asked[at][c.choice.Upstream]++
}

// mostAsked returns Figures.MostAsked.
func (f *fleet) mostAsked() float64 {
	sum := 0.0
	for at := warmUp / window; at < arrivalsEnd/window; at++ {
		most, all := 0, 0
		for _, n := range f.asked[time.Duration(at)] {
			most, all = max(most, n), all+n
		}
		sum += float64(most*f.c.Upstreams) / float64(max(1, all))
	}
	return sum / float64((arrivalsEnd-warmUp)/window)
}
