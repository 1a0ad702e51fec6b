// Package slotlease leases the slots of a plain service's upstreams where more gateways share them than
// there are slots.
//
// A gateway alone can't know which slots are free: it hears what the others have in progress some tenths of
// a second late. So one gateway keeps the slots of up to MaxUpstreams upstreams of a service. The others
// ask it for a slot for each call, and give the slot back when the attempt has ended. Whoever gets no answer
// decides alone, see package spread.
//
// Keeper is the decision, a state machine without clock, lock or I/O. Server runs the keepers of a gateway,
// and Client asks them.
package slotlease

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// MaxUpstreams is how many upstreams of a service one gateway keeps.
const MaxUpstreams = 16

// LeaseID identifies an ask, and the lease that it got.
type LeaseID struct {
	// Gateway identifies the incarnation of the gateway that asks, Number the ask at that gateway.
	Gateway string
	Number  uint64
}

// Ask asks for a slot for one attempt of a call.
type Ask struct {
	ID       LeaseID
	Account  ident.ClientAccount
	Priority int
	// Domain is the failure domain of the gateway that asks. Of equal upstreams one there is preferred.
	Domain ident.FailureDomain
	// Wait is how long the call may wait for a slot.
	Wait time.Duration
	// Hold is how long it may need the slot. The lease ends by itself then.
	Hold time.Duration
	// Avoid are upstreams that the gateway must not use.
	Avoid []ident.Instance
}

// Answer is the decision on an ask.
type Answer struct {
	// Upstream is where the slot is; empty if the ask is refused.
	Upstream ident.Instance
	// RetryAfter is the time until a slot would probably be free for a refused ask.
	RetryAfter time.Duration
}

// Decision is the answer to an ask.
type Decision struct {
	ID     LeaseID
	Answer Answer
}

// Upstream is an upstream whose slots a keeper leases.
type Upstream struct {
	ID     ident.Instance
	Domain ident.FailureDomain
	// Slots is how many requests it runs at the same time.
	Slots int
}
