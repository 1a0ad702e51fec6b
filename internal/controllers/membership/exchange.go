package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
)

// session is how far this process and one run of a peer inform each other.
//
// It only saves bytes. A position that is wrong, because one side restarted or
// an answer was lost, shows in the checksums, and a full digest follows.
type session struct {
	// epoch of the peer's run; 0: not known.
	epoch uint64
	// acknowledged is the number of our table that the peer has merged.
	acknowledged uint64
	// merged is the number of the peer's table that we have merged.
	merged uint64
	// contact is how the last exchange with the peer ended.
	contact contact
	// revision is the highest configuration revision that the peer told.
	revision ident.Revision
}

// contact is how the last exchange with a peer ended.
type contact int

const (
	noContact contact = iota
	contactFailed
	contactMade
)

// heard notes that the peer has just asked or answered.
func (s *session) heard(revision ident.Revision) {
	s.contact = contactMade
	s.revision = max(s.revision, revision)
}

// outgoing is a request with what its answer will mean.
type outgoing struct {
	request *peerv1.ExchangeRequest
	// epoch of the peer that the digest was made for.
	epoch        uint64
	sequence     uint64
	factsThrough uint64
}

// exchange sends one heartbeat and merges the answer. It returns the number of
// the table up to which the peer now has all facts.
func (c *Controller) exchange(ctx context.Context, peer target) (uint64, error) {
	out := c.buildRequest(peer)
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	exchangesSent.Add(1)
	bytesSent.Add(int64(proto.Size(out.request)))
	resp, err := c.deps.Transport.Exchange(ctx, peer.address, out.request)
	if err != nil {
		exchangesFailed.Add(1)
		c.noteFailure(peer.id)
		return 0, err
	}
	bytesReceived.Add(int64(proto.Size(resp)))
	c.mergeResponse(peer, out, resp)
	return out.factsThrough, nil
}

func (c *Controller) buildRequest(peer target) outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.session(peer.id)
	digest := c.table.DeltaSince(s.acknowledged, peer.id, c.config.MaxFigures)
	request := &peerv1.ExchangeRequest{
		From:          string(c.config.Self.ID),
		Incarnation:   uint64(c.config.Self.Incarnation),
		FailureDomain: string(c.config.Self.FailureDomain),
		PeerAddress:   c.config.Self.PeerAddress,
		Members:       encodeLines(digest.Lines, true, now),
		Revision:      uint64(c.revision()),
		Position:      c.position(s, digest),
	}
	request.Position.NeedsFull = c.needsFull(now)
	request.Position.NeedsDescriptions = request.Position.NeedsFull && !c.listed
	return outgoing{request: request, epoch: s.epoch, sequence: digest.Sequence, factsThrough: digest.FactsThrough}
}

// needsFull reports whether to ask for a full digest: at the start, and when
// the checksums differed since the last one. mismatch is set by mergeResponse.
func (c *Controller) needsFull(now time.Time) bool {
	if !c.mismatch || now.Sub(c.lastFull) < c.config.FullInterval {
		return false
	}
	c.lastFull = now
	c.mismatch = false
	fullDigestsAsked.Add(1)
	return true
}

func (c *Controller) position(s *session, digest membership.Digest) *peerv1.DigestPosition {
	return &peerv1.DigestPosition{
		Epoch:                c.epoch,
		Sequence:             digest.Sequence,
		AcknowledgedEpoch:    s.epoch,
		AcknowledgedSequence: s.merged,
		Checksum:             c.table.Checksum(),
	}
}

func (c *Controller) mergeResponse(peer target, out outgoing, resp *peerv1.ExchangeResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	from := ident.Instance(resp.GetFrom())
	position := resp.GetPosition()
	s := c.sessionOfRun(from, position.GetEpoch())
	if out.epoch == s.epoch || out.epoch == 0 {
		s.acknowledged = max(s.acknowledged, out.sequence)
	}
	s.merged = max(s.merged, position.GetSequence())
	matters := c.mergeLines(from, ident.FailureDomain(resp.GetFailureDomain()), resp.GetMembers(), now)
	matters = c.observePeer(membership.Entry{
		ID:            from,
		Incarnation:   ident.Incarnation(resp.GetIncarnation()),
		FailureDomain: ident.FailureDomain(resp.GetFailureDomain()),
		PeerAddress:   peer.address,
	}, now) || matters
	c.mismatch = c.mismatch || c.table.Checksum() != position.GetChecksum()
	if matters {
		c.publish(now)
	}
	s.heard(ident.Revision(resp.GetRevision()))
}

// Exchange answers a peer's heartbeat.
func (c *Controller) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	if req.GetFrom() == "" || req.GetPosition().GetEpoch() == 0 {
		return nil, errcode.New(errcode.InvalidArgument, "heartbeat without sender or epoch")
	}
	exchangesServed.Add(1)
	bytesReceived.Add(int64(proto.Size(req)))
	resp := c.serve(req)
	bytesSent.Add(int64(proto.Size(resp)))
	return resp, nil
}

func (c *Controller) serve(req *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	from := ident.Instance(req.GetFrom())
	domain := ident.FailureDomain(req.GetFailureDomain())
	position := req.GetPosition()
	s := c.sessionOfRun(from, position.GetEpoch())
	s.merged = max(s.merged, position.GetSequence())
	if position.GetAcknowledgedEpoch() == c.epoch {
		s.acknowledged = max(s.acknowledged, position.GetAcknowledgedSequence())
	}
	matters := c.mergeLines(from, domain, req.GetMembers(), now)
	matters = c.observePeer(membership.Entry{
		ID:            from,
		Incarnation:   ident.Incarnation(req.GetIncarnation()),
		FailureDomain: domain,
		PeerAddress:   req.GetPeerAddress(),
	}, now) || matters
	if matters {
		c.publish(now)
	}
	s.heard(ident.Revision(req.GetRevision()))
	return c.buildResponse(s, from, position, now)
}

func (c *Controller) buildResponse(s *session, to ident.Instance, asked *peerv1.DigestPosition, now time.Time) *peerv1.ExchangeResponse {
	digest := membership.Digest{}
	describe := true
	if asked.GetNeedsFull() {
		digest = c.table.Full()
		describe = asked.GetNeedsDescriptions()
	} else {
		digest = c.table.DeltaSince(s.acknowledged, to, c.config.MaxFigures)
	}
	return &peerv1.ExchangeResponse{
		From:          string(c.config.Self.ID),
		Incarnation:   uint64(c.config.Self.Incarnation),
		FailureDomain: string(c.config.Self.FailureDomain),
		Members:       encodeLines(digest.Lines, describe, now),
		Revision:      uint64(c.revision()),
		Position:      c.position(s, digest),
	}
}

// session returns the session with a peer.
func (c *Controller) session(id ident.Instance) *session {
	s, ok := c.sessions[id]
	if !ok {
		s = &session{acknowledged: c.recent.sequence}
		if id != "" {
			c.sessions[id] = s
		}
	}
	return s
}

// sessionOfRun returns the session with one run of a peer. A new run of the
// peer knows nothing of what the earlier one had merged.
func (c *Controller) sessionOfRun(id ident.Instance, epoch uint64) *session {
	s := c.session(id)
	if s.epoch != 0 && s.epoch != epoch {
		*s = session{acknowledged: c.recent.sequence, contact: s.contact}
	}
	s.epoch = epoch
	return s
}

// mergeLines merges a digest. A departure that comes from another failure
// domain is pushed on within the own one; its sender does that in its own.
func (c *Controller) mergeLines(from ident.Instance, domain ident.FailureDomain, lines []*peerv1.MemberEntry, now time.Time) bool {
	var departed []ident.Instance
	matters := false
	for _, line := range lines {
		e := decodeLine(line, now)
		change := c.table.MergePeer(from, e, now)
		if change == membership.Departure {
			departed = append(departed, e.ID)
		}
		matters = matters || c.matters(e.ID, change)
	}
	if len(departed) == 0 {
		return matters
	}
	if domain == c.config.Self.FailureDomain {
		departuresSeen.Add(int64(len(departed)))
		c.checkOwnDeparture(departed)
		return matters
	}
	c.departed(departed, ownDomain)
	return matters
}

// matters reports whether a change may have to be published at once. To compare
// all published states after every heartbeat was the largest part of its cost;
// what time alone changes is published once an interval, by nextTargets.
func (c *Controller) matters(id ident.Instance, change membership.Change) bool {
	return change >= membership.Fact || c.published[id].State == blackboard.Suspect
}

// observePeer records that a peer has just answered or asked. It reports
// whether the published states may differ now.
func (c *Controller) observePeer(e membership.Entry, now time.Time) bool {
	if e.ID == "" || e.ID == c.config.Self.ID {
		return false
	}
	e.State = blackboard.Alive
	e.Seen = now
	return c.matters(e.ID, c.table.Observe(e, now))
}

func (c *Controller) revision() ident.Revision {
	if c.deps.Configuration == nil {
		return 0
	}
	return c.deps.Configuration.Revision()
}

// noteFailure notes that a peer did not answer.
func (c *Controller) noteFailure(id ident.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session(id).contact = contactFailed
}

// Highest returns the reachable peer with the highest configuration revision.
// It is false when no peer is reachable, and until every known peer was heard
// of or failed once: the one not asked yet may hold a higher revision.
func (c *Controller) Highest() (ident.Instance, ident.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best ident.Instance
	var highest ident.Revision
	for e := range c.table.All {
		if !isPeer(e, c.config.Self.ID) {
			continue
		}
		s, ok := c.sessions[e.ID]
		if !ok || s.contact == noContact {
			return "", 0, false
		}
		better := s.revision > highest || best == ""
		if s.contact == contactMade && better {
			best, highest = e.ID, s.revision
		}
	}
	return best, highest, best != ""
}

// PeerAddress returns the address of a peer that serves exchanges.
func (c *Controller) PeerAddress(id ident.Instance) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.table.Find(id)
	return e.PeerAddress, ok && isPeer(e, c.config.Self.ID)
}
