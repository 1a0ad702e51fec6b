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

// maxCallerRetries is how often a refused caller retries after its retry-after time.
const maxCallerRetries = 5

// admission is one gateway's admission for one service. It consists of the parts that
// admission.Controller makes safe for goroutines, here in virtual time.
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

// setUpstreams passes on which upstreams are alive and how many slots they give the gateway.
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

// offer asks the gate for a slot for a request, with the times that routing predicts for it.
func (a *admission) offer(k *call, d routing.Decision, now time.Time) gate.Decision {
	account := ident.ClientAccount(strconv.Itoa(k.account))
	k.entry = &gate.Entry{Request: gate.Request{
		ID: k.id(), Account: account, Limit: document.AccountLimit{Account: account, Share: 1}, Class: k.kind.Class,
		PredictedFirstToken: d.FirstToken, PredictedFirstTokenP80: d.FirstTokenBy, UnloadedFirstToken: d.Unloaded, PredictedAfterFirstToken: time.Duration(k.outputTokens) * d.BetweenTokens,
		Cost: d.EngineSeconds, Attempt: uint32(k.refusals + 1),
	}}
	a.entries[k.entry] = k
	return a.gate.Offer(now, k.entry)
}

// admission returns the admission of a request's service at its gateway, or nil if the policy
// has none.
func (r *run) admission(k *call) *admission { return k.gateway.admissions[r.document(k.kind.Plain)] }

// admit sends a request, lets it wait, or refuses it. Policies without admission send every
// request.
func (r *run) admit(k *call) {
	doc := r.document(k.kind.Plain)
	a := k.gateway.admissions[doc]
	if a == nil {
		r.dispatch(k)
		return
	}
	d := k.gateway.policies[doc].Decide(doc, k.gateway.views[doc], k.request(doc.Service), r.events.Clock())
	decision := a.offer(k, d, r.events.Clock())
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
		r.events.At(time.Duration(entry.LatestStart().UnixNano()), func() { r.abandon(k, entry, outcome.ReasonOverloaded) })
	}
	if decision.Evicted != nil {
		r.refuse(a.entries[decision.Evicted.Entry], decision.Evicted.Refusal)
	}
}

// abandon ends a request's wait because it took too long or because the caller gave up.
func (r *run) abandon(k *call, entry *gate.Entry, cause outcome.Reason) {
	a := r.admission(k)
	if refusal, waited := a.gate.Abandon(r.events.Clock(), entry, cause); waited {
		r.refuse(k, refusal)
	}
}

// refuse refuses a request. Its caller retries after the retry-after time, at most
// maxCallerRetries times.
func (r *run) refuse(k *call, o outcome.Outcome) {
	delete(r.admission(k).entries, k.entry)
	k.entry = nil
	k.refusals++
	if k.done || k.refusals > maxCallerRetries || o.RetryAfter <= 0 {
		r.finish(k)
		return
	}
	r.events.At(r.events.Now()+o.RetryAfter, func() {
		if !k.done {
			r.admit(k)
		}
	})
}

// recordFirstToken reports a request's first token to the gate.
func (r *run) recordFirstToken(k *call) {
	if a := r.admission(k); a != nil && k.entry != nil {
		a.gate.FirstToken(r.events.Clock(), k.entry)
	}
}

// release returns the slot of an ended request and grants free slots to waiting requests.
func (r *run) release(k *call) {
	a := r.admission(k)
	if a == nil || k.entry == nil {
		return
	}
	a.gate.Done(r.events.Clock(), k.entry, 0)
	delete(a.entries, k.entry)
	k.entry = nil
	r.grantWaiting(a)
}

// grantWaiting grants free slots to waiting requests and refuses those that waited too long.
func (r *run) grantWaiting(a *admission) {
	for {
		granted, expired := a.gate.Next(r.events.Clock())
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

// recordAttemptEnd reports an attempt that ended at an upstream to the outlier ejection.
func (r *run) recordAttemptEnd(k *call, u *runner, failed bool) {
	a := r.admission(k)
	if a == nil {
		return
	}
	// The time between tokens hardly depends on the queue. It therefore
	// distinguishes a slow upstream from one that only has many requests.
	sample := ejection.Sample{Failed: failed, Started: time.Unix(0, int64(k.sentAt))}
	if n := k.delivered - k.deliveredBefore; n > 1 {
		gap := (r.events.Now() - k.sentAt - k.attemptFirstToken) / time.Duration(n-1)
		sample.Latency = gap.Seconds() / k.decision.BetweenTokens.Seconds()
	}
	a.ejection.RecordAttemptEnd(r.events.Clock(), u.ID, sample)
}
