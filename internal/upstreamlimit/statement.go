// Package upstreamlimit keeps all gateways together within the request rates that overloaded
// upstreams state in their answers.
package upstreamlimit

// Kind tells what an answer says about its upstream's limit.
type Kind int

// Kinds of statements.
const (
	// Unlimited: the answer states no limit.
	Unlimited Kind = iota
	// Limited: the answer states a rate.
	Limited
	// Unreadable: the answer states something that is not a rate. It changes nothing: there may be
	// a limit or none.
	Unreadable
)

// maxRate, in requests per second, is more than any upstream serves. A higher stated rate counts as
// this one.
const maxRate = 1e6

// Statement is what one answer says about its upstream's limit.
type Statement struct {
	Kind Kind
	// Rate is the number of requests per second that the upstream accepts from all gateways
	// together.
	Rate float64
	// Problem describes what could not be read. It may be set even if another part of the answer
	// states a rate.
	Problem string
}

// LimitedTo returns a Statement of the given rate. If the rate is negative or NaN, the Statement is
// Unreadable.
func LimitedTo(rate float64) Statement {
	if !(rate >= 0) {
		return Statement{Kind: Unreadable}
	}
	return Statement{Kind: Limited, Rate: min(rate, maxRate)}
}
