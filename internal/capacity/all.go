package capacity

import (
	"fmt"
	"io"
	"slices"
)

// All returns all series. fleetFile is the file that TestFleets wrote.
func All(fleetFile string) ([]Series, error) {
	fleets, err := readFleets(fleetFile)
	if err != nil {
		return nil, err
	}
	return slices.Concat(
		membershipSeries(fleets), probingSeries(), routingSeries(), configurationSeries(),
		journalSeries(), controlSeries(), streamSeries(),
	), nil
}

// Measure measures series one after the other and writes a line to progress after
// each.
func Measure(series []Series, progress io.Writer) ([]*Line, error) {
	var lines []*Line
	for _, s := range series {
		line, err := Run(s)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(progress, "%-24s %s + %s per %s (%s), residual %.0f%%: %v\n", s.ID,
			figure(line.Base), figure(line.Slope), s.SizeUnit, s.Unit, 100*line.Residual, line.Points)
		lines = append(lines, line)
	}
	return lines, nil
}

// figure formats a number with three significant digits, from 1000 on as a whole
// number with separated thousands.
func figure(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1000 || v <= -1000:
		return thousands(int64(v + 0.5))
	}
	return fmt.Sprintf("%.3g", v)
}

// thousands formats a number with its digits in groups of three.
func thousands(n int64) string {
	if n < 0 {
		return "-" + thousands(-n)
	}
	if n < 1000 {
		return fmt.Sprint(n)
	}
	return fmt.Sprintf("%s %03d", thousands(n/1000), n%1000)
}
