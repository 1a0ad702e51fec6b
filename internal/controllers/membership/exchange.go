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

// session records how much of each other's table this process and one run of a
// peer have merged.
//
// It only serves to send less. A position that is wrong because one side
// restarted or an answer was lost makes the checksums differ, and then a full
// digest is requested.
type session struct {
	// epoch is that of the peer's run; 0 means not known.
	epoch uint64
	// acknowledged is how far the peer has merged our table.
	acknowledged membership.Position
	// merged is how far we have merged the peer's table.
	merged membership.Position
	// contact is how the last exchange with the peer ended, and failures how
	// many in a row have failed.
	contact  contact
	failures int
	// revision is the highest configuration revision that the peer announced.
	revision ident.Revision
}

// contact is how the last exchange with a peer ended.
type contact int

const (
	noContact contact = iota
	contactFailed
	contactMade
)

// recordContact records that a request or answer of the peer has just arrived.
func (s *session) recordContact(revision ident.Revision) {
	s.contact = contactMade
	s.failures = 0
	s.revision = max(s.revision, revision)
}

// advance moves a position forward, never back.
func advance(p *membership.Position, facts, figures uint64) {
	p.Facts = max(p.Facts, facts)
	p.Figures = max(p.Figures, figures)
}

// outgoing is a request and what is needed to apply its answer.
type outgoing struct {
	request *peerv1.ExchangeRequest
	// epoch is that of the peer's run for which the digest was made; 0 means
	// not known.
	epoch  uint64
	digest membership.Digest
}

// exchange sends one heartbeat and merges the answer. It returns the change
// number up to which the peer now has all facts.
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
	return out.digest.Sequence, nil
}

func (c *Controller) buildRequest(peer target) outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.session(peer.id)
	digest := c.table.DeltaSince(s.acknowledged, peer.id, c.maxFigures(!peer.figures))
	request := &peerv1.ExchangeRequest{
		From:          string(c.config.Self.ID),
		Incarnation:   uint64(c.config.Self.Incarnation),
		FailureDomain: string(c.config.Self.FailureDomain),
		PeerAddress:   c.config.Self.PeerAddress,
		Members:       encodeFacts(digest.Facts, true, now),
		Figures:       encodeFigures(digest.Figures, now),
		Revision:      uint64(c.revision()),
		Position:      c.position(s, digest),
	}
	request.Position.FactsOnly = !peer.figures
	request.Position.NeedsFull = c.needsFull(now)
	request.Position.NeedsDescriptions = request.Position.NeedsFull && !c.listRead
	return outgoing{request: request, epoch: s.epoch, digest: digest}
}

func (c *Controller) maxFigures(factsOnly bool) int {
	if factsOnly {
		return 0
	}
	return c.config.MaxFigures
}

// needsFull reports whether to request a full digest, at most one every
// FullInterval: when checksums have differed since the last one, as they do
// after the first answer to a new process. mergeResponse sets factsDiffer.
func (c *Controller) needsFull(now time.Time) bool {
	if !c.factsDiffer || now.Sub(c.lastFullRequest) < c.config.FullInterval {
		return false
	}
	c.lastFullRequest = now
	c.factsDiffer = false
	fullDigestsAsked.Add(1)
	return true
}

func (c *Controller) position(s *session, digest membership.Digest) *peerv1.DigestPosition {
	return &peerv1.DigestPosition{
		Epoch:                c.epoch,
		Sequence:             digest.Sequence,
		AcknowledgedEpoch:    s.epoch,
		AcknowledgedSequence: s.merged.Facts,
		FiguresSequence:      digest.FiguresSequence,
		AcknowledgedFigures:  s.merged.Figures,
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
		advance(&s.acknowledged, out.digest.Sequence, out.digest.FiguresSequence)
	}
	advance(&s.merged, position.GetSequence(), position.GetFiguresSequence())
	c.mergeFacts(from, ident.FailureDomain(resp.GetFailureDomain()), resp.GetMembers(), now)
	c.mergeFigures(from, resp.GetFigures(), now)
	c.observePeer(membership.Entry{
		ID:            from,
		Incarnation:   ident.Incarnation(resp.GetIncarnation()),
		FailureDomain: ident.FailureDomain(resp.GetFailureDomain()),
		PeerAddress:   peer.address,
	}, now)
	c.factsDiffer = c.factsDiffer || !c.compareFacts(s, position)
	c.publishFacts(now)
	s.recordContact(ident.Revision(resp.GetRevision()))
}

// compareFacts reports whether the peer had the same facts when it sent the
// position. If so, the facts that it got from others need not be sent to it.
func (c *Controller) compareFacts(s *session, position *peerv1.DigestPosition) bool {
	if c.table.Checksum() != position.GetChecksum() {
		return false
	}
	if s.acknowledged.Facts < c.table.LastFactSequence() {
		s.acknowledged.Facts = c.table.EqualThrough(s.acknowledged.Facts)
	}
	return true
}

// Exchange answers a peer's heartbeat.
func (c *Controller) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	if req.GetFrom() == "" || req.GetPosition().GetEpoch() == 0 {
		return nil, errcode.New(errcode.InvalidArgument, "heartbeat without sender or epoch")
	}
	if !validFigures(req.GetFigures()) {
		return nil, errcode.New(errcode.InvalidArgument, "heartbeat with figures of different lengths")
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
	advance(&s.merged, position.GetSequence(), position.GetFiguresSequence())
	if position.GetAcknowledgedEpoch() == c.epoch {
		advance(&s.acknowledged, position.GetAcknowledgedSequence(), position.GetAcknowledgedFigures())
	}
	c.mergeFacts(from, domain, req.GetMembers(), now)
	c.mergeFigures(from, req.GetFigures(), now)
	// A process without a peer address serves no peers and is not an instance
	// of its own, so it gets no entry.
	if req.GetPeerAddress() != "" {
		c.observePeer(membership.Entry{
			ID:            from,
			Incarnation:   ident.Incarnation(req.GetIncarnation()),
			FailureDomain: domain,
			PeerAddress:   req.GetPeerAddress(),
		}, now)
	}
	c.publishFacts(now)
	c.compareFacts(s, position)
	s.recordContact(ident.Revision(req.GetRevision()))
	return c.buildResponse(s, from, position, now)
}

func (c *Controller) buildResponse(s *session, to ident.Instance, asked *peerv1.DigestPosition, now time.Time) *peerv1.ExchangeResponse {
	digest := membership.Digest{}
	describe := true
	if asked.GetNeedsFull() {
		digest = c.table.Full()
		describe = asked.GetNeedsDescriptions()
	} else {
		digest = c.table.DeltaSince(s.acknowledged, to, c.maxFigures(asked.GetFactsOnly()))
	}
	return &peerv1.ExchangeResponse{
		From:          string(c.config.Self.ID),
		Incarnation:   uint64(c.config.Self.Incarnation),
		FailureDomain: string(c.config.Self.FailureDomain),
		Members:       encodeFacts(digest.Facts, describe, now),
		Figures:       encodeFigures(digest.Figures, now),
		Revision:      uint64(c.revision()),
		Position:      c.position(s, digest),
	}
}

// session returns the session with a peer.
func (c *Controller) session(id ident.Instance) *session {
	s, ok := c.sessions[id]
	if !ok {
		s = &session{acknowledged: c.recentPosition()}
		if id != "" {
			c.sessions[id] = s
		}
	}
	return s
}

// recentPosition returns the position assumed for a peer without a session: it
// has older changes from others, or the checksums differ and it requests a full
// digest.
func (c *Controller) recentPosition() membership.Position {
	return membership.Position{Facts: c.recent.sequence, Figures: c.recent.sequence}
}

// sessionOfRun returns the session with one run of a peer. A new run starts a
// new session, because it has nothing of what the earlier one had merged.
func (c *Controller) sessionOfRun(id ident.Instance, epoch uint64) *session {
	s := c.session(id)
	if s.epoch != 0 && s.epoch != epoch {
		*s = session{acknowledged: c.recentPosition(), contact: s.contact}
	}
	s.epoch = epoch
	return s
}

// mergeFacts merges the facts of a digest. A departure received from another
// failure domain is pushed to the own one; within a domain, the sender pushes
// it to all peers itself.
func (c *Controller) mergeFacts(from ident.Instance, domain ident.FailureDomain, lines []*peerv1.MemberEntry, now time.Time) {
	var departed []ident.Instance
	for _, line := range lines {
		if !validFact(line) {
			continue
		}
		e := decodeFact(line, now)
		if c.table.MergePeer(from, e, now) == membership.Departure {
			departed = append(departed, e.ID)
		}
	}
	if len(departed) == 0 {
		return
	}
	if domain == c.config.Self.FailureDomain {
		departuresSeen.Add(int64(len(departed)))
		c.checkOwnDeparture(departed)
		return
	}
	c.handleDepartures(departed, ownDomain)
}

// mergeFigures merges the figures of a digest. It ignores those of instances or
// incarnations that this process does not know.
func (c *Controller) mergeFigures(from ident.Instance, figures *peerv1.Figures, now time.Time) {
	if !validFigures(figures) {
		return
	}
	for i, key := range figures.GetKey() {
		known, ok := c.table.FindByKey(key)
		if ok {
			c.table.MergePeer(from, decodeFigures(figures, i, known, now), now)
		}
	}
}

// observePeer records in the table that a peer has just sent a request or an
// answer.
func (c *Controller) observePeer(e membership.Entry, now time.Time) {
	if e.ID == "" || e.ID == c.config.Self.ID {
		return
	}
	e.State = blackboard.Alive
	e.LastSeen = now
	c.table.Observe(e, now)
}

func (c *Controller) revision() ident.Revision {
	if c.deps.Configuration == nil {
		return 0
	}
	return c.deps.Configuration.Revision()
}

// noteFailure records that an exchange with a peer failed.
func (c *Controller) noteFailure(id ident.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.session(id)
	s.contact = contactFailed
	s.failures++
}

// HighestPeer returns the reachable peer with the highest configuration revision.
// It returns false while no peer is reachable, and until an exchange with every
// known peer has succeeded or failed once: a peer not asked yet may have a
// higher revision.
func (c *Controller) HighestPeer() (ident.Instance, ident.Revision, bool) {
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

// PeerAddress returns the address of a peer and whether it serves exchanges.
func (c *Controller) PeerAddress(id ident.Instance) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.table.Find(id)
	return e.PeerAddress, ok && isPeer(e, c.config.Self.ID)
}
