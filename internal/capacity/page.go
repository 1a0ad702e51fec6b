package capacity

import (
	"fmt"
	"os"
	"strings"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// The comments that surround a generated part of a page.
const (
	beginMark = "<!-- begin generated: %s -->\n"
	endMark   = "<!-- end generated: %s -->\n"
)

// WritePage rewrites the generated parts of a page. runDescription says when and where the
// lines were measured.
func WritePage(path string, measured []*Line, runDescription string) error {
	lines := Lines{}
	for _, l := range measured {
		lines[l.ID] = l
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errcode.Wrap(errcode.NotFound, err, "read page")
	}
	page := string(data)
	for name, text := range map[string]string{
		"budget": budgetTable(lines),
		"roles":  roleTable(lines),
		"plans":  planTable(lines),
		"slopes": runDescription + "\n\n" + slopeTable(measured),
	} {
		if page, err = replacePart(page, name, text); err != nil {
			return err
		}
	}
	return errcode.Wrap(errcode.Internal, os.WriteFile(path, []byte(page), 0o644), "write page")
}

// replacePart replaces the text between the marks of a generated part. It fails if the page
// has no such part.
func replacePart(page, name, text string) (string, error) {
	begin, end := fmt.Sprintf(beginMark, name), fmt.Sprintf(endMark, name)
	head, rest, ok := strings.Cut(page, begin)
	_, tail, closed := strings.Cut(rest, end)
	if !ok || !closed {
		return "", errcode.Errorf(errcode.InvalidArgument, "page has no generated part %q", name)
	}
	return head + begin + text + end + tail, nil
}

func roleTable(lines Lines) string {
	var b strings.Builder
	b.WriteString("| role | figure | unit | today | target | kind | from |\n|---|---|---|---|---|---|---|\n")
	for _, r := range allRows() {
		var from []string
		for _, id := range r.sources {
			from = append(from, "`"+string(id)+"`")
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.role, r.description, r.unit,
			figure(r.value(lines, Today())), figure(r.value(lines, Target())), r.origin, strings.Join(from, ", "))
	}
	return b.String()
}

func planTable(lines Lines) string {
	var b strings.Builder
	b.WriteString("| change | figure | unit | as built | with the change | from |\n|---|---|---|---|---|---|\n")
	for _, p := range plannedChanges() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | `%s` |\n", p.change, p.description, p.unit,
			figure(p.current(lines, Target())), figure(p.planned(lines, Target())), p.source)
	}
	return b.String()
}

// budgetTable compares each total with its budget and names the two largest parts of the
// total.
func budgetTable(lines Lines) string {
	var b strings.Builder
	b.WriteString("| line | budget | today | target | target without the journal | verdict |\n|---|---|---|---|---|---|\n")
	for _, line := range []struct {
		name   total
		unit   Unit
		budget float64
	}{
		{totalProcessor, MicrosPerSecond, budgetProcessor},
		{totalMemory, Bytes, budgetMemory},
		{totalBytes, BytesPerSecond, budgetBytes},
		{totalAppends, PerSecond, budgetAppends},
	} {
		atToday, atTarget := sumOfTotal(lines, Today(), line.name, ""), sumOfTotal(lines, Target(), line.name, "")
		withoutJournal := sumOfTotal(lines, Target(), line.name, "journal")
		fmt.Fprintf(&b, "| %s (%s) | %s | %s %s | %s %s | %s %s | %s |\n", line.name, line.unit, figure(line.budget),
			figure(atToday), budgetVerdict(atToday, line.budget), figure(atTarget), budgetVerdict(atTarget, line.budget), figure(withoutJournal), budgetVerdict(withoutJournal, line.budget),
			largestParts(lines, line.name))
	}
	atToday, atTarget := lines.at(InForce, Today().Gateways), lines.at(InForce, Target().Gateways)
	fmt.Fprintf(&b, "| configuration in force everywhere, log without delay (%s) | %s | %s %s | %s %s | | |\n", Milliseconds,
		figure(budgetInForce), figure(atToday), budgetVerdict(atToday, budgetInForce), figure(atTarget), budgetVerdict(atTarget, budgetInForce))
	return b.String()
}

func budgetVerdict(value, budget float64) string {
	if value <= budget {
		return "ok"
	}
	return fmt.Sprintf("SHORT by %.1fx", value/budget)
}

// sumOfTotal adds up the figures of a total, except those of the role without.
func sumOfTotal(lines Lines, s Size, of total, without string) float64 {
	sum := 0.0
	for _, r := range allRows() {
		if r.total == of && r.role != without {
			sum += r.value(lines, s)
		}
	}
	return sum
}

// largestParts names the two largest parts of a total at the target size.
func largestParts(lines Lines, of total) string {
	var first, second row
	var a, b float64
	for _, r := range allRows() {
		if r.total != of {
			continue
		}
		v := r.value(lines, Target())
		switch {
		case v > a:
			second, b = first, a
			first, a = r, v
		case v > b:
			second, b = r, v
		}
	}
	return fmt.Sprintf("breaks first: %s, %s (%s); then %s, %s (%s)",
		first.role, first.description, figure(a), second.role, second.description, figure(b))
}

func slopeTable(measured []*Line) string {
	var b strings.Builder
	b.WriteString("| series | what | package | unit | sizes: figures | base | slope | residual |\n|---|---|---|---|---|---|---|---|\n")
	for _, l := range measured {
		var points []string
		for _, p := range l.Points {
			points = append(points, fmt.Sprintf("%s: %s", figure(p.X), figure(p.Y)))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s per %s | %.0f%% |\n", l.ID, l.Description, l.Package, l.Unit,
			strings.Join(points, ", "), figure(l.Base), figure(l.Slope), l.SizeUnit, 100*l.Residual)
	}
	return b.String()
}
