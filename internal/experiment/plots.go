package experiment

import (
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The sizes of a plot and of its bars.
const (
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 7 * vg.Length(1)
	// headroom is the height of a plot relative to its highest bar. The legend is
	// above the bars.
	headroom = 1.35
)

// chart is a figure that is plotted.
type chart struct {
	file, title string
	value       func(Figures) float64
}

func charts() []chart {
	return []chart{
		{"met", "requests in target, %", func(f Figures) float64 { return 100 * f.Met }},
		{"recomputed", "tokens recomputed, thousands per thousand requests", func(f Figures) float64 { return f.Recomputed / 1000 }},
		{"cost", "cost of used time, cents per thousand requests in target", func(f Figures) float64 { return f.UsedCost }},
		{"short-p95", "first token of the short class, p95, ms", func(f Figures) float64 { return f.ShortP95 }},
		{"goodput", "engine time of the answers in target, share of the fleet's", func(f Figures) float64 { return f.WorkGoodput }},
	}
}

// drawAll writes all plots into a directory.
func (t Table) drawAll(directory string) error {
	for _, w := range t.workloads() {
		for _, c := range charts() {
			if err := t.draw(w, c, directory); err != nil {
				return err
			}
		}
	}
	return nil
}

// workloads returns the table's workloads in its order.
func (t Table) workloads() []*Workload {
	var list []*Workload
	for _, cell := range t {
		if len(list) == 0 || list[len(list)-1] != cell.Workload {
			list = append(list, cell.Workload)
		}
	}
	return list
}

// draw plots one figure of one workload: a group of bars for each case, and in it a bar for
// each policy with the median over the seeds.
func (t Table) draw(w *Workload, c chart, directory string) error {
	p := plot.New()
	p.Title.Text = w.Name + ": " + c.title
	p.Y.Min = 0
	p.Legend.Top = true
	bars := make(map[string]plotter.Values)
	var policies, cases []string
	for _, cell := range t {
		if cell.Workload != w {
			continue
		}
		if bars[cell.Policy] == nil {
			policies = append(policies, cell.Policy)
		}
		bars[cell.Policy] = append(bars[cell.Policy], cell.Median(c.value))
		if len(cases) == 0 || cases[len(cases)-1] != cell.Case.Name {
			cases = append(cases, cell.Case.Name)
		}
	}
	highest := 0.0
	for i, policy := range policies {
		b, err := plotter.NewBarChart(bars[policy], barWidth)
		if err != nil {
			return err
		}
		b.LineStyle.Width = 0
		b.Color = plotutil.Color(i)
		b.Offset = barWidth * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(b)
		highest = max(highest, slices.Max(bars[policy]))
		p.Legend.Add(policy, b)
	}
	p.Y.Max = headroom * highest
	p.NominalX(cases...)
	return p.Save(plotWidth, plotHeight, filepath.Join(directory, w.Name+"-"+c.file+".svg"))
}
