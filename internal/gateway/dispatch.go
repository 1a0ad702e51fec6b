package gateway

import (
	"context"
	"errors"

	"github.com/goldcrestspool/goldcrestspool/internal/calls"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

var _ calls.Dispatcher = (*plainDispatcher)(nil)

func isLeaving(err error) bool { return errors.Is(err, upstream.ErrLeaving) }

// Pick implements calls.Dispatcher.
func (p *plainDispatcher) Pick(ctx context.Context, call calls.Call, exclude []ident.Instance) (journal.Target, bool) {
	doc, ok := p.documents.Value().Find(call.Key.Service)
	if !ok {
		return journal.Target{}, false
	}
	u, _, found := p.decide(ctx, doc, call.Key.Account, exclude)
	return journal.Target{
		Instance:    u.Instance.ID,
		Incarnation: u.Instance.Incarnation,
		Address:     u.Instance.Address,
	}, found
}

// Invoke implements calls.Dispatcher. It sends at most one request, which the upstream
// refuses unless it is the target's incarnation.
func (p *plainDispatcher) Invoke(ctx context.Context, call calls.Call, target journal.Target, fence ident.Fence) (upstream.Answer, error) {
	u, found := p.router.find(call.Key.Service, target.Instance)
	if !found || u.Instance.Incarnation != target.Incarnation || u.Instance.Address != target.Address {
		return upstream.Answer{}, upstream.ErrNotSent
	}
	return p.send(ctx, u, plainAttempt{
		subject:  explain.Subject{Request: call.Request, Service: call.Key.Service, Account: call.Key.Account},
		route:    routing.Request{Service: call.Key.Service, Account: call.Key.Account},
		decision: routing.Decision{Upstream: u.Instance.ID, Address: u.Instance.Address},
		attempt:  1,
		request: upstream.InvokeRequest{
			Method:      call.Method,
			Key:         call.Key.String(),
			Fence:       fence,
			Payload:     call.Payload,
			Incarnation: target.Incarnation,
		},
	})
}

// Find implements calls.Dispatcher. Another incarnation at the same address does not
// know the call and its answer "absent" proves nothing, so Find returns an error for
// it.
func (p *plainDispatcher) Find(ctx context.Context, key ident.CallKey, target journal.Target, fence ident.Fence) (upstream.FindResult, error) {
	found, err := p.dialer.Plain(target.Address).Find(ctx, key.String(), fence)
	if err == nil && found.Incarnation != target.Incarnation {
		return upstream.FindResult{}, errcode.Errorf(errcode.FailedPrecondition,
			"incarnation %d of %s answered for %d", found.Incarnation, target.Instance, target.Incarnation)
	}
	return found, err
}
