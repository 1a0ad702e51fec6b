package fleetsim

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Figures are what a run came to.
type Figures struct {
	// EarnedShare is the part of the worth that was earned, Windows the same in the two worst
	// windows, and Class that of the worst kind of request.
	EarnedShare, WorstWindows, WorstKind float64
	// Refused is the part of the requests that were refused for good, and Again the part
	// of the tokens that were read though some engine had read them.
	Refused, RereadShare float64
	// Paid is the price of the engines, in on-demand engines for each that the traffic
	// keeps busy.
	Paid float64
	// Orders are those that the holder sent, and OrdersRefused those turned down.
	Orders, OrdersRefused int
	// RateRatio is the reading rate that was learned, of the true one.
	RateRatio float64
}

const (
	// windowLength is the length of a window, and worst how many of the worst count.
	windowLength     = 2 * time.Second
	worstWindowCount = 2
	// lateWorth is what a late answer is worth.
	lateWorth = 0.1
	// Weights of the parts of Value: the users' whole day with its domains, worst
	// windows, worst kind.
	earnedWeight, worstWindowsWeight, worstKindWeight = 0.6, 0.28, 0.12
	// priceWeight is what an on-demand engine for each busy one costs, of the worth. For
	// the users' deployments 0.05 to 0.25 was worked out on paper.
	priceWeight = 0.1
)

// Value is one figure for what callers get and what it costs.
func (f Figures) Value() float64 {
	return earnedWeight*f.EarnedShare + worstWindowsWeight*f.WorstWindows + worstKindWeight*f.WorstKind - priceWeight*f.Paid
}

// worthSum is worth earned of worth asked.
type worthSum struct{ earned, asked float64 }

func (p worthSum) share() float64 {
	if p.asked == 0 {
		return 1
	}
	return p.earned / p.asked
}

func (w *world) figures() Figures {
	var whole worthSum
	classes := make([]worthSum, len(w.kinds))
	windows := make([]worthSum, (arrivalsEnd-warmUp)/windowLength)
	refused, n := 0, 0
	for _, c := range w.calls {
		if c.arrived < warmUp || c.arrived >= arrivalsEnd {
			continue
		}
		n++
		if c.server == nil {
			refused++
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
		for _, p := range []*worthSum{&whole, &classes[c.kind], &windows[(c.arrived-warmUp)/windowLength]} {
			p.earned += earned
			p.asked += k.Worth
		}
	}
	f := Figures{
		EarnedShare: whole.share(), WorstKind: meanOfLowest(classes, 1), WorstWindows: meanOfLowest(windows, worstWindowCount), Refused: float64(refused) / float64(max(1, n)),
		RereadShare: float64(w.rereadTokens) / float64(max(1, w.readTokens)), Paid: w.paidSeconds / (arrivalsEnd - warmUp).Seconds() / w.c.BusyEngines,
		Orders: w.cloud.orders, OrdersRefused: w.cloud.refused,
	}
	f.RateRatio = w.gateways[0].chooser.EngineFigures(service, w.Clock()).Rate() / (w.c.Engine.TokensPerMS * 1000)
	return f
}

// meanOfLowest is the mean share of the parts that earned least.
func meanOfLowest(parts []worthSum, count int) float64 {
	var shares []float64
	for _, p := range parts {
		shares = append(shares, p.share())
	}
	slices.Sort(shares)
	sum := 0.0
	for _, s := range shares[:min(count, len(shares))] {
		sum += s
	}
	return sum / float64(min(count, len(shares)))
}

// Mean is the mean of several runs' figures.
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
		m.Orders += f.Orders
		m.OrdersRefused += f.OrdersRefused
	}
	m.Orders /= len(all)
	m.OrdersRefused /= len(all)
	return m
}

// header names the columns of Print.
const header = "engines          gateways load                  value  whole windows class  paid refused again  rate orders turned down"

// Print writes one line.
func (f Figures) Print(out io.Writer, c Case) {
	fmt.Fprintf(out, "%-16s %8d %-20s %6.3f %6.3f %7.3f %5.3f %5.2f %7.3f %5.3f %5.2f %6d %5d\n",
		c.Engine.Name, c.Fleet.Gateways, c.Load.Name, f.Value(), f.EarnedShare, f.WorstWindows, f.WorstKind, f.Paid, f.Refused, f.RereadShare, f.RateRatio, f.Orders, f.OrdersRefused)
}
