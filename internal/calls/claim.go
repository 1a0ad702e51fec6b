package calls

import (
	"sync/atomic"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// phase is the state of a claim of this gateway. A claim leaves waiting once,
// by an atomic operation: its call is either dispatched, abandoned or handed
// over to a peer.
//
// Without the atomic operation, a claim could win just when its caller's deadline
// passes or the gateway begins to leave: the caller would be told not_run, and the
// call would be dispatched all the same.
type phase = int32

const (
	waiting phase = iota
	dispatched
	abandoned
	handedOver
)

// claim is a claim of this gateway, from its creation to the end of its call.
type claim struct {
	call   Call
	record journal.Claim
	phase  atomic.Int32
	// sent reports that the record was in an append that may have taken
	// effect. answerLost reports that the answer of such an append was lost.
	// The committer's mutex guards both fields.
	sent, answerLost bool
	// resolved receives one resolution.
	resolved chan resolution
	// handedOverOutcome receives what the caller is told after the gateway
	// has tried to hand the call over.
	handedOverOutcome chan outcome.Outcome
	// done is closed when the dispatched call has ended and result is set.
	done   chan struct{}
	result dispatchResult
}

// resolution says whether a claim owns its key. It holds the log's decision
// unless notAppended or unreadable is set.
type resolution struct {
	fold.Decision
	// notAppended reports that the record is not in the log and never will be.
	notAppended bool
	// unreadable reports that the record may have expired before this gateway
	// read it, so that this gateway cannot know the verdict.
	unreadable bool
}

// won reports whether the claim owns its key.
func (r resolution) won() bool { return !r.notAppended && !r.unreadable && r.Verdict == fold.Won }

// newClaim returns a waiting claim. supersedes is zero for an ordinary claim,
// or else the claim that this one takes over from.
func (c *Coordinator) newClaim(call Call, digest journal.Digest, target journal.Target, supersedes journal.ClaimID) *claim {
	return &claim{
		call: call,
		record: journal.Claim{
			Head: journal.Head{
				Key:      call.Key,
				ID:       journal.NewClaimID(),
				Digest:   digest,
				IssuedAt: call.IssuedAt,
			},
			Holder:            c.cfg.Instance,
			HolderIncarnation: c.cfg.Incarnation,
			Attempt:           call.Attempt,
			Target:            target,
			Supersedes:        supersedes,
		},
		resolved:          make(chan resolution, 1),
		handedOverOutcome: make(chan outcome.Outcome, 1),
		done:              make(chan struct{}),
	}
}

// leaveWaiting changes the phase from waiting to the given one. It returns false
// and changes nothing when the claim was not waiting.
func (cl *claim) leaveWaiting(to phase) bool { return cl.phase.CompareAndSwap(waiting, to) }

// isTakeover reports whether the claim takes another one over, only to find out
// the outcome of its call. Such a claim has no call to dispatch. Ending it before
// the upstream has answered would open a key whose call may still run.
func (cl *claim) isTakeover() bool { return cl.record.Supersedes != journal.ClaimID{} }

// resolve delivers a resolution. Those after the first are dropped.
func (cl *claim) resolve(r resolution) {
	select {
	case cl.resolved <- r:
	default:
	}
}
