// Package announced keeps what upstreams announce about themselves in their answers: that they
// leave, that the gateway which received the answer should pause, and a rate limit for all
// gateways together, which package upstreamlimit divides between them.
package announced

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// Brittle is what an answer says of how many requests its upstream can turn away.
type Brittle struct {
	// NotStated: it comes from fields that never say so.
	NotStated bool
	// Is: the upstream falls over if it has to turn more than Rejections requests away in a second.
	Is         bool
	Rejections int
}

// Statement is what one answer announces about its upstream.
type Statement struct {
	// Limit is the rate limit for all gateways together.
	Limit upstreamlimit.Statement
	// Leaving: the upstream leaves and accepts no new work.
	Leaving bool
	// Pause is how long the upstream asks the receiving gateway to send it nothing; 0 if it does
	// not ask for it.
	Pause time.Duration
	// Brittle says whether the upstream falls over if it has to turn many requests away.
	Brittle Brittle
	// Rejected: the answer turned its request away.
	Rejected bool
	// Problem describes what could not be read about Leaving and Pause; empty if everything could.
	Problem string
}
