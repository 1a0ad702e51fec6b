package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Crash is what one or more gateways had at an upstream when its process ended.
type Crash struct {
	// Upstream stands for the ID of the upstream's life.
	Upstream uint32
	// Age is how long ago it ended.
	Age time.Duration
	// Marks are of the requests that it broke off.
	Marks []ident.Mark
}

// Verdict is what was found of a content.
type Verdict struct {
	Content ident.Content
	// Age is how long ago it was found, and Idle how long no request with the content has
	// come to any gateway.
	Age, Idle time.Duration
	// Cleared: a request with the content was answered whole, or an operator cleared it.
	// Only what ended later counts against it.
	Cleared bool
}

// Words are what gateways tell each other. They may come in any order and more than once.
type Words struct {
	Crashes  []Crash
	Verdicts []Verdict
}

// Empty reports whether there is nothing to tell.
func (w Words) Empty() bool { return len(w.Crashes) == 0 && len(w.Verdicts) == 0 }

// Aged returns the words as of some time later.
func (w Words) Aged(by time.Duration) Words {
	out := Words{Crashes: slices.Clone(w.Crashes), Verdicts: slices.Clone(w.Verdicts)}
	for i := range out.Crashes {
		out.Crashes[i].Age += by
	}
	for i := range out.Verdicts {
		out.Verdicts[i].Age += by
		out.Verdicts[i].Idle += by
	}
	return out
}

// Plus returns the words of two groups of gateways as one, bounded for a message.
func (w Words) Plus(o Words) Words {
	if o.Empty() {
		return w
	}
	out := Words{Crashes: cloneCrashes(w.Crashes), Verdicts: slices.Clone(w.Verdicts)}
	for i := range o.Crashes {
		out.addCrash(&o.Crashes[i])
	}
	for _, v := range o.Verdicts {
		out.addVerdict(v)
	}
	out.limit(maxMergedMarks, maxVerdicts)
	return out
}

func cloneCrashes(in []Crash) []Crash {
	out := slices.Clone(in)
	for i := range out {
		out[i].Marks = slices.Clone(out[i].Marks)
	}
	return out
}

func (w *Words) addCrash(c *Crash) {
	for i := range w.Crashes {
		known := &w.Crashes[i]
		if known.Upstream == c.Upstream && (known.Age-c.Age).Abs() < sameCrashWindow {
			known.Marks = union(known.Marks, c.Marks)
			return
		}
	}
	w.Crashes = append(w.Crashes, Crash{Upstream: c.Upstream, Age: c.Age, Marks: slices.Clone(c.Marks)})
}

func union(a, b []ident.Mark) []ident.Mark {
	for _, x := range b {
		if !slices.Contains(a, x) {
			a = append(a, x)
		}
	}
	return a
}

func (w *Words) addVerdict(v Verdict) {
	for i := range w.Verdicts {
		known := &w.Verdicts[i]
		if known.Content != v.Content {
			continue
		}
		idle := min(known.Idle, v.Idle)
		var now time.Time
		if supersedes(v.Cleared, now.Add(-v.Age), known.Cleared, now.Add(-known.Age)) {
			*known = v
		}
		known.Idle = idle
		return
	}
	w.Verdicts = append(w.Verdicts, v)
}

// limit leaves out what is too much for one message: crashes by age, and of those that
// stay the marks beyond a number; and the verdicts that were idle for longest.
func (w *Words) limit(marks, verdicts int) {
	slices.SortStableFunc(w.Crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	left := marks
	for i := range w.Crashes {
		c := &w.Crashes[i]
		c.Marks = c.Marks[:min(left, len(c.Marks))]
		left -= len(c.Marks)
	}
	w.Crashes = slices.DeleteFunc(w.Crashes, func(c Crash) bool { return len(c.Marks) == 0 })
	if len(w.Verdicts) > verdicts {
		slices.SortStableFunc(w.Verdicts, func(a, b Verdict) int { return cmp.Compare(a.Idle, b.Idle) })
		w.Verdicts = w.Verdicts[:verdicts]
	}
	if len(w.Crashes) == 0 {
		w.Crashes = nil
	}
}
