package capacity

import (
	"math"
	"testing"
)

func TestLine(t *testing.T) {
	figures := map[int]float64{0: 5, 10: 25, 20: 45, 40: 85}
	line, err := Run(Series{Sizes: []int{0, 10, 20, 40}, Measure: func(n int) (float64, error) { return figures[n], nil }})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Base-5) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("got %v + %v x, residual %v; want 5 + 2 x, residual 0", line.Base, line.Slope, line.Residual)
	}
	bent := &Line{Points: []Point{{0, 0}, {10, 10}, {20, 40}}, Slope: 2}
	for size, want := range map[float64]float64{5: 5, 15: 25, 20: 40, 30: 60} {
		if got := bent.At(size); got != want {
			t.Errorf("at %v: got %v, want %v: what lies between the points, beyond them the line", size, got, want)
		}
	}
}

func TestGeneratedPartAlone(t *testing.T) {
	const page = "before\n<!-- begin generated: a -->\nold\n<!-- end generated: a -->\nafter\n"
	got, err := replacePart(page, "a", "new\n")
	if want := "before\n<!-- begin generated: a -->\nnew\n<!-- end generated: a -->\nafter\n"; err != nil || got != want {
		t.Errorf("got %q, %v; want %q", got, err, want)
	}
	if _, err := replacePart(page, "b", "new\n"); err == nil {
		t.Error("a page without the part was rewritten")
	}
}
