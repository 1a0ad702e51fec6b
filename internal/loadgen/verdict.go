package loadgen

import (
	"fmt"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
)

// Verdict is how a request ended.
type Verdict string

// The verdicts.
const (
	// Whole: the caller received the whole answer and nothing else.
	Whole Verdict = "whole"
	// Refused: the caller gave up after outcomes that the request was not run.
	Refused Verdict = "refused"
	// Failed: the application itself answered with an error.
	Failed Verdict = "failed"
	// Unknown: the caller gave up while the last outcome was that the request
	// may have run.
	Unknown Verdict = "unknown"
	// Wrong: the caller received something that is not the request's answer, or
	// a refusal of a booking that was executed.
	Wrong Verdict = "wrong"
	// Incomplete: an answer lacks its end although its outcome is completed.
	Incomplete Verdict = "short"
	// Doubled: a token was received twice, or a booking was executed twice.
	Doubled Verdict = "doubled"
	// Lost: the caller received no outcome or was rejected, or a booking was
	// confirmed but not executed.
	Lost Verdict = "lost"
)

// Verdicts lists the verdicts in the order in which results are printed.
var Verdicts = []Verdict{Whole, Refused, Failed, Unknown, Wrong, Incomplete, Doubled, Lost}

// BreaksPromise reports whether the verdict shows that the gateways broke a promise
// that they give to callers.
func (v Verdict) BreaksPromise() bool {
	return v == Wrong || v == Incomplete || v == Doubled || v == Lost
}

// assessment is the verdict on a request with the facts behind it.
type assessment struct {
	verdict Verdict
	// reason is the reason in the gateway's outcome; empty if the verdict does
	// not come from an outcome.
	reason string
	detail string
}

func assessmentf(verdict Verdict, format string, args ...any) *assessment {
	return &assessment{verdict: verdict, detail: fmt.Sprintf(format, args...)}
}

// assessOutcome returns a verdict with the reason and message of a gateway's
// outcome.
func assessOutcome(verdict Verdict, outcome *callerv1.Outcome) *assessment {
	return &assessment{
		verdict: verdict,
		reason:  outcome.GetReason(),
		detail:  outcome.GetReason() + ": " + outcome.GetMessage(),
	}
}

// tokenCheck compares a stream with the expected answer to its prompt.
type tokenCheck struct {
	prompt string
	// want is the expected number of tokens.
	want int
	got  []string
}

// add appends consecutive tokens of which the first has the index. It returns an
// assessment if one is wrong, else nil.
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

// assessComplete assesses an answer whose outcome is completed.
func (c *tokenCheck) assessComplete() *assessment {
	if len(c.got) < c.want {
		return assessmentf(Incomplete, "%d tokens, want %d", len(c.got), c.want)
	}
	return assessmentf(Whole, "")
}
