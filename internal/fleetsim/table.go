package fleetsim

import (
	"fmt"
	"io"
	"runtime"
	"sync"
)

// Cell is a case with the mean figures of its runs.
type Cell struct {
	Case
	Figures
}

// Cases returns all combinations of kinds of engines, sizes and loads. busyEngines is each
// case's BusyEngines.
func Cases(busyEngines float64) []Case {
	var out []Case
	for _, kind := range EngineKinds() {
		for _, size := range FleetSizes() {
			for _, load := range Loads() {
				out = append(out, Case{Engine: kind, Fleet: size, Load: load, BusyEngines: busyEngines})
			}
		}
	}
	return out
}

// RunAll simulates each cell's case with so many seeds and sets the cell's figures to the
// mean. Several cells run at once.
func RunAll(cells []Cell, seeds int) {
	var all sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for i := range cells {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			var runs []Figures
			for seed := range seeds {
				c := cells[i].Case
				c.Seed = uint64(seed + 1)
				runs = append(runs, Run(c))
			}
			cells[i].Figures = Mean(runs)
		})
	}
	all.Wait()
}

// PrintAll writes a line for each cell, and the mean of all cells.
func PrintAll(out io.Writer, cells []Cell) {
	fmt.Fprintln(out, header)
	var all []Figures
	for _, c := range cells {
		c.Print(out, c.Case)
		all = append(all, c.Figures)
	}
	m := Mean(all)
	fmt.Fprintf(out, "%-46s %6.3f %6.3f %7.3f %5.3f %5.2f\n", "mean", m.Value(), m.EarnedShare, m.WorstWindows, m.WorstKind, m.Paid)
}
