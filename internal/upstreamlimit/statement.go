// Package upstreamlimit keeps all gateways together within the rates that upstreams in
// need name in their answers.
package upstreamlimit

// Kind is what an answer says of its upstream's limit.
type Kind int

// The kinds.
const (
	// Unlimited: it names none.
	Unlimited Kind = iota
	// Limited: it names a rate.
	Limited
	// Unreadable: it names something that is no rate, which says neither that there is a
	// limit nor that there is none.
	Unreadable
)

// mostRate, requests a second, is above what any upstream serves, so that a limit beyond
// it counts as this one.
const maxRate = 1e6

// Statement is what one answer says of its upstream's limit.
type Statement struct {
	Kind Kind
	// Rate is how many requests a second the upstream takes from all gateways together.
	Rate float64
	// Problem is what could not be read, also where another part of the answer could.
	Problem string
}

// RateOf returns a statement that names a rate. A negative one, or no number, is unreadable.
func RateOf(rate float64) Statement {
	if !(rate >= 0) {
		return Statement{Kind: Unreadable}
	}
	return Statement{Kind: Limited, Rate: min(rate, maxRate)}
}
