package routing

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

const (
	// Each report of a saturated engine multiplies its learned batch size by
	// batchShrinkFactor, each other report by batchGrowFactor.
	batchShrinkFactor = 0.98
	batchGrowFactor   = 1.01
	// minBatch is the smallest batch size that is learned.
	minBatch = 4
	// An engine counts as saturated if it queues more than minQueue requests
	// plus minQueueShare of those that run. Fewer may have just arrived and wait
	// for the next step.
	minQueueShare = 0.1
	minQueue      = 4
)

// learnBatch estimates how many requests an engine can really run at once: its
// memory may hold fewer than its batch, long prompts may use up its steps, and
// models differ. A queue or a backlog of prefill shows that the engine would do as
// well with fewer requests, so the estimate shrinks then, and otherwise grows back
// to BatchLimit.
func (r *Router) learnBatch(u *blackboard.Upstream, local *localState) {
	if u.AsOf.IsZero() {
		return
	}
	initial := r.params.BatchLimit
	size := local.batchSize(initial)
	running := float64(u.Report.Running)
	s := r.stateOf(u, local, sentWork{})
	switch {
	case float64(u.Report.Queued) > minQueue+minQueueShare*running, s.backlog() > r.params.SaturationBacklog.Seconds():
		size = max(minBatch, min(size, running)*batchShrinkFactor)
	case size < initial:
		size = min(initial, size*batchGrowFactor)
	}
	local.learnedBatch.store(max(size, minBatch))
}

// batchSize returns the learned batch size of the upstream, or initial if
// nothing was learned.
func (s *localState) batchSize(initial float64) float64 { return s.learnedBatch.load(initial) }

// Slots returns how many requests this gateway may have in flight at all
// upstreams of a view together: those that it has, and its share of the free
// capacity. The result is smoothed over the calls of Slots and is at least 1.
//
// Each gateway takes only its share, because all see the same free capacity:
// otherwise six gateways would fill it six times over, and the queues at the
// upstreams would oscillate with the age of the reports. Capacity that other
// gateways do not use shows up as free in the next report.
func (r *Router) Slots(view []blackboard.Upstream, gateways int, now time.Time) int {
	p := r.prepare(r.prepared.Load().doc, view)
	sum := 0.0
	for i := range view {
		if view[i].State != blackboard.Alive || view[i].Report.Leaving {
			continue
		}
		s := p.upstreams[i].local
		unreported := s.awaitingFirstToken(r.epoch(view[i].AsOf), r.epoch(now))
		used := view[i].Report.Running + view[i].Report.Queued + unreported.requests
		free := r.params.TargetFill*s.batchSize(r.params.BatchLimit) - float64(used)
		own := float64(s.outstanding.Load())
		sum += max(0, own+free/float64(max(1, gateways)))
	}
	smooth := r.smoothedSlots.load(sum)
	smooth += r.params.SlotSmoothing * (sum - smooth)
	r.smoothedSlots.store(smooth)
	return max(1, int(smooth))
}
