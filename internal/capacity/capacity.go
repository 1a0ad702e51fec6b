// Package capacity measures what the parts of the system cost as a function of
// size, fits lines, and works out from them what each role costs at today's
// sizes and at the sizes that the system has to reach. cmd/capacity writes the
// results into docs/CAPACITY.md. It is a tool for development.
//
// Processor time is that of this process, user and system, by getrusage: wall
// clock would also measure what else runs on the machine. Memory is what the
// heap holds after a garbage collection.
package capacity

import (
	"gonum.org/v1/gonum/stat"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// Unit is the unit of a measured figure.
type Unit string

// The units.
const (
	Microseconds Unit = "us CPU"
	// MicrosPerSecond is processor time of a running part: 10000 is 1% of a
	// core.
	MicrosPerSecond Unit = "us CPU/s"
	Bytes           Unit = "B"
	BytesPerSecond  Unit = "B/s"
	PerSecond       Unit = "/s"
	Milliseconds    Unit = "ms"
)

// ID names a series.
type ID string

// Series is one figure measured at several sizes.
type Series struct {
	ID ID
	// Description is measured, by which code, against what size.
	Description, Package, SizeUnit string
	Unit                Unit
	Sizes               []int
	// Measure returns the figure at one size.
	Measure func(size int) (float64, error)
}

// Point is one measurement.
type Point struct{ X, Y float64 }

// Line is a fitted series.
type Line struct {
	Series
	Points []Point
	// Base and Slope: the figure is about Base + Slope * size.
	Base, Slope float64
	// Residual is the standard deviation of the points around the line as a
	// share of the largest point.
	Residual float64
}

// At returns the figure at a size: between measured sizes what lies between
// their figures, and beyond them what the line gives.
func (l *Line) At(size float64) float64 {
	for i := 1; i < len(l.Points); i++ {
		low, high := l.Points[i-1], l.Points[i]
		if size >= low.X && size <= high.X {
			return low.Y + (high.Y-low.Y)*(size-low.X)/(high.X-low.X)
		}
	}
	return max(0, l.Base+l.Slope*size)
}

// Run measures a series and fits its line.
func Run(s Series) (*Line, error) {
	line := &Line{Series: s}
	for _, size := range s.Sizes {
		y, err := s.Measure(size)
		if err != nil {
			return nil, errcode.Wrap(errcode.Internal, err, string(s.ID))
		}
		line.Points = append(line.Points, Point{X: float64(size), Y: y})
	}
	line.fit()
	return line, nil
}

func (l *Line) fit() {
	var xs, ys, rest []float64
	highest := 0.0
	for _, p := range l.Points {
		xs, ys = append(xs, p.X), append(ys, p.Y)
		highest = max(highest, p.Y)
	}
	l.Base, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range l.Points {
		rest = append(rest, p.Y-l.Base-l.Slope*p.X)
	}
	if highest > 0 {
		l.Residual = stat.StdDev(rest, nil) / highest
	}
}

// Lines are all measured lines.
type Lines map[ID]*Line

// at returns a figure. A line that is missing is a fault of this package.
func (l Lines) at(id ID, size float64) float64 {
	line, ok := l[id]
	if !ok {
		panic("capacity: no series " + id)
	}
	return line.At(size)
}

// slope returns what one more of the size costs.
func (l Lines) slope(id ID) float64 {
	line, ok := l[id]
	if !ok {
		panic("capacity: no series " + id)
	}
	return line.Slope
}
