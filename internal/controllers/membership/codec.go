package membership

import (
	"time"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// encodeLines returns the wire form of a digest. Times travel as ages, since
// the clocks of two instances cannot be compared.
func encodeLines(lines []membership.Line, describe bool, now time.Time) []*peerv1.MemberEntry {
	out := make([]*peerv1.MemberEntry, 0, len(lines))
	for _, line := range lines {
		out = append(out, encodeLine(line, describe, now))
	}
	return out
}

func encodeLine(line membership.Line, describe bool, now time.Time) *peerv1.MemberEntry {
	e := &peerv1.MemberEntry{
		InstanceId:          string(line.ID),
		Incarnation:         uint64(line.Incarnation),
		Running:             line.Load.Running,
		Queued:              line.Load.Queued,
		QueuedPrefillTokens: line.Load.QueuedPrefillTokens,
		LoadAgeMs:           encodeAge(line.Load.At, now),
		AgeMs:               encodeAge(line.Seen, now),
	}
	if !line.Fact {
		return e
	}
	e.State = peerv1.MemberState(line.State)
	e.FailureDomain = string(line.FailureDomain)
	e.PeerAddress = line.PeerAddress
	if line.State == blackboard.Gone {
		e.AgeMs = encodeAge(line.GoneAt, now)
	}
	if describe && line.Description != nil {
		e.Description = encodeDescription(line.Description)
	}
	return e
}

func encodeDescription(d *platform.Instance) *peerv1.MemberDescription {
	return &peerv1.MemberDescription{
		Role:         int32(d.Role),
		Service:      string(d.Service),
		Region:       string(d.Region),
		MachineClass: string(d.Class),
		Reclaimable:  d.Reclaimable,
		Address:      d.Address,
	}
}

func decodeLine(line *peerv1.MemberEntry, now time.Time) membership.Entry {
	e := membership.Entry{
		ID:            ident.Instance(line.GetInstanceId()),
		Incarnation:   ident.Incarnation(line.GetIncarnation()),
		State:         blackboard.MemberState(line.GetState()),
		FailureDomain: ident.FailureDomain(line.GetFailureDomain()),
		PeerAddress:   line.GetPeerAddress(),
		Load: membership.Load{
			Running:             line.GetRunning(),
			Queued:              line.GetQueued(),
			QueuedPrefillTokens: line.GetQueuedPrefillTokens(),
			At:                  decodeAge(line.GetLoadAgeMs(), now),
		},
	}
	switch e.State {
	case blackboard.Alive, blackboard.Leaving:
		e.Seen = decodeAge(line.GetAgeMs(), now)
	case blackboard.Gone:
		e.GoneAt = decodeAge(line.GetAgeMs(), now)
	default:
		// A line without a state tells only figures.
		e.State = blackboard.Alive
		e.Seen = decodeAge(line.GetAgeMs(), now)
	}
	e.Description = decodeDescription(line, e)
	return e
}

func decodeDescription(line *peerv1.MemberEntry, e membership.Entry) *platform.Instance {
	d := line.GetDescription()
	if d == nil {
		return nil
	}
	return &platform.Instance{
		ID:            e.ID,
		Incarnation:   e.Incarnation,
		Role:          platform.Role(d.GetRole()),
		Service:       ident.Service(d.GetService()),
		Region:        ident.Region(d.GetRegion()),
		FailureDomain: e.FailureDomain,
		Class:         ident.MachineClass(d.GetMachineClass()),
		Reclaimable:   d.GetReclaimable(),
		Address:       d.GetAddress(),
		PeerAddress:   e.PeerAddress,
	}
}

// maxAge is the greatest age on the wire. Older is as good as never.
const maxAge = 24 * time.Hour

// encodeAge returns milliseconds plus one, or 0 for the zero time. An age never
// gets smaller on its way: it is rounded up.
func encodeAge(at, now time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	age := min(max(now.Sub(at), 0), maxAge)
	return uint32((age+time.Millisecond-1)/time.Millisecond) + 1
}

func decodeAge(wire uint32, now time.Time) time.Time {
	if wire == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(wire-1) * time.Millisecond)
}
