package membership

import (
	"time"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// encodeFacts returns the wire form of facts. Times are sent as ages, since the
// clocks of two instances cannot be compared.
func encodeFacts(facts []membership.Entry, describe bool, now time.Time) []*peerv1.MemberEntry {
	out := make([]*peerv1.MemberEntry, 0, len(facts))
	for _, e := range facts {
		out = append(out, encodeFact(e, describe, now))
	}
	return out
}

func encodeFact(e membership.Entry, describe bool, now time.Time) *peerv1.MemberEntry {
	line := &peerv1.MemberEntry{
		InstanceId:          string(e.ID),
		Incarnation:         uint64(e.Incarnation),
		State:               peerv1.MemberState(e.State),
		Running:             e.Load.Running,
		Queued:              e.Load.Queued,
		QueuedPrefillTokens: e.Load.QueuedPrefillTokens,
		LoadAgeMs:           encodeAge(e.Load.At, now),
		FailureDomain:       string(e.FailureDomain),
		PeerAddress:         e.PeerAddress,
		AgeMs:               encodeAge(e.LastSeen, now),
	}
	if e.State == blackboard.Gone {
		line.AgeMs = encodeAge(e.GoneAt, now)
	}
	if describe && e.Description != nil {
		line.Description = encodeDescription(e.Description)
	}
	return line
}

// encodeFigures returns the wire form of figures, nil if there are none.
func encodeFigures(figures []membership.Entry, now time.Time) *peerv1.Figures {
	if len(figures) == 0 {
		return nil
	}
	out := &peerv1.Figures{}
	for _, e := range figures {
		out.Key = append(out.Key, membership.IncarnationKey(e))
		out.Running = append(out.Running, e.Load.Running)
		out.Queued = append(out.Queued, e.Load.Queued)
		out.QueuedPrefillTokens = append(out.QueuedPrefillTokens, e.Load.QueuedPrefillTokens)
		out.LoadAgeMs = append(out.LoadAgeMs, encodeAge(e.Load.At, now))
		out.AgeMs = append(out.AgeMs, encodeAge(e.LastSeen, now))
	}
	return out
}

// validFigures reports whether all lists of figures have the same length.
func validFigures(f *peerv1.Figures) bool {
	n := len(f.GetKey())
	for _, list := range [][]uint32{f.GetRunning(), f.GetQueued(), f.GetQueuedPrefillTokens(), f.GetLoadAgeMs(), f.GetAgeMs()} {
		if len(list) != n {
			return false
		}
	}
	return true
}

// decodeFigures returns the figures at index i as an entry of the known
// instance in state Alive.
func decodeFigures(f *peerv1.Figures, i int, known membership.Entry, now time.Time) membership.Entry {
	return membership.Entry{
		ID:            known.ID,
		Incarnation:   known.Incarnation,
		State:         blackboard.Alive,
		FailureDomain: known.FailureDomain,
		LastSeen:      decodeAge(f.GetAgeMs()[i], now),
		Load: membership.Load{
			Running:             f.GetRunning()[i],
			Queued:              f.GetQueued()[i],
			QueuedPrefillTokens: f.GetQueuedPrefillTokens()[i],
			At:                  decodeAge(f.GetLoadAgeMs()[i], now),
		},
	}
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

// validFact reports whether a line has an instance ID and a state that this
// program knows. Lines with other states, which a newer program may send, are
// ignored.
func validFact(line *peerv1.MemberEntry) bool {
	state := blackboard.MemberState(line.GetState())
	return line.GetInstanceId() != "" && state >= blackboard.Alive && state <= blackboard.Gone
}

func decodeFact(line *peerv1.MemberEntry, now time.Time) membership.Entry {
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
	if e.State == blackboard.Gone {
		e.GoneAt = decodeAge(line.GetAgeMs(), now)
	} else {
		e.LastSeen = decodeAge(line.GetAgeMs(), now)
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

// maxAge is the greatest age on the wire; a greater one is sent as maxAge. By
// then the difference matters no more.
const maxAge = 24 * time.Hour

// encodeAge returns the age in milliseconds plus one, or 0 for the zero time.
// It rounds up, so that an age never gets smaller when it is passed on.
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
