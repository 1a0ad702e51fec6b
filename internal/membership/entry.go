// Package membership merges what several sources report about the instances:
// the platform's list, which lags, reclaim notices, the digests of peers (the
// other processes of the system) and the answers of upstreams.
//
// Within one incarnation, that is from one start of an instance to its end, the
// state only moves forward: alive, leaving, gone. Merging takes the later state,
// so the order, repetition and age of the messages do not matter, and "leaving"
// never turns back into "alive". A higher incarnation replaces a lower one.
//
// The state "suspect" is not merged: each process derives it from the age of the
// last proof of life that it knows. Upstreams do not take part in this protocol
// and cannot refute a suspicion, so a merged suspicion would outlive the
// partition that caused it.
//
// The package does no I/O and reads no clock: the current time is an argument.
// Nothing in it is safe for concurrent use.
package membership

import (
	"cmp"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Load is an upstream's load as some process observed it.
type Load struct {
	Running             uint32
	Queued              uint32
	QueuedPrefillTokens uint32
	// At is the time that the figures are from. Zero means that there are none.
	At time.Time
}

// Entry is what a process knows about one instance.
type Entry struct {
	ID          ident.Instance
	Incarnation ident.Incarnation
	// State is Alive, Leaving or Gone, never Suspect.
	State         blackboard.MemberState
	FailureDomain ident.FailureDomain
	// PeerAddress is empty for upstreams.
	PeerAddress string
	// LastSeen is the time of the last proof of life, that is the last answer of
	// the instance itself to some process. Zero means that there is none.
	LastSeen time.Time
	// GoneAt is the time when a process found out that the instance is gone.
	GoneAt time.Time
	Load   Load
	// Description is the instance as the platform lists it; nil if it is not
	// known yet. It must not be modified.
	Description *platform.Instance
}

// Merge combines two entries of the same instance. It is commutative,
// associative and idempotent.
func Merge(a, b Entry) Entry {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	out.State = max(a.State, b.State)
	out.FailureDomain = max(a.FailureDomain, b.FailureDomain)
	out.PeerAddress = max(a.PeerAddress, b.PeerAddress)
	out.LastSeen = boottime.Later(a.LastSeen, b.LastSeen)
	out.GoneAt = boottime.Later(a.GoneAt, b.GoneAt)
	out.Load = newerLoad(a.Load, b.Load)
	out.Description = chooseDescription(a.Description, b.Description)
	return out
}

// newerLoad returns the later figures, and of two from the same time the higher
// ones, so that the order of the arguments does not matter.
func newerLoad(a, b Load) Load {
	order := cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Running, b.Running),
		cmp.Compare(a.Queued, b.Queued),
		cmp.Compare(a.QueuedPrefillTokens, b.QueuedPrefillTokens),
	)
	if order >= 0 {
		return a
	}
	return b
}

// chooseDescription prefers a known description. Two different descriptions of
// the same incarnation are a fault of the platform; any deterministic choice
// will do, as long as all processes make the same one.
func chooseDescription(a, b *platform.Instance) *platform.Instance {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case compareDescriptions(a, b) >= 0:
		return a
	}
	return b
}

func compareDescriptions(a, b *platform.Instance) int {
	return cmp.Or(
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Role, b.Role),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
		compareBools(a.Reclaimable, b.Reclaimable),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
