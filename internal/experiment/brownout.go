package experiment

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/returntime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// spentReturn is when a caller may come back whose retry no budget paid for.
const spentReturn = time.Second

// refuses reports whether an upstream refuses an attempt in a brown-out.
func (r *run) refuses() bool {
	return r.fault.Refusing > 0 && r.now >= faultAt && r.now < rushEnd && r.rng.Float64() < r.fault.Refusing
}

// mayTry reports whether a request's next attempt is paid for. The first is,
// and so is the one that resumes a stream after its upstream was lost; each
// after a refusal is taken from the decider's budget.
func (r *run) mayTry(k *call, refused bool) bool {
	p := k.decider.keepers[r.document(k.kind.Plain)]
	if p == nil {
		return true
	}
	if k.attempts == 0 {
		p.budget.FirstTry()
	}
	return !refused || p.budget.Spend(r.clock())
}

// noteRefusal tells the ejection of an attempt that an upstream refused.
func (r *run) noteRefusal(k *call, id ident.Instance) {
	if p := k.decider.keepers[r.document(k.kind.Plain)]; p != nil {
		p.ejection.Started(r.clock(), id)
		p.ejection.Ended(r.clock(), id, ejection.Sample{Failed: true, Started: r.clock()})
	}
}

// turnAway ends a request whose retry is not paid for. It ran nowhere, so its
// caller hears when to come back.
func (r *run) turnAway(k *call) {
	p := k.decider.keepers[r.document(k.kind.Plain)]
	if k.delivered > 0 || k.entry == nil {
		r.close(k)
		return
	}
	k.turnedAway++
	entry := k.entry
	r.refuse(k, outcome.NewNotRun(outcome.ReasonUpstreamRefused, "", returntime.Spread(spentReturn, k.id())))
	p.gate.Done(r.clock(), entry, 0)
	r.letIn(p)
}
