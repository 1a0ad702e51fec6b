package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// admissionInterval is how often a request that waits for the guard asks it again.
const admissionInterval = 10 * time.Millisecond

// recordInterruption records that the attempt ended without a complete answer, and what that shows of the
// upstream's process. brokenOff: neither this gateway nor the caller gave the attempt up.
func (s *session) recordInterruption(choice Choice, result Result, brokenOff bool) {
	if result == Broken && s.ended.Verdict() == completion.Complete {
		return // the answer came whole and cannot be used
	}
	evidence := poison.GivenUp
	if brokenOff && (result == Broken || result == Cut) {
		evidence = poison.BrokenOff
		if s.upstreamEnded(choice, false) {
			evidence = poison.ProcessEnded
		}
	}
	expected := evidence == poison.ProcessEnded && s.ended.Process != completion.EndedUnexpectedly
	s.evidence = evidence
	if evidence == poison.ProcessEnded {
		s.f.cfg.Log.Info("upstream process ended during a request", "id", s.call.ID, "content", s.call.Content(), "parts", s.call.PartsForLog(), "account", s.call.Account,
			"route", s.call.Route.Name, "upstream", choice.Upstream, "result", result.String(), "unexpected", !expected, "again", s.interruptedBefore.Load())
	}
	if expected {
		return
	}
	s.f.cfg.Guard.Interrupted(&poison.Interruption{
		Upstream: choice.Upstream, Software: s.softwareOf(choice), Request: s.call.ID, Content: s.call.Content(), Parts: s.call.partFeatures(), Evidence: evidence,
	})
	if evidence != poison.GivenUp {
		s.interruptedBefore.Store(true)
	}
}

// softwareOf returns the software that the chosen upstream runs.
func (s *session) softwareOf(choice Choice) poison.Software {
	return poison.SoftwareOf(s.call.Service.Name, choice.SoftwareVersion)
}

// recordCompletion records that the call, which was sent to the chosen upstream at the given time, was
// answered completely.
func (s *session) recordCompletion(choice Choice, sent time.Time) {
	s.f.cfg.Guard.Answered(choice.Upstream, sent)
	success := s.buffered == nil || s.buffered.status/100 == 2
	if !success && !showsRun(s.buffered.status) {
		return
	}
	if known := s.call.FeaturesKnownTo(s.f.cfg.Guard); len(known) > 0 {
		s.f.cfg.Guard.Completed(&poison.Completion{Features: known, Software: s.softwareOf(choice), Sent: sent, Success: success})
	}
	if parts := s.call.partFeatures(); success && len(parts) > 0 {
		s.f.cfg.Guard.Served(parts)
	}
}

// showsRun reports whether a failure's status shows that its upstream worked on the request: it may answer the others
// before it looks at it.
func showsRun(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return true
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
