package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/retryafter"
	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

const (
	// lastChoicePenalty, in seconds, makes an upstream the choice only where no other
	// accepts the call.
	lastChoicePenalty = 1e3
	// maxReturnSpread bounds the time over which gateways return to an upstream, as a
	// multiple of the pause that it asked for.
	maxReturnSpread = 2
	// unservedReportTime is how long after its return to an upstream a gateway still reports
	// the pause, if it has had no request there that was served.
	unservedReportTime = 2 * time.Second
	// maxListedPauses bounds how many paused upstreams a choice lists, for the log.
	maxListedPauses = 8
)

// pausedOf returns for each upstream of a list whether it has a pause, or nil if no
// upstream of any list has one.
func (c *Chooser) pausedOf(all []directory.Upstream) []bool {
	if !c.cfg.Pauses.AnyPause() {
		return nil
	}
	return c.pauseMarks.marksOf(all, c.cfg.Pauses.PausesVersion(), func(id ident.Instance) bool {
		_, has := c.cfg.Pauses.Pause(id)
		return has
	})
}

// use says how an upstream may be used for a call.
type use int

const (
	usable use = iota
	// lastChoice: only if no other upstream accepts the call.
	lastChoice
	unusable
)

// useAfterPause returns how an upstream that asked for a pause may be used.
func (s *search) useAfterPause(u *directory.Upstream, o *ownWork) use {
	pause, has := s.chooser.cfg.Pauses.Pause(u.ID)
	switch {
	case !has:
		return usable
	case s.now.Before(pause.Until):
		s.excluded[hasPause]++
		s.passOverPaused(u.ID, pause.Until)
		return unusable
	case o.load.Running >= pause.Window:
		s.excluded[isFull]++
		return unusable
	case s.now.Before(s.chooser.returnTime(&pause, u)), !pause.Served() && s.isCautious():
		return lastChoice
	}
	return usable
}

// isCautious reports whether the call would probably be refused if an upstream turned it away: it was
// sent before, or no retry is left.
func (s *search) isCautious() bool {
	if !s.cautiousKnown {
		s.cautiousKnown = true
		s.cautious = s.again || !s.chooser.cfg.RetryLeft(s.call.Service.Name, s.now)
	}
	return s.cautious
}

// passOverPaused records that an upstream was passed over because of its pause.
func (s *search) passOverPaused(id ident.Instance, until time.Time) {
	if s.pauseEnds.IsZero() || until.Before(s.pauseEnds) {
		s.pauseEnds = until
	}
	if len(s.paused) < maxListedPauses && !contains(s.paused, id) {
		s.paused = append(s.paused, id)
	}
}

// returnTime returns when this gateway returns to an upstream after a pause. Many gateways
// whose pauses end together return over so long a time that, until they know each other's
// load, they send no more requests than the upstream has slots.
func (c *Chooser) returnTime(pause *announced.Pause, u *directory.Upstream) time.Time {
	spread := upstreamlimit.ReportLag * time.Duration(c.cfg.Gateways()) / time.Duration(max(1, u.Slots))
	spread = min(spread, maxReturnSpread*pause.Asked)
	return pause.Until.Add(max(pause.Backoff, time.Duration(pause.Jitter*float64(spread))))
}

// OwnLoads returns this gateway's load at each upstream where it has any.
func (c *Chooser) OwnLoads() map[ident.Instance]Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[ident.Instance]Load)
	for id, o := range c.own {
		if o.load != (Load{}) {
			out[id] = o.load
		}
	}
	return out
}

// ReportedLoads returns what this gateway reports to the others: its load at each upstream
// where it has any, and the pauses after which an upstream has not served it yet. The
// others then return to the upstream no sooner than the gateways that it asked.
func (c *Chooser) ReportedLoads(now time.Time) map[ident.Instance]Load {
	loads := c.OwnLoads()
	for id, pause := range c.cfg.Pauses.RetainedPauses() {
		u, known := c.cfg.View().Upstream(id)
		if !known || pause.Served() || now.Sub(c.returnTime(&pause, &u)) > unservedReportTime {
			continue
		}
		load := loads[id]
		load.Paused = 1
		loads[id] = load
	}
	return loads
}

// avoidsForOthers reports whether the call avoids an upstream that has asked other gateways
// for a pause, and not this one, if there is another upstream. The more gateways it asked, the
// larger is the share of calls that avoid it: an upstream that asks one gateway keeps the load
// of the others, and one that serves nobody is not asked by each of hundreds of gateways in
// turn. A cautious call always avoids it.
func (s *search) avoidsForOthers(x *candidate) bool {
	others := x.load.Paused
	if others == 0 {
		return false
	}
	return s.isCautious() || retryafter.Fraction(s.call.ID) < 1-1/float64(others)
}

// noChoice returns the result of a search that found no upstream.
func (s *search) noChoice(lists rollout.Candidates) forward.Choice {
	choice := forward.Choice{AtLimit: s.atLimit, Paused: s.paused, PassedOver: s.excluded.names(), Late: s.excluded[tooSlow] > 0}
	switch {
	case s.excluded[isFull] > 0:
	case s.lacksSoftware(lists):
		choice.Blocked = forward.BlockedBySoftware
	case s.chooser.allLeave(s.call.Service.Name):
		choice.Blocked = forward.BlockedByLeaving
		s.chooser.noteAllLeave(s.call.Service.Name, s.now)
	case len(s.paused) > 0 && s.excluded[tooSlow] == 0:
		choice.Blocked, choice.BlockedUntil = forward.BlockedByPauses, s.pauseEnds
	case len(s.paused) == 0 && len(s.atLimit) > 0:
		choice.Blocked = forward.BlockedByLimits
	}
	return choice
}

// acceptsIn returns the time until one of the ready upstreams that a call may go to accepts it, if all of
// them have limits or pauses that are not over. It returns 0 otherwise.
func (c *Chooser) acceptsIn(call *forward.Call, now time.Time) time.Duration {
	var limited []ident.Instance
	var pauseLeft time.Duration
	all := c.refreshView().Of(call.Service.Name)
	software := softwareFilterOf(call, all)
	for i := range all {
		u := &all[i]
		if !software.takesWork(u) {
			continue
		}
		pause, has := c.cfg.Pauses.Pause(u.ID)
		if left := pause.Until.Sub(now); has && left > 0 {
			if pauseLeft == 0 || left < pauseLeft {
				pauseLeft = left
			}
			continue
		}
		if !c.cfg.Limits.Limited(u.ID) {
			return 0
		}
		limited = append(limited, u.ID)
	}
	if len(limited) == 0 {
		return pauseLeft
	}
	left := c.cfg.Limits.RetryAfter(limited)
	if pauseLeft > 0 {
		left = min(left, pauseLeft)
	}
	return left
}
