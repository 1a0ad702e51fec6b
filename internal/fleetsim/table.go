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

// Cases are all kinds of engines, sizes and loads.
func Cases(work float64) []Case {
	var out []Case
	for _, kind := range EngineKinds() {
		for _, size := range FleetSizes() {
			for _, load := range Loads() {
				out = append(out, Case{Engine: kind, Fleet: size, Load: load, BusyEngines: work})
			}
		}
	}
	return out
}

// PlayAll plays each cell with so many seeds, several at a time.
func PlayAll(cells []Cell, seeds int) {
	var all sync.WaitGroup
	places := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for i := range cells {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			var runs []Figures
			for seed := range seeds {
				c := cells[i].Case
				c.Seed = uint64(seed + 1)
				runs = append(runs, Play(c))
			}
			cells[i].Figures = Mean(runs)
		})
	}
	all.Wait()
}

// PrintAll writes a line a cell, and the mean of all.
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
