package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms' range in microseconds, and their precision.
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	// maxProblems bounds the problems that a result lists.
	maxProblems = 20
)

// Percentiles are in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// KindResult is the result of one kind of request. Times count from when a
// request was due; only whole answers are in them.
type KindResult struct {
	Sent     int             `json:"sent"`
	Verdicts map[Verdict]int `json:"verdicts"`
	// Reasons counts the gateways' reasons for refused, failed and unknown
	// ends.
	Reasons       map[string]int `json:"reasons"`
	FirstToken    Percentiles    `json:"first_token"`
	BetweenTokens Percentiles    `json:"between_tokens"`
	Completion    Percentiles    `json:"completion"`
}

// Problem is one answer that broke a promise.
type Problem struct {
	Kind    Kind    `json:"kind"`
	Request string  `json:"request"`
	Verdict Verdict `json:"verdict"`
	Detail  string  `json:"detail"`
}

// Result is the result of a run.
type Result struct {
	Seconds float64              `json:"seconds"`
	Kinds   map[Kind]*KindResult `json:"kinds"`
	// Accounts counts sent and whole answers by client account.
	Accounts map[string]*AccountResult `json:"accounts"`
	// Tries counts requests to gateways, first ones included.
	Tries int `json:"tries"`
	// Cuts counts connections that broke, or were given up as silent, after
	// a request may have been taken.
	Cuts int `json:"cuts"`
	// Resumes counts streams that were resumed.
	Resumes int `json:"resumes"`
	// Audit says whether bookings were compared with their executions.
	Audit    string    `json:"audit"`
	Broken   int       `json:"broken"`
	Problems []Problem `json:"problems"`
}

// AccountResult is the share of one client account.
type AccountResult struct {
	Sent  int `json:"sent"`
	Whole int `json:"whole"`
}

// histograms are those of one kind.
type histograms struct {
	firstToken, betweenTokens, completion *hdrhistogram.Histogram
}

func newHistograms() histograms {
	return histograms{newHistogram(), newHistogram(), newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// recordTime adds a time; the range's end stands for longer ones.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P95:   millis(h.ValueAtQuantile(95)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}

// summarize makes the result of all requests.
func summarize(all []*finishedRequest, elapsed time.Duration) *Result {
	result := &Result{
		Seconds:  elapsed.Seconds(),
		Kinds:    make(map[Kind]*KindResult),
		Accounts: make(map[string]*AccountResult),
		Problems: []Problem{},
	}
	times := make(map[Kind]histograms)
	for _, kind := range Kinds {
		result.Kinds[kind] = &KindResult{Verdicts: make(map[Verdict]int), Reasons: make(map[string]int)}
		times[kind] = newHistograms()
	}
	for _, e := range all {
		result.add(e, times[e.arrival.Kind])
	}
	for kind, h := range times {
		k := result.Kinds[kind]
		k.FirstToken = percentiles(h.firstToken)
		k.BetweenTokens = percentiles(h.betweenTokens)
		k.Completion = percentiles(h.completion)
	}
	return result
}

func (r *Result) add(e *finishedRequest, h histograms) {
	k := r.Kinds[e.arrival.Kind]
	k.Sent++
	k.Verdicts[e.assessment.verdict]++
	if e.assessment.reason != "" {
		k.Reasons[e.assessment.reason]++
	}
	r.Tries += e.tries
	r.Cuts += e.cuts
	r.Resumes += e.resumes
	account := r.account(string(e.arrival.Account.Name))
	account.Sent++
	if e.assessment.verdict.BreaksPromise() {
		r.addProblem(e)
	}
	if e.assessment.verdict != Whole {
		return
	}
	account.Whole++
	recordTime(h.completion, e.completion)
	if e.arrival.Kind == Booking {
		return
	}
	recordTime(h.firstToken, e.times.firstToken)
	for _, d := range e.times.betweenTokens {
		recordTime(h.betweenTokens, d)
	}
}

func (r *Result) account(name string) *AccountResult {
	a, ok := r.Accounts[name]
	if !ok {
		a = &AccountResult{}
		r.Accounts[name] = a
	}
	return a
}

func (r *Result) addProblem(e *finishedRequest) {
	r.Broken++
	if len(r.Problems) >= maxProblems {
		return
	}
	r.Problems = append(r.Problems, Problem{
		Kind:    e.arrival.Kind,
		Request: e.requestID,
		Verdict: e.assessment.verdict,
		Detail:  e.assessment.detail,
	})
}

// Print writes the result for a person.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "kind\tsent\t")
	for _, verdict := range Verdicts {
		fmt.Fprintf(w, "%s\t", verdict)
	}
	fmt.Fprintln(w)
	for _, kind := range Kinds {
		k := r.Kinds[kind]
		fmt.Fprintf(w, "%s\t%d\t", kind, k.Sent)
		for _, verdict := range Verdicts {
			fmt.Fprintf(w, "%d\t", k.Verdicts[verdict])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nmilliseconds\tcount\tp50\tp95\tp99\tmax\t")
	for _, kind := range Kinds {
		k := r.Kinds[kind]
		printPercentiles(w, string(kind)+" first token", k.FirstToken)
		printPercentiles(w, string(kind)+" between tokens", k.BetweenTokens)
		printPercentiles(w, string(kind)+" completion", k.Completion)
	}
	fmt.Fprintf(w, "\n%.1f s, %d tries, %d cuts, %d resumes, audit: %s\n", r.Seconds, r.Tries, r.Cuts, r.Resumes, r.Audit)
	for _, kind := range Kinds {
		for _, reason := range slices.Sorted(maps.Keys(r.Kinds[kind].Reasons)) {
			fmt.Fprintf(w, "%s not answered because of %s: %d\n", kind, reason, r.Kinds[kind].Reasons[reason])
		}
	}
	for _, p := range r.Problems {
		fmt.Fprintf(w, "%s %s: %s: %s\n", p.Kind, p.Request, p.Verdict, p.Detail)
	}
	return w.Flush()
}

func printPercentiles(w io.Writer, name string, p Percentiles) {
	if p.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, p.Count, p.P50, p.P95, p.P99, p.Max)
}
