package announced

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// firstWindow is the window right after a pause, and maxWindow the one at which an upstream
	// counts as serving as before.
	firstWindow, maxWindow = 1, 32
	// pauseRetention is how long after its end a pause is retained if the upstream gets no requests
	// that would show that it serves again.
	pauseRetention = 30 * time.Second
	// minPauseAndBackoff is the least sum of a pause and its backoff: so long that the other gateways
	// hear of a short pause too.
	minPauseAndBackoff = time.Second
	maxBackoff         = 4 * time.Second
)

// Pause is a pause that an upstream asked this gateway for. It is retained until the upstream has
// shown that it serves again, so that the load comes back gradually.
type Pause struct {
	// Until is the latest end that the upstream asked for, and Asked the time from the answer that
	// asked for it until then.
	Until time.Time
	Asked time.Duration
	// Backoff is how long after Until the upstream is the last choice. It grows with each pause that
	// follows before the upstream has served again: the retries of requests that an upstream turns
	// away every tenth of a second would use up the retry budget.
	Backoff time.Duration
	// Jitter is random, from 0 to 1, so that gateways whose pauses end together return apart.
	Jitter float64
	// Window is how many requests the gateway may have in progress at the upstream after the end.
	// It grows as the upstream serves them.
	Window int
}

// Served reports whether the upstream has served a request since the pause.
func (p *Pause) Served() bool { return p.Window > firstWindow }

// paused reports whether the pause is not over.
func (rec *record) paused(now time.Time) bool { return rec.pause != nil && now.Before(rec.pause.Until) }

// recordPause records that an answer asked this gateway for a pause. The latest end counts: an
// answer that asks for less may be older than one that asked for more. r.mu must be held.
func (r *Registry) recordPause(upstream ident.Instance, id ident.Request, asked time.Duration, now time.Time) {
	rec := r.recordOf(upstream, now)
	r.counters.Pauses++
	if rec.pause == nil {
		rec.pause = &Pause{}
		r.pauses.Add(1)
		r.pausesVersion.Add(1)
	}
	if until := now.Add(asked); until.After(rec.pause.Until) {
		*rec.pause = rec.pause.followedBy(Pause{Until: until, Asked: asked, Jitter: r.rng.Float64(), Window: firstWindow}, now)
	}
	if unlogged, ok := rec.pauseLines.Pass(now, logInterval); ok {
		r.cfg.Log.Info("upstream asked for a pause", "upstream", upstream, "id", id, "pause_ms", asked.Milliseconds(),
			"left_ms", rec.pause.Until.Sub(now).Milliseconds(), "pauses_unlogged", unlogged)
	}
}

// followedBy returns the pause that an upstream asks for after p, with its backoff.
func (p *Pause) followedBy(next Pause, now time.Time) Pause {
	next.Backoff = max(minPauseAndBackoff-next.Asked, 0)
	switch {
	case p.Until.IsZero() || p.Served():
	case now.Before(p.Until):
		// The answer may be as old as the one that asked for p.
		next.Backoff = max(next.Backoff, p.Backoff)
	default:
		next.Backoff = max(next.Backoff, min(max(2*p.Backoff, p.Asked), maxBackoff))
	}
	return next
}

// endPause forgets a pause. r.mu must be held.
func (r *Registry) endPause(rec *record) {
	rec.pause = nil
	r.pauses.Add(-1)
	r.pausesVersion.Add(1)
}

// AnyPause reports whether any upstream has a pause.
func (r *Registry) AnyPause() bool { return r.pauses.Load() > 0 }

// PausesVersion returns a number that changes with the set of upstreams that have a pause.
func (r *Registry) PausesVersion() uint64 { return r.pausesVersion.Load() }

// Pause returns an upstream's pause, or false if it has none.
func (r *Registry) Pause(upstream ident.Instance) (Pause, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[upstream]
	if rec == nil || rec.pause == nil {
		return Pause{}, false
	}
	return *rec.pause, true
}

// Served records that an upstream served a request that was sent at the given time. An answer to a
// request from before the end of a pause shows nothing about the time after it.
func (r *Registry) Served(upstream ident.Instance, sentAt time.Time) {
	if !r.AnyPause() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[upstream]
	if rec == nil || rec.pause == nil || sentAt.Before(rec.pause.Until) {
		return
	}
	if !rec.pause.Served() {
		r.counters.Resumed++
		r.cfg.Log.Info("upstream serves after its pause", "upstream", upstream, "over_ms", r.cfg.Now().Sub(rec.pause.Until).Milliseconds())
	}
	if rec.pause.Window *= 2; rec.pause.Window > maxWindow {
		r.endPause(rec)
	}
}

// RetainedPauses returns all pauses, also those that are over and after which the upstream has not
// shown yet that it serves as before.
func (r *Registry) RetainedPauses() map[ident.Instance]Pause {
	if !r.AnyPause() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[ident.Instance]Pause)
	for upstream, rec := range r.records {
		if rec.pause != nil {
			out[upstream] = *rec.pause
		}
	}
	return out
}
