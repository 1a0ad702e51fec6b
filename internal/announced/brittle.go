package announced

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// brittleRetention is how long an upstream counts as brittle after its last answer that said so.
	brittleRetention = 10 * time.Second
	// brittlePause is how long a gateway sends nothing to a brittle upstream that turned a request
	// away: the second for which its rejections add up. The other gateways hear of it as of a pause that
	// the upstream asked for.
	brittlePause = time.Second
)

// recordBrittle records whether an answer says that its upstream is brittle. An answer that does not
// say so ends it. r.mu must be held.
func (r *Registry) recordBrittle(upstream ident.Instance, id ident.Request, s Statement, now time.Time) {
	rec := r.records[upstream]
	switch {
	case s.Brittle.NotStated:
	case s.Brittle.Is:
		rec = r.recordOf(upstream, now)
		if !rec.brittle(now) {
			r.cfg.Log.Info("upstream announced that it is brittle", "upstream", upstream, "id", id, "rejections_per_second", s.Brittle.Rejections)
		}
		if rec.brittleUntil.IsZero() {
			r.brittle.Add(1)
		}
		rec.brittleUntil = now.Add(brittleRetention)
	case rec != nil && !rec.brittleUntil.IsZero():
		r.endBrittle(rec)
		r.cfg.Log.Info("upstream is brittle no more", "upstream", upstream, "id", id)
	}
}

// endBrittle forgets that an upstream is brittle. r.mu must be held.
func (r *Registry) endBrittle(rec *record) {
	if !rec.brittleUntil.IsZero() {
		rec.brittleUntil = time.Time{}
		r.brittle.Add(-1)
	}
}

// brittle reports whether the upstream is brittle.
func (rec *record) brittle(now time.Time) bool { return now.Before(rec.brittleUntil) }

// AnyBrittle reports whether any upstream is brittle.
func (r *Registry) AnyBrittle() bool { return r.brittle.Load() > 0 }

// Brittle reports whether an upstream said lately that it falls over if it has to turn many requests
// away.
func (r *Registry) Brittle(upstream ident.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[upstream]
	return rec != nil && rec.brittle(r.cfg.Now())
}
