package fleetsim

import (
	"bytes"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
)

// SpeedSource is where gateways know the engines' speeds from.
type SpeedSource int

// The sources of the engines' speeds.
const (
	// SpeedsLearned: gateways learn them from requests and exchange what they learned.
	SpeedsLearned SpeedSource = iota
	// SpeedsTold: gateways are told them.
	SpeedsTold
	// SpeedsIgnored: gateways take all engines to be alike.
	SpeedsIgnored
)

// Spells are slow spells of engines, again and again: of one engine in Every, by turns, for Length.
type Spells struct {
	Every    int
	Length   time.Duration
	Slowdown float64
}

const (
	// exchangeEvery is how often gateways report the speeds that they observed, and speedsPerReport
	// how many engines a sum of them contains.
	exchangeEvery   = gossip.Interval
	speedsPerReport = 32
)

// speedExchange carries what gateways observed of the engines' speeds.
type speedExchange struct {
	table    *speed.Table
	rotation speed.Rotation
}

// newTracker returns the tracker of a gateway.
func newTracker() *speed.Tracker {
	return speed.New(speed.Config{Log: hclog.NewNullLogger(), Key: keyOf, Interval: exchangeEvery})
}

func keyOf(id ident.Instance) uint32 { return uint32(gossip.UpstreamKeyOf(id)) }

// slowness returns the factor of an engine that a gateway assumes.
func (w *world) slowness(g *gateway, id ident.Instance) float64 {
	switch w.c.Speeds {
	case SpeedsTold:
		if e := w.byID[id]; e != nil {
			return e.slowdown
		}
		return 1
	case SpeedsIgnored:
		return 1
	}
	return g.speeds.Factor(id)
}

// exchangeSpeeds reports what all gateways observed, and tells them the sums.
func (w *world) exchangeSpeeds() {
	now := w.Clock()
	for _, g := range w.gateways {
		w.speeds.table.Apply(g.name, g.speeds.Report(now), now)
	}
	sums := make(map[uint32]speed.Sums)
	w.speeds.table.AddTotals(sums, now)
	entries := w.speeds.rotation.Window(speed.Differing(speed.Entries(sums)), speedsPerReport, int64(w.Now()/exchangeEvery))
	for _, g := range w.gateways {
		g.speeds.Apply([]speed.Heard{{Source: "all", WholeFleet: true, Entries: entries, AsOf: now}})
		g.speeds.Refresh(w.view, now)
	}
}

// startSpells makes engines slow for a while by turns.
func (w *world) startSpells() {
	s, turn := w.c.Spells, 0
	if s.Every == 0 {
		return
	}
	w.every(s.Length, func() {
		turn++
		for i, e := range w.engines {
			slowdown := e.slowdown
			if (i+turn)%s.Every == 0 {
				slowdown *= s.Slowdown
			}
			e.model.SetSlowdown(slowdown)
		}
	})
}

// slowdownOf returns the slowdown of the n-th engine that starts.
func (c *Case) slowdownOf(n int) float64 {
	if len(c.Slowdowns) > 0 {
		return c.Slowdowns[n%len(c.Slowdowns)]
	}
	if n%3 == 2 {
		return c.Engine.Slowdown
	}
	return 1
}

// ejectionCounter counts the log lines about changed ejection states.
type ejectionCounter struct{ lines int }

// Write implements io.Writer.
func (e *ejectionCounter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("standing=ejected")) {
		e.lines++
	}
	return len(line), nil
}
