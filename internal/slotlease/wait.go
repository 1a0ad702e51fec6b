package slotlease

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/waiting"
)

const (
	// worksBeforeObjective is how many times the mean time that a request takes must be left of the objective
	// when a call gets its slot. Requests take longer than the mean, or wait at the upstream for another one.
	worksBeforeObjective = 2
	// maxWaitDivisor divides a route's objective to the longest time for which a call may wait. Half of it is
	// left if a keeper is frozen and the call is placed without it.
	maxWaitDivisor = 2
)

// MaxWait returns how long a call may wait for a slot: as long as it could still be served within its objective.
// work is the mean time that a request takes in a slot; 0 if it isn't known.
func MaxWait(objective, work time.Duration) time.Duration {
	shortest, longest := objective/waiting.WaitDivisor, objective/maxWaitDivisor
	if work <= 0 {
		return shortest
	}
	return min(max(shortest, objective-worksBeforeObjective*work), longest)
}
