// Package relay passes a request to an upstream through another gateway that reaches it, where this
// gateway has lost its own path.
//
// The gateway whose caller sent the request decides everything: the upstream, the attempts, the
// budgets, what an answer means. The relaying gateway makes one exchange with the named upstream over
// its own connections, never through a third gateway, and passes the answer on as it arrives. It
// records what the answer announces, since the upstream spoke to it.
package relay

// Path is the URL path of relayed requests, on the gateways' own listener.
const Path = "/relay"

// Header fields of the answer to a relayed request. An upstream's own fields of these names are
// dropped.
const (
	// fieldOutcome tells what the answer is; see the outcomes.
	fieldOutcome = "Relay-Outcome"
	// fieldReason is the reason of an outcome other than outcomeAnswer.
	fieldReason = "Relay-Reason"
	// fieldLength is the length that the answer to a HEAD request states.
	fieldLength = "Relay-Length"
	// fieldEnd is a trailer: the framing and the ending of the upstream's answer, and whether its
	// process should be asked for. An answer that broke off has none, and breaks off too.
	fieldEnd = "Relay-End"
)

// The outcomes.
const (
	// outcomeAnswer: status, header and body are the upstream's.
	outcomeAnswer = "answer"
	// outcomeConnected answers a request that asked for a connection only.
	outcomeConnected = "connected"
	// outcomeNotSent: nothing was sent to the upstream.
	outcomeNotSent = "not-sent"
	// outcomeUnknownSender: nothing was sent, since the sender is no gateway that is known here.
	outcomeUnknownSender = "unknown-sender"
	// outcomeNotReached: nothing was sent, since this gateway does not reach the upstream either.
	outcomeNotReached = "not-reached"
	// outcomeRefused is like outcomeNotReached, and the upstream's host refuses connections.
	outcomeRefused = "refused"
	// outcomeNoAnswer: the request may have been sent, and no valid answer came.
	outcomeNoAnswer = "no-answer"
)
