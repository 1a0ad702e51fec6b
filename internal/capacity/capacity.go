// Package capacity measures what the parts of the system cost at several sizes,
// fits a line to each cost, and computes from the lines what each role costs at
// today's size and at the size that the system has to reach. cmd/capacity writes
// the results into docs/CAPACITY.md. The package is a tool for development.
//
// Processor time is the user and system time of this process, by getrusage:
// wall-clock time would include what else runs on the machine. Memory is the
// memory in use after a garbage collection.
package capacity

import (
	"gonum.org/v1/gonum/stat"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// Unit is the unit of a figure, as the page prints it.
type Unit string

const (
	Microseconds Unit = "us CPU"
	// MicrosPerSecond is the processor time that a running component uses per
	// second: 10000 is 1% of a core.
	MicrosPerSecond Unit = "us CPU/s"
	Bytes           Unit = "B"
	BytesPerSecond  Unit = "B/s"
	PerSecond       Unit = "/s"
	Milliseconds    Unit = "ms"
)

// ID identifies a series.
type ID string

// Series is one figure measured at several sizes.
type Series struct {
	ID ID
	// Description says what is measured, Package which package does the work,
	// and SizeUnit what Sizes count.
	Description, Package, SizeUnit string
	Unit                           Unit
	Sizes                          []int
	// Measure returns the figure at one size.
	Measure func(size int) (float64, error)
}

// Point is one measurement: the figure Y at the size X.
type Point struct{ X, Y float64 }

// Line is a measured series with the line fitted to its points.
type Line struct {
	Series
	Points []Point
	// The figure is about Base + Slope * size.
	Base, Slope float64
	// Residual is the standard deviation of the points from the line, as a
	// fraction of the largest figure.
	Residual float64
}

// At returns the figure at a size: interpolated between measured sizes, and taken
// from the fitted line beyond them.
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
	var xs, ys, residuals []float64
	highest := 0.0
	for _, p := range l.Points {
		xs, ys = append(xs, p.X), append(ys, p.Y)
		highest = max(highest, p.Y)
	}
	l.Base, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range l.Points {
		residuals = append(residuals, p.Y-l.Base-l.Slope*p.X)
	}
	if highest > 0 {
		l.Residual = stat.StdDev(residuals, nil) / highest
	}
}

// Lines are the measured lines by series.
type Lines map[ID]*Line

// at returns a series' figure at a size. It panics if the series is missing, which
// is a bug in this package.
func (l Lines) at(id ID, size float64) float64 {
	line, ok := l[id]
	if !ok {
		panic("capacity: no series " + id)
	}
	return line.At(size)
}

// slope returns by how much a series' figure grows per unit of size. It panics if
// the series is missing.
func (l Lines) slope(id ID) float64 {
	line, ok := l[id]
	if !ok {
		panic("capacity: no series " + id)
	}
	return line.Slope
}
