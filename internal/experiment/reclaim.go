package experiment

import (
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

// planReclaim lets a gateway plan, once for each leaving runner, which of its streams there are
// moved and how.
func (r *run) planReclaim(g *gateway, u *runner) {
	if g.planned[u.ID] || u.Role == platform.RolePlain {
		return
	}
	g.planned[u.ID] = true
	var calls []*call
	var streams []routing.LeavingStream
	for _, k := range inArrivalOrder(u.active) {
		if k.gateway != g {
			continue
		}
		doc := r.document(false)
		k.exclude = append(k.exclude, u.ID)
		next := r.policy(k).Decide(doc, g.views[doc], k.request(doc.Service), r.events.Clock())
		calls = append(calls, k)
		streams = append(streams, routing.LeavingStream{
			Context: k.promptTokens + k.delivered, Cached: k.promptTokens + k.delivered - next.UncachedTokens,
			Remaining: k.outputTokens - k.delivered, BetweenTokens: k.decision.BetweenTokens,
		})
	}
	left := u.endsAt - r.events.Now()
	for _, step := range routing.PlanReclaim(streams, left, engine.DefaultParameters().TransferRate, gatewayCount) {
		k := calls[step.Stream]
		switch step.Action {
		case routing.MoveCache:
			r.events.At(r.events.Now()+step.After, func() { r.export(k, u) })
		case routing.Recompute:
			r.events.At(r.events.Now()+step.After, func() { r.resume(k, u) })
		}
	}
}

// resume ends the attempt at a leaving runner and continues the stream at another one, which
// prefills the prompt and the delivered tokens.
func (r *run) resume(k *call, u *runner) {
	if k.runner != u {
		return
	}
	u.model.Cancel(r.events.Clock(), k.id())
	r.endAttempt(k, routing.ResultCancelled)
	r.dispatch(k)
}

// export copies a stream's KV cache from the leaving runner while the stream continues there.
// Then the stream moves to the runner that routing chooses.
func (r *run) export(k *call, u *runner) {
	exported, ok := u.model.Export(k.id())
	if k.runner != u || !ok {
		return
	}
	r.events.At(r.events.Now()+u.model.Transfer(r.events.Clock(), exported.Tokens), func() {
		if k.runner == u {
			r.importTo(k, u, exported)
		}
	})
}

// importTo moves a stream with its exported KV cache to the runner that routing chooses.
func (r *run) importTo(k *call, u *runner, exported engine.ExportedCache) {
	doc := r.document(false)
	d := r.policy(k).Decide(doc, k.gateway.views[doc], k.request(doc.Service), r.events.Clock())
	if !d.Found() {
		return
	}
	target := r.runnerByID(d.Upstream)
	u.model.Cancel(r.events.Clock(), k.id())
	r.endAttempt(k, routing.ResultCancelled)
	target.model.Import(k.id(), exported)
	// From now on the import counts as load of the target.
	k.ticket = r.policy(k).Started(d, k.request(doc.Service), r.events.Clock())
	r.events.At(r.events.Now()+target.model.Transfer(r.events.Clock(), exported.Tokens), func() {
		k.attempts++
		if k.done || !r.submit(k, target, d) {
			r.policy(k).Finished(&k.ticket, routing.ResultRefused, r.events.Clock())
			r.dispatch(k)
		}
	})
}
