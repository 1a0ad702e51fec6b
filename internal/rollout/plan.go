package rollout

import "time"

// Situation is what the holder of the duties knows of a running order.
type Situation struct {
	Phase Phase
	// Age is the time since the order, PhaseAge since the phase began here.
	Age, PhaseAge time.Duration
	TimeLimit     time.Duration
	// NewReady counts the new version's upstreams that take work, OldLeft the others
	// that still run.
	NewReady, OldLeft int
	// Room: the new version's upstreams can take the work of all.
	HasCapacity bool
	Verdict     Verdict
	// Stopped: a gateway found the version to be bad.
	Stopped bool
	// Settled counts the gateways that have nothing at the old version and send nothing
	// there, of Gateways that there may be.
	Settled, Gateways int
	// DrainTime is how long nearly all answers take.
	DrainTime time.Duration
}

const (
	// rampTime is over how long all requests are moved: work that comes all at once to
	// upstreams without any of its prompts cached makes queues everywhere.
	rampTime = time.Second
	// completionTime is what the word to all gateways and the two writes of the end take.
	completionTime = 1200 * time.Millisecond
	// maxDrainFraction of the time is kept for answers to end: the rest must show whether the
	// version is good.
	maxDrainFraction = 0.4
)

// promoteAt is when a version is promoted that nothing speaks against: as late as the rest
// can still be done in time, because a version may turn bad late.
func (s *Situation) promoteAt() time.Duration {
	drain := min(s.DrainTime, time.Duration(maxDrainFraction*float64(s.TimeLimit)))
	return max(s.TimeLimit-drain-rampTime-completionTime, s.TimeLimit/3)
}

// decideBy is when the decision falls at the latest.
func (s *Situation) decideBy() time.Duration {
	return max(s.TimeLimit-rampTime-completionTime, s.promoteAt())
}

// Step is the next phase of an order, with the reason.
type Step struct {
	Phase  Phase
	Reason string
}

// Next returns the phase that follows from a situation: the same one where nothing is due.
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
		// As long as there is time the old version stays at hand: the new one now has all
		// requests for the first time, and may turn bad under them.
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
