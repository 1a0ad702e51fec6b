package fleetsim

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Figures are the results of a run.
type Figures struct {
	// EarnedShare is the earned fraction of the worth of all requests, WorstWindows that of
	// the two worst time windows, and WorstKind that of the worst kind of request.
	EarnedShare, WorstWindows, WorstKind float64
	// Refused is the fraction of requests that were refused and not sent, and RereadShare
	// the fraction of read tokens that some engine had read before.
	Refused, RereadShare float64
	// Paid is the engines' cost, in on-demand engines per engine that the traffic keeps
	// busy.
	Paid float64
	// Orders is the number of scaling orders, and OrdersRefused how many of them the cloud
	// refused.
	Orders, OrdersRefused int
	// RateRatio is the reading rate that a gateway estimated, relative to the true one.
	RateRatio float64
	// FirstEvent is the mean time to a first event, and Ejections is how often gateways ejected an
	// engine.
	FirstEvent time.Duration
	Ejections  int
}

const (
	// windowLength is the length of a time window, and worstWindowCount how many of the
	// worst windows count in WorstWindows.
	windowLength     = 2 * time.Second
	worstWindowCount = 2
	// lateWorth is the fraction of its worth that a late answer earns.
	lateWorth = 0.1
	// The weights in Value of EarnedShare, WorstWindows and WorstKind. In the users' own
	// scores these stand for the whole day with its failure domains, the worst windows and
	// the worst kind of request.
	earnedWeight, worstWindowsWeight, worstKindWeight = 0.6, 0.28, 0.12
	// priceWeight is the price of one on-demand engine per busy engine, as a fraction of
	// the worth of all requests. For the users' deployments, 0.05 to 0.25 was calculated
	// by hand.
	priceWeight = 0.1
)

// Value combines what callers get and what it costs in one figure.
func (f Figures) Value() float64 {
	return earnedWeight*f.EarnedShare + worstWindowsWeight*f.WorstWindows + worstKindWeight*f.WorstKind - priceWeight*f.Paid
}

// worthSum is the worth that some requests earned, and the worth of all of them.
type worthSum struct{ earned, possible float64 }

// share returns the earned fraction, which is 1 without requests.
func (s worthSum) share() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

func (w *world) figures() Figures {
	var all worthSum
	kinds := make([]worthSum, len(w.kinds))
	windows := make([]worthSum, (arrivalsEnd-warmUp)/windowLength)
	refused, n := 0, 0
	var events time.Duration
	served := 0
	for _, c := range w.calls {
		if c.arrived < warmUp || c.arrived >= arrivalsEnd {
			continue
		}
		n++
		if c.engine == nil {
			refused++
		}
		if c.firstEventAt > 0 {
			served++
			events += c.firstEventAt - c.arrived
		}
		k := w.kinds[c.kind]
		earned := 0.0
		switch {
		case c.firstEventAt == 0 || !c.done:
		case c.firstEventAt-c.arrived <= k.Objective:
			earned = k.Worth
		default:
			earned = lateWorth * k.Worth
		}
		for _, sum := range []*worthSum{&all, &kinds[c.kind], &windows[(c.arrived-warmUp)/windowLength]} {
			sum.earned += earned
			sum.possible += k.Worth
		}
	}
	f := Figures{
		EarnedShare: all.share(), WorstKind: meanOfLowest(kinds, 1), WorstWindows: meanOfLowest(windows, worstWindowCount), Refused: float64(refused) / float64(max(1, n)),
		RereadShare: float64(w.rereadTokens) / float64(max(1, w.readTokens)), Paid: w.paidSeconds / (arrivalsEnd - warmUp).Seconds() / w.c.BusyEngines,
		Orders: w.cloud.orders, OrdersRefused: w.cloud.refused,
		FirstEvent: events / time.Duration(max(1, served)), Ejections: w.ejections.lines,
	}
	f.RateRatio = w.gateways[0].chooser.EngineEstimate(service, w.Clock()).Rate() / (w.c.Engine.TokensPerMS * 1000)
	return f
}

// meanOfLowest returns the mean share of the count sums with the lowest shares.
func meanOfLowest(sums []worthSum, count int) float64 {
	var shares []float64
	for _, w := range sums {
		shares = append(shares, w.share())
	}
	slices.Sort(shares)
	sum := 0.0
	for _, s := range shares[:min(count, len(shares))] {
		sum += s
	}
	return sum / float64(min(count, len(shares)))
}

// Mean returns the mean of several runs' figures.
func Mean(all []Figures) Figures {
	var m Figures
	n := float64(len(all))
	for _, f := range all {
		m.EarnedShare += f.EarnedShare / n
		m.WorstWindows += f.WorstWindows / n
		m.WorstKind += f.WorstKind / n
		m.Refused += f.Refused / n
		m.RereadShare += f.RereadShare / n
		m.Paid += f.Paid / n
		m.RateRatio += f.RateRatio / n
		m.FirstEvent += f.FirstEvent / time.Duration(len(all))
		m.Ejections += f.Ejections
		m.Orders += f.Orders
		m.OrdersRefused += f.OrdersRefused
	}
	m.Ejections /= len(all)
	m.Orders /= len(all)
	m.OrdersRefused /= len(all)
	return m
}

// header is the table's heading for the columns of Print.
const header = "engines          gateways load                  value  whole windows class  paid refused again  rate orders turned down"

// Print writes one line of the table.
func (f Figures) Print(out io.Writer, c Case) {
	fmt.Fprintf(out, "%-16s %8d %-20s %6.3f %6.3f %7.3f %5.3f %5.2f %7.3f %5.3f %5.2f %6d %5d\n",
		c.Engine.Name, c.Fleet.Gateways, c.Load.Name, f.Value(), f.EarnedShare, f.WorstWindows, f.WorstKind, f.Paid, f.Refused, f.RereadShare, f.RateRatio, f.Orders, f.OrdersRefused)
}
