package forward

import (
	"context"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
)

// probeTimeout is how long a look at an upstream may take that broke an answer off. One whose
// process has ended refuses connections at once; one that is cut off says nothing.
const probeTimeout = 100 * time.Millisecond

// processEnded reports whether the upstream's process has ended, and not just one of its
// connections.
func (f *Forwarder) processEnded(ctx context.Context, target httpconn.Target) bool {
	refused, _, _ := f.probes.Do(string(target.ID), func() (any, error) {
		// A caller that leaves meanwhile must not end the look of the others.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return f.cfg.Pool.Refuses(ctx, target), nil
	})
	return refused.(bool)
}

// recordUpstreamEnd notes that an upstream ended while it had the call.
func (s *session) recordUpstreamEnd(choice Choice, result Result) {
	unexpected := s.f.cfg.Placement.Ended(choice)
	s.f.cfg.Log.Info("upstream ended under a request", "id", s.call.ID, "content", s.call.Content(), "account", s.call.Account,
		"route", s.call.Route.Name, "upstream", choice.Upstream, "result", result.String(), "unexpected", unexpected, "again", s.upstreamCrashed.Load())
	if unexpected {
		s.f.cfg.Guard.Crashed(choice.Upstream, ident.MarkOf(s.call.Content(), s.call.ID))
		s.upstreamCrashed.Store(true)
	}
}

// waitForAdmission reports whether the call may be sent now, and which upstreams it should avoid.
// A request that ends whoever runs it comes under new IDs at every gateway, so that each
// arrival alone looks like the first; its content links them.
func (s *session) waitForAdmission() (avoid []ident.Instance, ok bool) {
	began := s.f.cfg.Now()
	for s.call.KnownTo(s.f.cfg.Guard) {
		decision := s.f.cfg.Guard.Admit(s.call.Content(), s.f.cfg.Now().Sub(began))
		switch {
		case decision.Step == poison.Bar:
			s.barredFor, s.reason = decision.After, BarredReason
			return nil, false
		case decision.Step == poison.Send || !pause.For(s.ctx, waitInterval):
			return decision.Avoid, true
		}
	}
	return nil, true
}

// BarredReason tells callers why their request does not run.
const BarredReason = "upstreams end under this request"

// chooseAvoiding takes a place at an upstream, apart from those to avoid if there are others.
func (s *session) chooseAvoiding(avoid []ident.Instance) (Choice, bool) {
	if len(avoid) > 0 {
		exclude := append(slices.Clone(s.state.Tried), avoid...)
		if choice, found := s.f.cfg.Placement.Choose(s.call, exclude, s.f.cfg.Now()); found {
			return choice, true
		}
	}
	return s.chooseOrWait()
}
