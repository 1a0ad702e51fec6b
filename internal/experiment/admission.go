package experiment

import (
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
)

// maxCallerRetries is how often a refused caller comes back as told.
const maxCallerRetries = 5

// admission is one decider's admission for one service: the pure parts that
// admission.Controller wraps for goroutines, driven in virtual time.
type admission struct {
	gate     *gate.Gate
	ejection *ejection.Set
	budget   *retry.Budget
	entries  map[*gate.Entry]*call
}

func newAdmission(now time.Time) *admission {
	return &admission{
		gate:     gate.New(gate.Config{}),
		ejection: ejection.New(ejection.Config{}),
		budget:   retry.NewBudget(retry.BudgetConfig{}, now),
		entries:  make(map[*gate.Entry]*call),
	}
}

// setUpstreams takes over which upstreams are alive.
func (a *admission) setUpstreams(view []blackboard.Upstream, policy Policy, now time.Time) {
	var ids []ident.Instance
	for _, u := range view {
		if u.State == blackboard.Alive {
			ids = append(ids, u.Instance.ID)
		}
	}
	a.ejection.SetUpstreams(ids)
	a.gate.SetSlots(policy.Slots(view, gatewayCount, now))
}

// offer asks for a slot for a request as routing sees it now.
func (a *admission) offer(k *call, d routing.Decision, now time.Time) gate.Decision {
	account := ident.ClientAccount(strconv.Itoa(k.account))
	k.entry = &gate.Entry{Request: gate.Request{
		ID: k.id(), Account: account, Limit: document.AccountLimit{Account: account, Share: 1}, Class: k.kind.Class,
		Predicted: d.FirstToken, PredictedBy: d.FirstTokenBy, Unloaded: d.Unloaded, Remaining: time.Duration(k.outputTokens) * d.BetweenTokens,
		Cost: d.Work, Attempt: uint32(k.refusals + 1),
	}}
	a.entries[k.entry] = k
	return a.gate.Offer(now, k.entry)
}

// admission is that of a request's service at its decider; nil without one.
func (r *run) admission(k *call) *admission { return k.gateway.admissions[r.document(k.kind.Plain)] }

// admit lets a request in, makes it wait, or refuses it.
func (r *run) admit(k *call) {
	doc := r.document(k.kind.Plain)
	a := k.gateway.admissions[doc]
	if a == nil {
		r.dispatch(k)
		return
	}
	d := k.gateway.policies[doc].Decide(doc, k.gateway.views[doc], k.request(doc.Service), r.agenda.Clock())
	decision := a.offer(k, d, r.agenda.Clock())
	if k.refusals > 0 {
		k.retries++
		if !decision.Refused {
			k.retriesAdmitted++
		}
	}
	switch {
	case decision.Granted:
		r.dispatch(k)
	case decision.Refused:
		r.refuse(k, decision.Refusal)
	default:
		entry := k.entry
		r.agenda.At(time.Duration(entry.LatestStart().UnixNano()), func() { r.abandon(k, entry, outcome.ReasonOverloaded) })
	}
	if decision.Evicted != nil {
		r.refuse(a.entries[decision.Evicted.Entry], decision.Evicted.Refusal)
	}
}

// abandon ends a wait that took too long, or whose caller left.
func (r *run) abandon(k *call, entry *gate.Entry, cause outcome.Reason) {
	a := r.admission(k)
	if refusal, waited := a.gate.Abandon(r.agenda.Clock(), entry, cause); waited {
		r.refuse(k, refusal)
	}
}

// refuse tells a caller when to come back; it does so a few times.
func (r *run) refuse(k *call, o outcome.Outcome) {
	delete(r.admission(k).entries, k.entry)
	k.entry = nil
	k.refusals++
	if k.done || k.refusals > maxCallerRetries || o.RetryAfter <= 0 {
		r.finish(k)
		return
	}
	r.agenda.At(r.agenda.Now()+o.RetryAfter, func() {
		if !k.done {
			r.admit(k)
		}
	})
}

// recordFirstToken tells a request's first token to the gate.
func (r *run) recordFirstToken(k *call) {
	if a := r.admission(k); a != nil && k.entry != nil {
		a.gate.FirstToken(r.agenda.Clock(), k.entry)
	}
}

// release gives the slot of an ended request back and lets others in.
func (r *run) release(k *call) {
	a := r.admission(k)
	if a == nil || k.entry == nil {
		return
	}
	a.gate.Done(r.agenda.Clock(), k.entry, 0)
	delete(a.entries, k.entry)
	k.entry = nil
	r.grantWaiting(a)
}

// grantWaiting grants free slots to those who wait.
func (r *run) grantWaiting(a *admission) {
	for {
		granted, expired := a.gate.Next(r.agenda.Clock())
		switch {
		case granted != nil:
			r.dispatch(a.entries[granted])
		case expired != nil:
			r.refuse(a.entries[expired.Entry], expired.Refusal)
		default:
			return
		}
	}
}

// recordAttemptEnd learns from an attempt that ended at an upstream.
func (r *run) recordAttemptEnd(k *call, u *runner, failed bool) {
	a := r.admission(k)
	if a == nil {
		return
	}
	// The time between tokens hardly depends on the queue, so that it tells a
	// slow upstream from one that is only asked for much.
	sample := ejection.Sample{Failed: failed, Started: time.Unix(0, int64(k.sentAt))}
	if n := k.delivered - k.deliveredBefore; n > 1 {
		gap := (r.agenda.Now() - k.sentAt - k.attemptFirstToken) / time.Duration(n-1)
		sample.Latency = gap.Seconds() / k.decision.BetweenTokens.Seconds()
	}
	a.ejection.Ended(r.agenda.Clock(), u.ID, sample)
}
