package placement

import (
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

// exclusion is why an upstream may not take an attempt.
type exclusion int

// The exclusions.
const (
	// eligible: nothing speaks against it.
	eligible exclusion = iota
	// leaves: it accepts no new work.
	leaves
	// otherSoftware: the caller holds events of another software version.
	otherSoftware
	// tried: the call was sent there before.
	tried
	// ejected: it failed too often.
	ejected
	// unreachable: a connection to it failed a moment ago.
	unreachable
	// cutOff: its failure domain is probably cut off from this one.
	cutOff
	// notShared: it is not among those that this gateway connects to.
	notShared
	// hasPause: it asked this gateway for a pause.
	hasPause
	// isFull: it has as many requests as it may get.
	isFull
	// notLeased: the call has a slot at another one.
	notLeased
	// tooNew: other gateways may not have heard of its software version, at which streams begin only if no other takes
	// them.
	tooNew
	// tooSlow: it would probably not serve the call in time.
	tooSlow
	numExclusions
)

// exclusionNames are the names of the exclusions in logs.
var exclusionNames = [numExclusions]string{
	leaves: "leaves", otherSoftware: "other_software", tried: "tried", ejected: "ejected", unreachable: "unreachable", cutOff: "cut_off",
	notShared: "not_shared", hasPause: "paused", isFull: "full", notLeased: "not_leased", tooNew: "too_new", tooSlow: "too_slow",
}

// exclusionCounts counts upstreams by why they were passed over.
type exclusionCounts [numExclusions]int

// names returns the reasons that occurred, in a fixed order.
func (c *exclusionCounts) names() []string {
	var out []string
	for why, n := range c {
		if n > 0 {
			out = append(out, exclusionNames[why])
		}
	}
	return out
}

// bans are the upstreams that a search passes over.
type bans struct {
	// only is the upstream at which the call has a slot; empty if it has none.
	only    ident.Instance
	tried   []ident.Instance
	ejected []ident.Instance
	cutOff  []ident.FailureDomain
	share   connectionShare
	// suspectsToo lets upstreams be chosen that may be unable to serve: of these, one is better than
	// none.
	suspectsToo bool
}

// softwareFilter tells which upstreams may add events to those that a call's caller holds.
type softwareFilter struct {
	call *forward.Call
	// unnamedAmongNamed: the stream began at an upstream that names no software version, and others of the
	// service name one. Those that name none may differ then.
	unnamedAmongNamed bool
}

// softwareFilterOf returns the filter for a call, by all upstreams of its service.
func softwareFilterOf(call *forward.Call, all []directory.Upstream) softwareFilter {
	named := func(u directory.Upstream) bool { return u.SoftwareVersion != "" }
	return softwareFilter{call, call.Origin != nil && call.Origin.SoftwareVersion == "" && slices.ContainsFunc(all, named)}
}

func (f softwareFilter) fits(u *directory.Upstream) bool {
	return !f.unnamedAmongNamed && f.call.FitsSoftware(u.SoftwareVersion)
}

// takesWork reports whether an upstream fits and accepts new work.
func (f softwareFilter) takesWork(u *directory.Upstream) bool {
	return u.State == directory.Ready && f.fits(u)
}

// exclusionOf returns why an upstream may not take the call, apart from its load.
func (s *search) exclusionOf(u *directory.Upstream, o *ownWork) exclusion {
	switch b := &s.bans; {
	case !s.software.fits(u):
		return otherSoftware
	case u.State != directory.Ready:
		return leaves
	case b.only != "" && u.ID != b.only:
		return notLeased
	case contains(b.tried, u.ID):
		return tried
	case s.holdsBack(u) && !(s.newToo && s.chooser.cfg.MayBegin(u.Service, u.SoftwareVersion)):
		return tooNew
	case b.suspectsToo:
		return eligible
	case contains(b.ejected, u.ID):
		return ejected
	case s.now.Before(o.avoidUntil):
		return unreachable
	case contains(b.cutOff, u.FailureDomain):
		return cutOff
	case !s.chooser.mayUse(u, b.share):
		return notShared
	}
	return eligible
}

// holdsBack reports whether the call would begin a stream that its caller may take up, at a software
// version that other gateways may not have heard of.
func (s *search) holdsBack(u *directory.Upstream) bool {
	return s.call.Route.Resumable && s.call.Origin == nil && s.chooser.cfg.HoldsBack(u.Service, u.SoftwareVersion, s.now)
}

// lacksSoftware reports whether the call needs a software version of which no upstream among the
// candidates stays. A gateway that knows no upstream of the service at all can't tell.
func (s *search) lacksSoftware(lists rollout.Candidates) bool {
	if len(s.chooser.view.Of(s.call.Service.Name)) == 0 {
		return false
	}
	takesWork := func(u directory.Upstream) bool { return s.software.takesWork(&u) }
	return s.call.Origin != nil && !slices.ContainsFunc(lists.Preferred, takesWork) && !slices.ContainsFunc(lists.Fallback, takesWork)
}
