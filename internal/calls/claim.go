package calls

import (
	"sync/atomic"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// phase is how far a claim of this gateway has come. Only one step leads out
// of waiting, and it is atomic: a call is either dispatched, or given up, or
// handed to a peer.
//
// What would go wrong otherwise: the caller's deadline passes, or the gateway
// starts to leave, while the claim is just being won; the caller hears not_run
// and the call is dispatched all the same.
type phase = int32

const (
	waiting phase = iota
	dispatched
	abandoned
	handedOver
)

// claim is one claim of this gateway.
type claim struct {
	call   Call
	record journal.Claim
	phase  atomic.Int32
	// sent: the record was part of an append that may have taken effect;
	// doubtful: the answer of such an append was lost. Both are guarded by
	// the committer's mutex.
	sent, answerLost bool
	// resolved gets the verdict, once.
	resolved chan resolution
	// handedOverOutcome gets what the caller is told when the claim was handed over.
	handedOverOutcome chan outcome.Outcome
	// done is closed when the dispatched call has ended with result.
	done   chan struct{}
	result dispatchResult
}

// resolution is what became of a claim: the verdict of the log, or a refusal
// before the log had it.
type resolution struct {
	fold.Decision
	// refused: the record is not in the log and never will be.
	notAppended bool
	// lost: this reader can no longer tell.
	unreadable bool
}

// won reports whether the claim owns its key.
func (r resolution) won() bool { return !r.notAppended && !r.unreadable && r.Verdict == fold.Won }

// newClaim returns a claim that waits for its verdict.
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

// leaveWaiting moves the claim out of waiting and reports whether it did.
func (cl *claim) leaveWaiting(to phase) bool { return cl.phase.CompareAndSwap(waiting, to) }

// isTakeover reports whether the claim takes over only to find out an outcome. Its
// call is not here, and ending such a claim without the upstream's word would
// open a key whose call may still run.
func (cl *claim) isTakeover() bool { return cl.record.Supersedes != journal.ClaimID{} }

// resolve delivers the verdict. Only the first one counts.
func (cl *claim) resolve(r resolution) {
	select {
	case cl.resolved <- r:
	default:
	}
}
