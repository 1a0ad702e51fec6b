package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Crash lists the features of the requests that one or more gateways had in progress at an upstream
// when its process ended.
type Crash struct {
	// Upstream is the hash of the upstream's ID that Config.Key returns.
	Upstream uint32
	// Software is what the upstream ran.
	Software Software
	// Age is the time since the crash.
	Age time.Duration
	// Marks identify the features of the interrupted requests.
	Marks []ident.Mark
}

// Ruling is what a Verdict says.
type Ruling int

// The rulings.
const (
	// Convicted: requests with the feature, together with all of Verdict.With, are barred.
	Convicted Ruling = iota + 1
	// Cleared: a request with the feature was answered completely, or an operator cleared it. Only later
	// crashes count against it.
	Cleared
	// Served: requests with the feature were answered with a success at some time. Crashes count
	// against it, but it takes more of them to convict it.
	Served
)

// Verdict is what a gateway says of a feature.
type Verdict struct {
	Feature ident.Feature
	Ruling  Ruling
	// With are features that are convicted together with it.
	With []ident.Feature
	// Software is what ran in all the crashes, or what answered a request with the feature;
	// UnknownSoftware for several or all.
	Software Software
	// Age is the time since the verdict, and Idle the time since a barred request last arrived at
	// any gateway.
	Age, Idle time.Duration
}

// Report is the report that gateways exchange. Reports may arrive in any order and more than
// once.
type Report struct {
	Crashes []Crash
	// Doubts are interruptions of which it is open whether they were crashes.
	Doubts   []Crash
	Verdicts []Verdict
}

// Empty reports whether the report contains nothing.
func (r Report) Empty() bool { return len(r.Crashes)+len(r.Doubts)+len(r.Verdicts) == 0 }

// Aged returns a copy of the report with all ages increased.
func (r Report) Aged(by time.Duration) Report {
	out := Report{Crashes: slices.Clone(r.Crashes), Doubts: slices.Clone(r.Doubts), Verdicts: slices.Clone(r.Verdicts)}
	for _, list := range [][]Crash{out.Crashes, out.Doubts} {
		for i := range list {
			list[i].Age += by
		}
	}
	for i := range out.Verdicts {
		out.Verdicts[i].Age += by
		out.Verdicts[i].Idle += by
	}
	return out
}

// Merge merges the reports of two groups of gateways, bounded to the size of a message.
func (r Report) Merge(o Report) Report {
	if o.Empty() {
		return r
	}
	out := Report{Crashes: cloneCrashes(r.Crashes), Doubts: cloneCrashes(r.Doubts), Verdicts: slices.Clone(r.Verdicts)}
	for i := range o.Crashes {
		out.Crashes = addCrash(out.Crashes, &o.Crashes[i])
	}
	for i := range o.Doubts {
		out.Doubts = addCrash(out.Doubts, &o.Doubts[i])
	}
	for _, v := range o.Verdicts {
		out.addVerdict(v)
	}
	out.limit(maxMerged, maxMerged(ident.ContentFeature), maxMergedVerdicts)
	return out
}

func cloneCrashes(in []Crash) []Crash {
	out := slices.Clone(in)
	for i := range out {
		out[i].Marks = slices.Clone(out[i].Marks)
	}
	return out
}

// addCrash merges a crash into the same upstream's crash at about the same time, if there is one.
func addCrash(list []Crash, c *Crash) []Crash {
	for i := range list {
		known := &list[i]
		if known.Upstream == c.Upstream && (known.Age-c.Age).Abs() < sameCrashWindow {
			known.Software = max(known.Software, c.Software)
			known.Marks = union(known.Marks, c.Marks)
			return list
		}
	}
	added := *c
	added.Marks = slices.Clone(c.Marks)
	return append(list, added)
}

// union appends to a the elements of b that it lacks.
func union(a, b []ident.Mark) []ident.Mark {
	for _, x := range b {
		if !slices.Contains(a, x) {
			a = append(a, x)
		}
	}
	return a
}

// addVerdict adds a verdict. Of two with the same ruling on a feature the one that says more stays, with the
// shorter idle time of the two: the conviction with fewer companions, or the newer one of the others.
// Verdicts with different rulings all stay.
func (r *Report) addVerdict(v Verdict) {
	for i := range r.Verdicts {
		known := &r.Verdicts[i]
		if known.Feature != v.Feature || known.Ruling != v.Ruling || v.Ruling == Cleared && known.Software != v.Software {
			continue
		}
		idle := min(known.Idle, v.Idle)
		if v.Ruling == Convicted && len(v.With) < len(known.With) || v.Ruling != Convicted && v.Age < known.Age {
			*known = v
		}
		known.Idle = idle
		return
	}
	r.Verdicts = append(r.Verdicts, v)
}

// maxReported and maxMerged return the most marks of a kind in one gateway's report, and in a
// collector's merged report.
func maxReported(kind ident.FeatureKind) int { return rulesByKind[kind].maxReported }
func maxMerged(kind ident.FeatureKind) int   { return rulesByKind[kind].maxMerged }

// maxDoubtMarks bounds the marks of a kind of doubtful interruptions in one gateway's report.
const maxDoubtMarks = 8

// limit cuts the report down to the size of one message: it drops marks, those of the oldest
// crashes first, then crashes without marks, and the verdicts that were idle for longest.
func (r *Report) limit(most func(ident.FeatureKind) int, doubtMarks, verdicts int) {
	r.Crashes = limitMarks(r.Crashes, most)
	r.Doubts = limitMarks(r.Doubts, func(ident.FeatureKind) int { return doubtMarks })
	if len(r.Verdicts) > verdicts {
		slices.SortStableFunc(r.Verdicts, func(a, b Verdict) int { return cmp.Compare(a.Idle, b.Idle) })
		r.Verdicts = r.Verdicts[:verdicts]
	}
}

// limitMarks keeps the marks of the newest crashes, so many of each kind.
func limitMarks(list []Crash, most func(ident.FeatureKind) int) []Crash {
	if len(list) == 0 {
		return nil
	}
	slices.SortStableFunc(list, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	left := make(map[ident.FeatureKind]int)
	for _, kind := range ident.FeatureKinds {
		left[kind] = most(kind)
	}
	out := list[:0]
	for _, c := range list {
		c.Marks = slices.DeleteFunc(c.Marks, func(m ident.Mark) bool {
			left[m.Feature.Kind]--
			return left[m.Feature.Kind] < 0
		})
		if len(c.Marks) > 0 {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}
