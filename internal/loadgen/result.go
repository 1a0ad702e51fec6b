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
	// maxProblems is the maximum number of problems that a result lists.
	maxProblems = 20
)

// Percentiles summarizes a set of times, in milliseconds.
type Percentiles struct {
	// Count is the number of times.
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// KindResult is the result of one kind of request. The percentiles cover requests
// with whole answers only; first tokens and completions count from the time at
// which a request was due.
type KindResult struct {
	Sent     int             `json:"sent"`
	Verdicts map[Verdict]int `json:"verdicts"`
	// Reasons counts the reasons that gateways gave for refused, failed and
	// unknown verdicts.
	Reasons       map[string]int `json:"reasons"`
	FirstToken    Percentiles    `json:"first_token"`
	BetweenTokens Percentiles    `json:"between_tokens"`
	Completion    Percentiles    `json:"completion"`
}

// Problem is one request whose verdict breaks a promise.
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
	// Tries counts the attempts of all requests.
	Tries int `json:"tries"`
	// Cuts counts connections that broke, or were given up as silent, when a
	// gateway may already have accepted the request.
	Cuts int `json:"cuts"`
	// Resumes counts the attempts that resumed a stream.
	Resumes int `json:"resumes"`
	// Audit describes whether bookings were compared with their executions.
	Audit string `json:"audit"`
	// Broken counts the requests whose verdict breaks a promise; Problems lists
	// the first maxProblems of them.
	Broken   int       `json:"broken"`
	Problems []Problem `json:"problems"`
}

// AccountResult counts the requests of one client account.
type AccountResult struct {
	Sent  int `json:"sent"`
	Whole int `json:"whole"`
}

// histograms are the latency histograms of one kind of request.
type histograms struct {
	firstToken, betweenTokens, completion *hdrhistogram.Histogram
}

func newHistograms() histograms {
	return histograms{newHistogram(), newHistogram(), newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// recordTime adds a time to a histogram; times outside its range count as the
// nearest end of the range.
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

// summarize returns the result of a run's requests, without the audit.
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

// Print writes the result as tables for a reader.
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
