package routing

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
)

const (
	// batchShrink is the weight of one report that shows a queue in the learnt
	// size of a batch, batchGrow how far one without a queue lets it rise.
	batchShrink = 0.2
	batchGrow   = 0.1
	// queueShare and queueLeast tell a queue before a full batch from requests
	// that have only just come and wait for the next step.
	queueShare = 0.1
	queueLeast = 4
)

// learnBatch follows how many requests an engine really runs at once: its
// memory may hold fewer than its batch, and models differ. While requests
// queue there, the running ones are all that fit.
func (s *slot) learnBatch(u *blackboard.Upstream, initial float64) {
	if u.AsOf.IsZero() {
		return
	}
	size := s.batchSize(initial)
	running := float64(u.Report.Running)
	switch {
	case float64(u.Report.Queued) > queueLeast+queueShare*running:
		size += batchShrink * (running - size)
	case running > size:
		size = running
	case size < initial:
		size += batchGrow
	}
	s.batch.store(size)
}

// batchSize is the learnt size of the upstream's batch.
func (s *slot) batchSize(initial float64) float64 { return s.batch.load(initial) }

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
		s := p.entries[i].slot
		unseen := s.since(r.epoch(view[i].AsOf), r.epoch(now))
		used := view[i].Report.Running + view[i].Report.Queued + unseen.requests
		room := r.params.Filled*s.batchSize(r.params.BatchLimit) - float64(used)
		own := float64(s.outstanding.Load())
		sum += max(0, own+room/float64(max(1, gateways)))
	}
	smooth := r.slotsSmooth.load(sum)
	smooth += r.params.SlotRate * (sum - smooth)
	r.slotsSmooth.store(smooth)
	return max(1, int(smooth))
}
