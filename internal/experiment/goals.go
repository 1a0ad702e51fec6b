package experiment

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// The wanted values: costs and recomputed tokens relative to the best baseline, goodput
// relative to the best goodput, a small account's share relative to its fair share, and
// attempts per request. They are from issue 5.
const (
	wantCost       = 0.7
	wantRecomputed = 0.4
	wantGoodput    = 0.95
	wantShare      = 0.95
	wantAttempts   = 1.1
)

// Goal is a wanted figure and the measured one.
type Goal struct {
	Name string
	// Wanted is the largest value that meets the goal, or the smallest if AtLeast.
	Wanted  float64
	AtLeast bool
	Got     float64
	// Spread is the spread of Got over the seeds. A smaller difference means nothing.
	Spread float64
	// Bound is the best value that any policy can reach in this case; NaN if it was
	// not computed.
	Bound float64
	// Note says what Got is compared with.
	Note string
}

// OK reports whether the goal is met.
func (g Goal) OK() bool {
	if g.AtLeast {
		return g.Got >= g.Wanted
	}
	return g.Got <= g.Wanted
}

// Goals returns all goals for which the table has figures.
func (t Table) Goals() []Goal {
	var goals []Goal
	for _, cell := range t {
		if cell.Policy != Ours {
			continue
		}
		goals = append(goals, t.goalsOf(cell)...)
	}
	return goals
}

func (t Table) goalsOf(ours Cell) []Goal {
	var goals []Goal
	if ours.Workload.Name == harfangName {
		goals = append(goals, t.costGoals(ours)...)
	} else {
		goals = append(goals, t.recomputedGoal(ours))
	}
	c := ours.Case
	if c.Load <= 0.9 && c.SpikeLoad == 0 && c.GreedyFactor == 0 {
		goals = append(goals, shortGoal(ours))
	}
	if c.SpikeLoad > 1 {
		goals = append(goals, t.goodputGoal(ours))
	}
	if c.GreedyFactor > 0 {
		goals = append(goals, shareGoal(ours))
	}
	if c.Slowdown > 0 || c.Reclaim || c.RefusedShare > 0 {
		goals = append(goals, attemptsGoal(ours))
	}
	return goals
}

func goalName(c Cell, what string) string {
	return fmt.Sprintf("%s/%s/%s", c.Workload.Name, c.Case.Name, what)
}

// bestBaseline returns the baseline with the least median of a figure in the same case, and
// that median.
func (t Table) bestBaseline(of Cell, figure func(Figures) float64) (best Cell, value float64) {
	value = math.Inf(1)
	for _, cell := range t {
		if strings.HasPrefix(cell.Policy, Ours) || cell.Workload != of.Workload || cell.Case != of.Case {
			continue
		}
		if v := cell.Median(figure); v < value {
			best, value = cell, v
		}
	}
	return best, value
}

// ratioGoal compares a figure of our policy with that of the best baseline, seed by seed.
func (t Table) ratioGoal(ours Cell, what string, figure func(Figures) float64, wanted float64) Goal {
	best, _ := t.bestBaseline(ours, figure)
	var ratios []Figures
	for i, f := range ours.Seeds {
		if i < len(best.Seeds) {
			ratios = append(ratios, Figures{Met: figure(f) / figure(best.Seeds[i])})
		}
	}
	g := Goal{Name: goalName(ours, what), Wanted: wanted, Got: math.NaN(), Bound: math.NaN()}
	if len(ratios) == 0 {
		g.Note = "no baseline was run"
		return g
	}
	c := Cell{Seeds: ratios}
	of := func(f Figures) float64 { return f.Met }
	g.Got, g.Spread = c.Median(of), c.Spread(of)
	g.Note = "against " + best.Policy
	return g
}

// costGoals compares the costs of a thousand requests that met their targets. The fleet is
// the same for all policies, so that its cost per request falls only if more requests meet
// their targets. The bound of that ratio is therefore the share of requests that met their
// targets with the baseline.
func (t Table) costGoals(ours Cell) []Goal {
	used := t.ratioGoal(ours, "cost of used time at target", func(f Figures) float64 { return f.UsedCost }, wantCost)
	fleetCost := func(f Figures) float64 { return f.FleetCost }
	fleet := t.ratioGoal(ours, "cost of the fleet at target", fleetCost, wantCost)
	best, _ := t.bestBaseline(ours, fleetCost)
	if len(best.Seeds) > 0 {
		fleet.Bound = best.Median(func(f Figures) float64 { return f.ModelMet })
		used.Bound = ours.Workload.leastCost(ours.Case) / best.Median(func(f Figures) float64 { return f.UsedCost })
	}
	return []Goal{used, fleet}
}

// recomputedGoal compares recomputed tokens. The bound is 0.
func (t Table) recomputedGoal(ours Cell) Goal {
	g := t.ratioGoal(ours, "tokens recomputed", func(f Figures) float64 { return f.Recomputed }, wantRecomputed)
	g.Bound = 0
	return g
}

func shortGoal(ours Cell) Goal {
	p95 := func(f Figures) float64 { return f.ShortP95 }
	target := milliseconds(ours.Workload.Kinds[0].Class.FirstToken)
	return Goal{Name: goalName(ours, "short p95 ms"), Wanted: target, Got: ours.Median(p95), Spread: ours.Spread(p95), Bound: math.NaN()}
}

// goodputGoal compares the goodput above capacity with the best goodput of our policy in any
// case of the workload.
func (t Table) goodputGoal(ours Cell) Goal {
	goodput := func(f Figures) float64 { return f.WorkGoodput }
	peak := 0.0
	for _, cell := range t {
		if cell.Policy == Ours && cell.Workload == ours.Workload {
			peak = max(peak, cell.Median(goodput))
		}
	}
	return Goal{
		Name: goalName(ours, "goodput of the peak"), Wanted: wantGoodput, AtLeast: true,
		Got: ours.Median(goodput) / peak, Spread: ours.Spread(goodput) / peak, Bound: 1 / peak,
		Note: "by engine time of the answers in target",
	}
}

func shareGoal(ours Cell) Goal {
	least := func(f Figures) float64 { return f.SmallShareRatio }
	return Goal{
		Name: goalName(ours, "small account's share"), Wanted: wantShare, AtLeast: true,
		Got: ours.Median(least), Spread: ours.Spread(least), Bound: 1,
	}
}

func attemptsGoal(ours Cell) Goal {
	attempts := func(f Figures) float64 { return f.AttemptsPerRequest }
	return Goal{
		Name: goalName(ours, "attempts per request"), Wanted: wantAttempts,
		Got: ours.Median(attempts), Spread: ours.Spread(attempts), Bound: 1,
	}
}

// PrintGoals writes a line for each goal, and how many are met.
func PrintGoals(out io.Writer, goals []Goal) {
	short := 0
	for _, g := range goals {
		verdict := "ok"
		if !g.OK() {
			verdict = "SHORT"
			short++
		}
		fmt.Fprintf(out, "GOAL %-58s wanted %s got %s %s", "\""+g.Name+"\"", g.comparison()+formatNumber(g.Wanted), formatNumber(g.Got), verdict)
		fmt.Fprintf(out, " (spread %s, bound %s) %s\n", formatNumber(g.Spread), formatNumber(g.Bound), g.Note)
	}
	fmt.Fprintf(out, "%d of %d goals met\n", len(goals)-short, len(goals))
}

func (g Goal) comparison() string {
	if g.AtLeast {
		return ">="
	}
	return "<="
}

func formatNumber(x float64) string {
	if math.IsNaN(x) {
		return "-"
	}
	return fmt.Sprintf("%.3g", x)
}
