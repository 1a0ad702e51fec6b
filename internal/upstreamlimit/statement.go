// Package upstreamlimit keeps all gateways together within the rate limits that overloaded upstreams
// announce in their answers.
package upstreamlimit

// Kind tells what an answer says about its upstream's limit.
type Kind int

// Kinds of statements.
const (
	// Unlimited: the answer announces no limit.
	Unlimited Kind = iota
	// Limited: the answer announces a rate.
	Limited
	// Unreadable: the answer announces something that is not a rate. Such an answer changes
	// nothing: there may be a limit or none.
	Unreadable
	// NotStated: what was read is not an answer's header, which alone announces limits. It
	// changes nothing.
	NotStated
)

// maxRate, in requests per second, is more than any upstream serves. A higher rate that an
// upstream announces counts as this one.
const maxRate = 1e6

// Statement is what one answer says about its upstream's limit.
type Statement struct {
	Kind Kind
	// Rate is the number of requests per second that the upstream accepts from all gateways
	// together.
	Rate float64
	// Problem describes what could not be read. It may be set even if another part of the answer
	// announces a rate.
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
