package forward

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// admissionInterval is how often a request that waits for the guard asks it again.
const admissionInterval = 10 * time.Millisecond

// recordUpstreamEnd records that an upstream's process ended while it had the call, which
// is a crash if it was unexpected.
func (s *session) recordUpstreamEnd(choice Choice, result Result) {
	unexpected := s.ended.Process == completion.EndedUnexpectedly
	s.f.cfg.Log.Info("upstream process ended during a request", "id", s.call.ID, "content", s.call.Content(), "parts", s.call.PartsForLog(), "account", s.call.Account,
		"route", s.call.Route.Name, "upstream", choice.Upstream, "result", result.String(), "unexpected", unexpected, "again", s.upstreamCrashed.Load())
	if unexpected {
		s.f.cfg.Guard.Crashed(choice.Upstream, s.softwareOf(choice), s.call.ID, s.call.Content(), s.call.partFeatures())
		s.upstreamCrashed.Store(true)
	}
}

// softwareOf returns the software that the chosen upstream runs.
func (s *session) softwareOf(choice Choice) poison.Software {
	return poison.SoftwareOf(s.call.Service.Name, choice.SoftwareVersion)
}

// recordCompletion records that the call, which was sent to the chosen upstream at the given time, was
// answered completely.
func (s *session) recordCompletion(choice Choice, sent time.Time) {
	success := s.buffered == nil || s.buffered.status/100 == 2
	if known := s.call.FeaturesKnownTo(s.f.cfg.Guard); len(known) > 0 {
		s.f.cfg.Guard.Completed(&poison.Completion{Features: known, Software: s.softwareOf(choice), Sent: sent, Success: success})
	}
	if parts := s.call.partFeatures(); success && len(parts) > 0 {
		s.f.cfg.Guard.Served(parts)
	}
}

// waitForAdmission waits until the guard decides, and reports whether the call may be sent
// and which upstreams it should avoid. A poison request arrives at every gateway under new
// IDs, so that each arrival by itself looks like the first; its features show what it has in
// common with the others.
func (s *session) waitForAdmission() (avoid []ident.Instance, ok bool) {
	start := s.f.cfg.Now()
	for {
		known := s.call.FeaturesKnownTo(s.f.cfg.Guard)
		if len(known) == 0 {
			return nil, true
		}
		decision := s.f.cfg.Guard.Admit(known, s.f.cfg.Now().Sub(start))
		switch {
		case decision.Step == poison.Bar:
			s.barredFor, s.reason = decision.Barred.RetryAfter, BarredReason
			s.outcome.BarredBy = decision.Barred.Features
			return nil, false
		case decision.Step == poison.Send || !sleep.For(s.ctx, admissionInterval):
			return decision.Avoid, true
		}
	}
}

// BarredReason is the reason that callers are given for a barred request.
const BarredReason = "upstreams end under this request"

// chooseAvoiding reserves a slot at an upstream that is not in avoid. If no such upstream
// accepts work, it falls back to takePlace, which may choose an upstream in avoid.
func (s *session) chooseAvoiding(avoid []ident.Instance) (Choice, bool) {
	if len(avoid) > 0 {
		exclude := append(slices.Clone(s.state.Tried), avoid...)
		if choice, found := s.f.cfg.Placement.Choose(s.call, exclude, s.f.cfg.Now()); found {
			return choice, true
		}
	}
	return s.takePlace()
}
