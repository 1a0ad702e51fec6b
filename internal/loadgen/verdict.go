package loadgen

import (
	"fmt"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
)

// Verdict says how a request ended.
type Verdict string

// The verdicts.
const (
	// Whole: the caller has exactly its whole answer.
	Whole Verdict = "whole"
	// Refused: the caller was told that the request was not run.
	Refused Verdict = "refused"
	// Failed: the application itself answered with an error.
	Failed Verdict = "failed"
	// Unknown: the caller was told that the request may have run, until its
	// patience ended.
	Unknown Verdict = "unknown"
	// Wrong: something that is not the request's answer, or a refusal of a
	// request that was executed.
	Wrong Verdict = "wrong"
	// Incomplete: an answer that was called whole lacks its end.
	Incomplete Verdict = "short"
	// Doubled: a token came twice, or a booking was executed twice.
	Doubled Verdict = "doubled"
	// Lost: the caller heard nothing final, or a booking that was confirmed
	// was not executed.
	Lost Verdict = "lost"
)

// Verdicts lists the verdicts in the order of reports.
var Verdicts = []Verdict{Whole, Refused, Failed, Unknown, Wrong, Incomplete, Doubled, Lost}

// BreaksPromise reports whether a verdict breaks a promise.
func (v Verdict) BreaksPromise() bool {
	return v == Wrong || v == Incomplete || v == Doubled || v == Lost
}

// assessment is a verdict with what led to it.
type assessment struct {
	verdict Verdict
	// reason is the gateway's, for refusals, failures and unknown ends.
	reason string
	detail string
}

func assessmentf(verdict Verdict, format string, args ...any) *assessment {
	return &assessment{verdict: verdict, detail: fmt.Sprintf(format, args...)}
}

// assessOutcome returns a finding that a gateway gave its reason for.
func assessOutcome(verdict Verdict, outcome *callerv1.Outcome) *assessment {
	return &assessment{
		verdict: verdict,
		reason:  outcome.GetReason(),
		detail:  outcome.GetReason() + ": " + outcome.GetMessage(),
	}
}

// tokenCheck compares a stream with the answer that the prompt must have.
type tokenCheck struct {
	prompt string
	want   int
	got    []string
}

// add takes consecutive tokens from an index on. It returns what is wrong with
// them, or nil.
func (c *tokenCheck) add(index uint32, tokens []string) *assessment {
	if int(index) < len(c.got) {
		return assessmentf(Doubled, "token %d came again", index)
	}
	if int(index) > len(c.got) {
		return assessmentf(Wrong, "token %d came after %d tokens", index, len(c.got))
	}
	for _, token := range tokens {
		if want := answer.Token(c.prompt, len(c.got)); token != want {
			return assessmentf(Wrong, "token %d is %q, want %q", len(c.got), token, want)
		}
		c.got = append(c.got, token)
	}
	if len(c.got) > c.want {
		return assessmentf(Wrong, "%d tokens, want %d", len(c.got), c.want)
	}
	return nil
}

// assessComplete judges an answer that was called whole.
func (c *tokenCheck) assessComplete() *assessment {
	if len(c.got) < c.want {
		return assessmentf(Incomplete, "%d tokens, want %d", len(c.got), c.want)
	}
	return assessmentf(Whole, "")
}
