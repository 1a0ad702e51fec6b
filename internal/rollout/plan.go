package rollout

import "time"

// Situation is what the holder of the lease knows about an order that it decides on.
type Situation struct {
	Phase Phase
	// Age is the time since the order was given, PhaseAge since its phase began at this gateway.
	Age, PhaseAge time.Duration
	// TimeLimit is the age at which the order must have ended.
	TimeLimit time.Duration
	// NewReady counts the ready upstreams of the new version, OldLeft those of other versions
	// that still run.
	NewReady, OldLeft int
	// HasCapacity means that the new version's upstreams can take all requests.
	HasCapacity bool
	Verdict     Verdict
	// Stopped means that some gateway found the new version bad.
	Stopped bool
	// Settled counts the gateways that have no requests at the old version and send none there;
	// Gateways is the number of gateways that may exist.
	Settled, Gateways int
	// DrainTime is the duration within which nearly all answers end.
	DrainTime time.Duration
}

const (
	// rampTime is the time over which all requests are moved. Moved at once, they would queue
	// everywhere, because the new upstreams have none of their prompts cached.
	rampTime = time.Second
	// completionTime is the time to reach all gateways and to make the two writes that complete
	// an order.
	completionTime = 1200 * time.Millisecond
	// maxDrainFraction is the largest fraction of the time limit that is reserved for requests
	// to finish. The rest is needed to find out whether the version is good.
	maxDrainFraction = 0.4
)

// promoteAt returns the age at which a good version is promoted: as late as the time for the
// following phases allows, because a version may turn bad late.
func (s *Situation) promoteAt() time.Duration {
	drain := min(s.DrainTime, time.Duration(maxDrainFraction*float64(s.TimeLimit)))
	return max(s.TimeLimit-drain-rampTime-completionTime, s.TimeLimit/3)
}

// decideBy returns the age by which the version is promoted or rolled back.
func (s *Situation) decideBy() time.Duration {
	return max(s.TimeLimit-rampTime-completionTime, s.promoteAt())
}

// Step is the next phase of an order. Reason is empty if the phase stays.
type Step struct {
	Phase  Phase
	Reason string
}

// Next returns the phase that follows from a situation, or the present one if nothing is due.
func Next(s *Situation) Step {
	if s.Phase.Ended() {
		return Step{s.Phase, ""}
	}
	if s.Phase == Waiting {
		return s.fromWaiting()
	}
	if s.Stopped || s.Verdict.Bad() {
		return Step{RolledBack, "the evidence is against the version"}
	}
	switch s.Phase {
	case Canary:
		return s.fromCanary()
	case Shifting:
		if s.PhaseAge >= rampTime {
			return Step{Draining, "all requests are moved"}
		}
	case Draining:
		// The old version stays available as long as time allows: the new one has all requests
		// for the first time, and may turn bad under this load.
		if s.Settled >= s.Gateways && s.Age >= s.TimeLimit-completionTime {
			return Step{Completed, "no gateway has anything at the old version"}
		}
	}
	return Step{s.Phase, ""}
}

func (s *Situation) fromWaiting() Step {
	switch {
	case s.Age >= s.TimeLimit:
		return Step{RolledBack, "no upstream of the version came in time"}
	case s.NewReady > 0 && s.OldLeft == 0:
		return Step{Completed, "there is no other version"}
	case s.NewReady > 0:
		return Step{Canary, "upstreams of the version are ready"}
	}
	return Step{Waiting, ""}
}

func (s *Situation) fromCanary() Step {
	if s.Age < s.promoteAt() {
		return Step{Canary, ""}
	}
	if s.Verdict.Good() && s.HasCapacity {
		return Step{Shifting, "nothing speaks against the version"}
	}
	if s.Age < s.decideBy() {
		return Step{Canary, ""}
	}
	switch {
	case !s.HasCapacity:
		return Step{RolledBack, "too few upstreams of the version"}
	case s.Verdict.Answers < minAnswers:
		return Step{RolledBack, "too few answers of the version"}
	}
	return Step{RolledBack, "the version is in doubt"}
}
