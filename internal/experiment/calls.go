package experiment

import (
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

// attemptBits is the number of low bits of a token's tag that hold the attempt's number.
const attemptBits = 8

// arrive handles the arrival of a request.
func (r *run) arrive(k *call) {
	if k.kind.Patience > 0 {
		r.events.At(r.events.Now()+k.kind.Patience, func() { r.giveUp(k) })
	}
	r.admit(k)
}

// giveUp ends a request whose caller no longer waits for the first token.
func (r *run) giveUp(k *call) {
	if k.done || k.delivered > 0 {
		return
	}
	k.gaveUp = true
	k.done = true
	r.openRequests--
	if k.entry != nil && k.entry.Waiting() {
		r.abandon(k, k.entry, outcome.ReasonCancelled)
		return
	}
	if k.runner != nil {
		k.runner.model.Cancel(r.events.Clock(), k.id())
	}
	r.endAttempt(k, routing.ResultCancelled)
	r.release(k)
}

// finish marks a request as ended and returns its slot.
func (r *run) finish(k *call) {
	if !k.done {
		k.done = true
		r.openRequests--
	}
	r.release(k)
}

func (k *call) id() ident.Request { return ident.Request(strconv.Itoa(k.index)) }

func (k *call) request(doc ident.Service) routing.Request {
	q := routing.Request{
		Service: doc, Account: ident.ClientAccount(strconv.Itoa(k.account)), Class: k.kind.Class,
		Blocks: k.blocks, PromptTokens: k.promptTokens + k.delivered, MaxTokens: k.outputTokens - k.delivered, Exclude: k.exclude,
	}
	return q
}

// dispatch sends the next attempt of a request, and another one at once if the upstream
// refuses it.
func (r *run) dispatch(k *call) {
	doc := r.document(k.kind.Plain)
	policy := k.gateway.policies[doc]
	for refused := false; k.attempts < maxAttempts; refused = true {
		if !r.mayAttempt(k, refused) {
			r.refuseRetry(k)
			return
		}
		k.attempts++
		req := k.request(doc.Service)
		if a := k.gateway.admissions[doc]; a != nil {
			req.Exclude = slices.Concat(req.Exclude, a.ejection.Excluded(r.events.Clock()))
		}
		d := policy.Decide(doc, k.gateway.views[doc], req, r.events.Clock())
		if !d.Found() {
			break
		}
		k.ticket = policy.Started(d, req, r.events.Clock())
		if u := r.runnerByID(d.Upstream); r.submit(k, u, d) {
			return
		}
		policy.Finished(&k.ticket, routing.ResultRefused, r.events.Clock())
		r.recordUpstreamRefusal(k, d.Upstream)
		k.exclude = append(k.exclude, d.Upstream)
	}
	r.finish(k)
}

// submit sends an attempt to a runner and reports whether the runner accepted it.
func (r *run) submit(k *call, u *runner, d routing.Decision) bool {
	if u.ended || r.upstreamRefuses() {
		return false
	}
	attempt := engine.Attempt{
		ID: k.id(), Tag: k.index<<attemptBits | k.attempts, Priority: int32(k.kind.Class.Priority),
		Blocks: k.blocks, ContextTokens: k.promptTokens + k.delivered, OutputTokens: k.outputTokens - k.delivered,
	}
	if u.model.Submit(r.events.Clock(), attempt) != nil {
		return false
	}
	k.runner, k.decision, k.sentAt, k.attemptFirstToken = u, d, r.events.Now(), 0
	k.deliveredBefore = k.delivered
	if a := r.admission(k); a != nil {
		a.ejection.RecordAttemptStart(r.events.Clock(), u.ID)
	}
	u.active[k.index] = k
	r.startStep(u)
	return true
}

func (r *run) runnerByID(id ident.Instance) *runner {
	for _, u := range r.runners {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// startStep starts the next step of a runner that is idle and has work.
func (r *run) startStep(u *runner) {
	if u.busy || u.ended {
		return
	}
	var d time.Duration
	u.tokens, d = u.model.Step(r.events.Clock(), u.tokens[:0])
	if d == 0 {
		return
	}
	u.busy = true
	if r.events.Now() >= warmUp {
		u.busyTime += d
	}
	u.longestQueue = max(u.longestQueue, u.model.Waiting())
	r.events.At(r.events.Now()+d, func() {
		if u.ended {
			return
		}
		// The runner stays busy until its tokens are delivered: the end of one
		// request can start the next one, which must not start a step yet.
		for _, t := range u.tokens {
			r.deliverToken(u, t)
		}
		u.busy = false
		r.startStep(u)
	})
}

// deliverToken delivers a token to its request, unless the attempt has ended.
func (r *run) deliverToken(u *runner, t engine.Token) {
	k := r.calls[t.Tag>>attemptBits]
	if k.runner != u || t.Tag&(1<<attemptBits-1) != k.attempts {
		return
	}
	if t.Index == 0 {
		r.firstToken(k, t)
	}
	k.delivered++
	k.lastTokenAt = r.events.Now()
	if !t.Done {
		return
	}
	r.endAttempt(k, routing.ResultDone)
	r.finish(k)
}

// firstToken records an attempt's first token, and how many prefilled tokens some engine had
// computed before.
func (r *run) firstToken(k *call, t engine.Token) {
	r.policy(k).FirstToken(&k.ticket, r.events.Clock())
	r.recordFirstToken(k)
	k.attemptFirstToken = r.events.Now() - k.sentAt
	if k.attempts == 1 {
		k.predicted, k.actual = k.decision.FirstToken, r.events.Now()-k.sentAt
	}
	if k.delivered > 0 {
		k.resumed += t.Prefilled
		k.recomputed += t.Prefilled
		return
	}
	k.firstTokenAt = r.events.Now()
	computedFrom := k.promptTokens - t.Prefilled
	for i, b := range k.blocks {
		if i*prompt.BlockTokens >= computedFrom && r.computedBlocks[b] {
			k.recomputed += prompt.BlockTokens
		}
		r.computedBlocks[b] = true
	}
}

func (r *run) policy(k *call) Policy { return k.gateway.policies[r.document(k.kind.Plain)] }

// endAttempt ends the request's current attempt, if there is one.
func (r *run) endAttempt(k *call, result routing.Result) {
	if k.runner == nil {
		return
	}
	delete(k.runner.active, k.index)
	u := k.runner
	k.runner = nil
	if result != routing.ResultCancelled {
		r.recordAttemptEnd(k, u, result == routing.ResultFailed)
	}
	r.policy(k).Finished(&k.ticket, result, r.events.Clock())
}

// meanTokenGap returns the mean time between two tokens, interruptions included, or 0 for
// less than two tokens.
func (k *call) meanTokenGap() time.Duration {
	if k.delivered < 2 {
		return 0
	}
	return (k.lastTokenAt - k.firstTokenAt) / time.Duration(k.delivered-1)
}

// met reports whether the request met all targets of its class.
func (k *call) met() bool {
	c := k.kind.Class
	switch {
	case k.delivered < k.outputTokens:
		return false
	case k.firstTokenAt-k.at > c.FirstToken:
		return false
	case c.BetweenTokens > 0 && k.meanTokenGap() > c.BetweenTokens:
		return false
	}
	return c.Completion == 0 || k.lastTokenAt-k.at <= c.Completion
}
