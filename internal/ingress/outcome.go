package ingress

import (
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// decidingEnd returns how the answer ended that decided how a call ended, and false if no
// upstream answered. It is the last answer, unless the call ended without a whole one: then
// it is the last incomplete answer, if there is one, since upstreams that turned the call
// away afterwards answered completely too.
func decidingEnd(outcome forward.Outcome) (end forward.AnswerEnd, found bool) {
	if len(outcome.Ends) == 0 {
		return end, false
	}
	if outcome.Step != forward.Deliver {
		for _, e := range slices.Backward(outcome.Ends) {
			if e.Verdict() != completion.Complete {
				return e, true
			}
		}
	}
	return outcome.Ends[len(outcome.Ends)-1], true
}

// takeUpFields returns the log fields of a call that goes on with a stream.
func takeUpFields(call *forward.Call) []any {
	if !call.TakesUp() {
		return nil
	}
	return []any{"resumes", call.Resumes.ForLog(), "after_event", ident.Request(call.LastEventID).ForLog()}
}

// recordOutcome records how a call ended in the log and the metrics.
func (s *Server) recordOutcome(call *forward.Call, outcome forward.Outcome) {
	took := s.cfg.Now().Sub(call.Received)
	s.cfg.Metrics.Ended(call, outcome, took)
	plainSuccess := outcome.Step == forward.Deliver && outcome.Attempts == 1 && outcome.Status/100 == 2
	if plainSuccess && !call.TakesUp() && !s.successLogLimiter.Allow() {
		s.cfg.Metrics.Unlogged()
		return
	}
	fields := []any{"id", call.ID, "route", call.Route.Name, "account", call.Account, "service", call.Service.Name,
		"step", outcome.Step.String(), "status", outcome.Status, "reason", outcome.Reason, "attempts", outcome.Attempts, "upstreams", outcome.Tried, "software_versions", outcome.SoftwareVersions,
		"resumed", outcome.Resumed, "events", outcome.Events, "first_ms", outcome.FirstPart.Milliseconds(), "pause_ms", outcome.LongestPause.Milliseconds(), "took_ms", took.Milliseconds(),
		"prompt", call.PromptTokens, "most", call.MaxTokens}
	if end, found := decidingEnd(outcome); found {
		fields = append(fields, "framing", end.Framing.String(), "ending", end.Ending.String(), "position", end.Position.String(),
			"last_event", outcome.LastEvent, "bytes_after", end.BytesAfter, "answer", end.Verdict().String())
	}
	fields = append(fields, takeUpFields(call)...)
	if len(outcome.AtLimit) > 0 {
		fields = append(fields, "at_limit", outcome.AtLimit)
	}
	if len(outcome.PassedOver) > 0 {
		fields = append(fields, "passed_over", outcome.PassedOver)
	}
	if outcome.RelayedBy != "" {
		fields = append(fields, "relayed_by", outcome.RelayedBy)
	}
	if len(outcome.Paused) > 0 {
		fields = append(fields, "paused", outcome.Paused)
	}
	if !plainSuccess {
		// Of a plain success the content is left out, because its whole body would have to
		// be hashed for the log line alone.
		fields = append(fields, "content", call.Content(), "parts", call.PartsForLog())
	}
	if outcome.BarredBy != nil {
		fields = append(fields, "barred_by", outcome.BarredBy)
	}
	s.cfg.Log.Info("request ended", fields...)
}
