package routing

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

const (
	// batchShrinkFactor is what a report of a saturated engine leaves of the learnt
	// size of its batch, batchGrow what any other makes of it.
	batchShrinkFactor = 0.98
	batchGrowFactor   = 1.01
	// minBatch is the smallest size that is learnt.
	minBatch = 4
	// minQueueShare and queueLeast tell a queue before a full batch from requests
	// that have only just come and wait for the next step.
	minQueueShare = 0.1
	minQueue      = 4
)

// learnBatch follows how many requests an engine can really work on at once:
// its memory may hold fewer than its batch, long prompts may take all of its
// steps, and models differ. A queue, or a backlog of prefill, shows that fewer
// would do as well.
func (r *Router) learnBatch(u *blackboard.Upstream, known *localState) {
	if u.AsOf.IsZero() {
		return
	}
	initial := r.params.BatchLimit
	size := known.batchSize(initial)
	running := float64(u.Report.Running)
	s := r.stateOf(u, known, sentWork{})
	switch {
	case float64(u.Report.Queued) > minQueue+minQueueShare*running, s.backlog() > r.params.SaturationBacklog.Seconds():
		size = max(minBatch, min(size, running)*batchShrinkFactor)
	case size < initial:
		size = min(initial, size*batchGrowFactor)
	}
	known.learnedBatch.store(max(size, minBatch))
}

// batchSize is the learnt size of the upstream's batch.
func (s *localState) batchSize(initial float64) float64 { return s.learnedBatch.load(initial) }

// Slots returns how many requests this gateway may have in flight at the
// upstreams of a view: what it has, and its part of the room that is left.
//
// Each gateway takes only its part of the room because all see the same one:
// without that, six gateways would fill it six times over, which shows as
// queues at the upstreams that swing with the age of the reports. What others
// do not use is in the next report's room.
func (r *Router) Slots(view []blackboard.Upstream, gateways int, now time.Time) int {
	p := r.prepare(r.prepared.Load().doc, view)
	sum := 0.0
	for i := range view {
		if view[i].State != blackboard.Alive || view[i].Report.Leaving {
			continue
		}
		s := p.upstreams[i].local
		unseen := s.awaitingFirstToken(r.epoch(view[i].AsOf), r.epoch(now))
		used := view[i].Report.Running + view[i].Report.Queued + unseen.requests
		room := r.params.TargetFill*s.batchSize(r.params.BatchLimit) - float64(used)
		own := float64(s.outstanding.Load())
		sum += max(0, own+room/float64(max(1, gateways)))
	}
	smooth := r.smoothedSlots.load(sum)
	smooth += r.params.SlotSmoothing * (sum - smooth)
	r.smoothedSlots.store(smooth)
	return max(1, int(smooth))
}
