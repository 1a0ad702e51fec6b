package fleetsim

import (
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The sizes of a plot and of its bars.
const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 8 * vg.Length(1)
	// headroom is the upper end of the axis. Values are at most 1; the legend is above
	// the bars.
	headroom = 1.3
)

// Draw writes a plot of the cells' values into a directory: a group of bars for each kind of
// engine, and in it a bar for each load with the mean over the sizes of fleets.
func Draw(cells []Cell, directory string) error {
	p := plot.New()
	p.Title.Text = "what callers get, less the price of engines"
	p.Y.Min, p.Y.Max = 0, headroom
	p.Legend.Top = true
	var kinds, loads []string
	for _, c := range cells {
		if !slices.Contains(kinds, c.Engine.Name) {
			kinds = append(kinds, c.Engine.Name)
		}
		if !slices.Contains(loads, c.Load.Name) {
			loads = append(loads, c.Load.Name)
		}
	}
	for i, load := range loads {
		bars, err := plotter.NewBarChart(valuesOf(cells, kinds, load), barWidth)
		if err != nil {
			return errors.Wrap(err, "bars of "+load)
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(loads)-1)/2)
		p.Add(bars)
		p.Legend.Add(load, bars)
	}
	p.NominalX(kinds...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(directory, "fleet-value.svg")), "write the plot")
}

// valuesOf returns the mean value of a load's cells for each kind of engine.
func valuesOf(cells []Cell, kinds []string, load string) plotter.Values {
	values := make(plotter.Values, len(kinds))
	for i, kind := range kinds {
		var all []Figures
		for _, c := range cells {
			if c.Engine.Name == kind && c.Load.Name == load {
				all = append(all, c.Figures)
			}
		}
		values[i] = Mean(all).Value()
	}
	return values
}
