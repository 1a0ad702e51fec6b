package forward

import (
	"context"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// closingTime is how long after the end of an answer its upstream's process is probed. The kernel
// closes the connections of a process that ends one by one, and its listener with them or last;
// until then it makes new connections.
const closingTime = 5 * time.Millisecond

// probeTimeout bounds the probe of an upstream that broke an answer off. A host whose
// process has ended refuses connections at once; a host that is cut off does not respond.
const probeTimeout = 100 * time.Millisecond

// processEnded probes whether the upstream's process has ended, and not just one of its
// connections. It takes closingTime and at most probeTimeout more. inDoubt: nothing has failed yet.
func (f *Forwarder) processEnded(ctx context.Context, target httpconn.Target, inDoubt bool) bool {
	refused, _, _ := f.probes.Do(string(target.ID), func() (any, error) {
		// A caller that goes away must not cancel the probe that other calls wait for.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.probeAfter+probeTimeout)
		defer cancel()
		sleep.For(ctx, f.probeAfter)
		if inDoubt {
			return f.cfg.Pool.RefusesInDoubt(ctx, target), nil
		}
		return f.cfg.Pool.Refuses(ctx, target), nil
	})
	return refused.(bool)
}

// upstreamEnded reports whether the process of the attempt's upstream has ended, and records that
// once. It probes, unless it has already found the end. inDoubt: the attempt has not failed.
func (s *session) upstreamEnded(choice Choice, inDoubt bool) bool {
	if s.ended.Process != completion.NotKnown {
		return true
	}
	if !s.f.processEnded(s.ctx, choice.target(), inDoubt) {
		return false
	}
	s.ended.Process = completion.EndedAsAnnounced
	if s.f.cfg.Placement.UpstreamEnded(choice) {
		s.ended.Process = completion.EndedUnexpectedly
	}
	return true
}

// doubtEnd finds out whether the upstream's process has ended, where nothing else could tell
// whether the last answer is complete, and only if something speaks for it: the process also closes
// its other connections then, or the request is suspected of ending upstreams. An upstream that goes
// on gets no connection for that, and its answer is completed at once.
func (s *session) doubtEnd(choice Choice, answer *httpconn.Answer) {
	if s.ended.DependsOnProcess() && (s.call.KnownTo(s.f.cfg.Guard) || s.f.suspects(answer)) {
		s.upstreamEnded(choice, true)
	}
}

// recordUpstreamEnd records that an upstream's process ended while it had the call, which
// is a crash if it was unexpected.
func (s *session) recordUpstreamEnd(choice Choice, result Result) {
	unexpected := s.ended.Process == completion.EndedUnexpectedly
	s.f.cfg.Log.Info("upstream process ended during a request", "id", s.call.ID, "content", s.call.Content(), "account", s.call.Account,
		"route", s.call.Route.Name, "upstream", choice.Upstream, "result", result.String(), "unexpected", unexpected, "again", s.upstreamCrashed.Load())
	if unexpected {
		s.f.cfg.Guard.Crashed(choice.Upstream, ident.MarkOf(s.call.Content(), s.call.ID))
		s.upstreamCrashed.Store(true)
	}
}

// waitForAdmission waits until the guard decides, and reports whether the call may be sent
// and which upstreams it should avoid. A poison request arrives at every gateway under new
// IDs, so that each arrival by itself looks like the first; the hash of the content shows
// that they are the same request.
func (s *session) waitForAdmission() (avoid []ident.Instance, ok bool) {
	start := s.f.cfg.Now()
	for s.call.KnownTo(s.f.cfg.Guard) {
		decision := s.f.cfg.Guard.Admit(s.call.Content(), s.f.cfg.Now().Sub(start))
		switch {
		case decision.Step == poison.Bar:
			s.barredFor, s.reason = decision.RetryAfter, BarredReason
			return nil, false
		case decision.Step == poison.Send || !sleep.For(s.ctx, waitInterval):
			return decision.Avoid, true
		}
	}
	return nil, true
}

// BarredReason is the reason that callers are given for a barred request.
const BarredReason = "upstreams end under this request"

// chooseAvoiding reserves a slot at an upstream that is not in avoid. If no such upstream
// accepts work, it falls back to chooseOrWait, which may choose an upstream in avoid.
func (s *session) chooseAvoiding(avoid []ident.Instance) (Choice, bool) {
	if len(avoid) > 0 {
		exclude := append(slices.Clone(s.state.Tried), avoid...)
		if choice, found := s.f.cfg.Placement.Choose(s.call, exclude, s.f.cfg.Now()); found {
			return choice, true
		}
	}
	return s.chooseOrWait()
}
