package experiment

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"
)

// Cell holds the figures of one policy in one case, one for each seed.
type Cell struct {
	Workload *Workload
	Case     Case
	Policy   string
	Seeds    []Figures
}

// Table holds the cells of a set of runs.
type Table []Cell

// Median returns the median of a figure over the seeds.
func (c Cell) Median(of func(Figures) float64) float64 { return quantile(c.values(of), 0.5) }

// Spread returns the difference between the largest and the smallest value of a figure over
// the seeds.
func (c Cell) Spread(of func(Figures) float64) float64 {
	v := c.values(of)
	return slices.Max(v) - slices.Min(v)
}

func (c Cell) values(of func(Figures) float64) []float64 {
	var v []float64
	for _, f := range c.Seeds {
		v = append(v, of(f))
	}
	return v
}

// RunAll runs every contender in every case with so many seeds, several runs at once. The
// runs are independent, so that their order does not matter.
func RunAll(workloads []*Workload, cases []Case, contenders []Contender, seeds int) Table {
	var table Table
	for _, w := range workloads {
		for _, c := range cases {
			for _, p := range contenders {
				table = append(table, Cell{Workload: w, Case: c, Policy: p.Name, Seeds: make([]Figures, seeds)})
			}
		}
	}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, cell := range table {
		contender := contenders[i%len(contenders)]
		for seed := range seeds {
			group.Go(func() error {
				cell.Seeds[seed] = Run(cell.Workload, cell.Case, contender, uint64(seed+1))
				return nil
			})
		}
	}
	_ = group.Wait() // The runs return no errors.
	return table
}

// column is one printed figure.
type column struct {
	title string
	value func(Figures) float64
	// scale multiplies the figure; digits is the number of decimal places.
	scale  float64
	digits int
}

// width returns the width of the title, but at least 7, which is enough for most figures.
func (c column) width() int { return max(len(c.title), 7) }

func columns() []column {
	return []column{
		{"short p50", func(f Figures) float64 { return f.ShortP50 }, 1, 0},
		{"p95", func(f Figures) float64 { return f.ShortP95 }, 1, 0},
		{"p99", func(f Figures) float64 { return f.ShortP99 }, 1, 0},
		{"long p95", func(f Figures) float64 { return f.LongP95 }, 1, 0},
		{"between p95", func(f Figures) float64 { return f.BetweenP95 }, 1, 1},
		{"met %", func(f Figures) float64 { return f.Met }, 100, 1},
		{"short met %", func(f Figures) float64 { return f.ShortMet }, 100, 1},
		{"long met %", func(f Figures) float64 { return f.LongMet }, 100, 1},
		{"used ct/k", func(f Figures) float64 { return f.UsedCost }, 1, 1},
		{"fleet ct/k", func(f Figures) float64 { return f.FleetCost }, 1, 1},
		{"recomp", func(f Figures) float64 { return f.Recomputed }, 0.001, 1},
		{"resumed", func(f Figures) float64 { return f.Resumed }, 0.001, 1},
		{"goodput/s", func(f Figures) float64 { return f.Goodput }, 1, 1},
		{"refused %", func(f Figures) float64 { return f.Refused }, 100, 1},
		{"truthful %", func(f Figures) float64 { return f.RetriesAdmitted }, 100, 1},
		{"work goodput", func(f Figures) float64 { return f.WorkGoodput }, 1, 3},
		{"unfinished %", func(f Figures) float64 { return f.Unfinished }, 100, 1},
		{"least share", func(f Figures) float64 { return f.LeastShareRatio }, 1, 2},
		{"small share", func(f Figures) float64 { return f.SmallShareRatio }, 1, 2},
		{"attempts", func(f Figures) float64 { return f.AttemptsPerRequest }, 1, 3},
		{"queue", func(f Figures) float64 { return f.LongestQueue }, 1, 0},
		{"err log2", func(f Figures) float64 { return f.ErrorMedian }, 1, 2},
		{"bias", func(f Figures) float64 { return f.ErrorBias }, 1, 2},
	}
}

// Print writes the medians of each cell and, below those of our policy, the spread over the
// seeds.
func (t Table) Print(out io.Writer) {
	last := ""
	for _, cell := range t {
		group := cell.Workload.Name + ", " + cell.Case.Name
		if group != last {
			printHeader(out, group)
			last = group
		}
		printRow(out, cell.Policy, cell.Median)
		if cell.Policy == Ours {
			printRow(out, "  spread", cell.Spread)
		}
	}
}

func printHeader(out io.Writer, group string) {
	fmt.Fprintf(out, "\n%s\n%-18s", group, "")
	for _, c := range columns() {
		fmt.Fprintf(out, " %*s", c.width(), c.title)
	}
	fmt.Fprintln(out)
}

func printRow(out io.Writer, name string, value func(func(Figures) float64) float64) {
	fmt.Fprintf(out, "%-18s", name)
	for _, c := range columns() {
		fmt.Fprintf(out, " %*.*f", c.width(), c.digits, c.scale*value(c.value))
	}
	fmt.Fprintln(out)
}

// reportMode is the mode of report files: everybody may read them.
const reportMode = 0o644

// WriteReport writes the table, the goals and the plots into a directory.
func (t Table) WriteReport(directory string) error {
	var text bytes.Buffer
	t.Print(&text)
	fmt.Fprintln(&text)
	PrintGoals(&text, t.Goals())
	if err := os.WriteFile(filepath.Join(directory, "table.txt"), text.Bytes(), reportMode); err != nil {
		return err
	}
	return t.drawAll(directory)
}
