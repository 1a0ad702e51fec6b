package forward

import (
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// recordUpstreamEnd records that an upstream's process ended while it had the call, which
// is a crash if it was unexpected.
func (s *session) recordUpstreamEnd(choice Choice, result Result) {
	unexpected := s.ended.Process == completion.EndedUnexpectedly
	s.f.cfg.Log.Info("upstream process ended during a request", "id", s.call.ID, "content", s.call.Content(), "parts", s.call.PartsForLog(), "account", s.call.Account,
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
