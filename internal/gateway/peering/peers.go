package peering

import (
	"cmp"
	"context"
	"errors"
	"slices"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// Client sends requests to the peer at an address. peer.Pool implements it.
type Client interface {
	PutOutcomes(ctx context.Context, address string, req *peerv1.PutOutcomesRequest) (*peerv1.PutOutcomesResponse, error)
	FindOutcome(ctx context.Context, address string, req *peerv1.FindOutcomeRequest) (*peerv1.FindOutcomeResponse, error)
	HandOver(ctx context.Context, address string, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error)
}

// Peers finds the other gateways in the membership.
type Peers struct {
	Self    ident.Instance
	Domain  ident.FailureDomain
	Members *blackboard.Section[*blackboard.Members]
	Client  Client
}

var _ calls.Peers = (*Peers)(nil)

// alivePeers returns the other gateways that the membership holds to be alive. Those of
// other failure domains come first, because a reclaim or a network cut of this
// gateway's own domain does not affect them.
func (p *Peers) alivePeers() []*remote {
	var found []*remote
	for _, m := range p.Members.Value().ByID {
		in := m.Instance
		if in.Role != platform.RoleEntry || in.ID == p.Self || in.PeerAddress == "" || m.State != blackboard.Alive {
			continue
		}
		found = append(found, &remote{id: in.ID, address: in.PeerAddress, sameDomain: in.FailureDomain == p.Domain, peers: p})
	}
	slices.SortFunc(found, func(a, b *remote) int {
		if a.sameDomain != b.sameDomain {
			if a.sameDomain {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.id, b.id)
	})
	return found
}

// Candidates implements calls.Peers.
func (p *Peers) Candidates() []calls.Peer {
	var out []calls.Peer
	for _, r := range p.alivePeers() {
		out = append(out, r)
	}
	return out
}

// StreamPeers returns the same peers for the hand-over of streams.
func (p *Peers) StreamPeers() []streaming.Peer {
	var out []streaming.Peer
	for _, r := range p.alivePeers() {
		out = append(out, streamPeer{r})
	}
	return out
}

// remote is another gateway.
type remote struct {
	id         ident.Instance
	address    string
	sameDomain bool
	peers      *Peers
}

// ID implements calls.Peer.
func (r *remote) ID() ident.Instance { return r.id }

// PutOutcomes implements calls.Peer.
func (r *remote) PutOutcomes(ctx context.Context, outcomes []calls.KeyedOutcome) error {
	req := &peerv1.PutOutcomesRequest{}
	for _, o := range outcomes {
		req.Outcomes = append(req.Outcomes, outcomeToWire(o))
	}
	_, err := r.peers.Client.PutOutcomes(ctx, r.address, req)
	return err
}

// FindOutcome implements calls.Peer.
func (r *remote) FindOutcome(ctx context.Context, key ident.CallKey) (calls.PeerAnswer, error) {
	resp, err := r.peers.Client.FindOutcome(ctx, r.address, &peerv1.FindOutcomeRequest{
		Service:       string(key.Service),
		ClientAccount: string(key.Account),
		Key:           string(key.Key),
	})
	if err != nil {
		return calls.PeerAnswer{}, err
	}
	answer := calls.PeerAnswer{Running: resp.GetRunning()}
	if resp.GetOutcome() == nil {
		return answer, nil
	}
	o, err := outcomeFromWire(resp.GetOutcome())
	if err != nil {
		return calls.PeerAnswer{}, err
	}
	answer.Outcome = &o
	return answer, nil
}

// HandOver implements calls.Peer. If the peer refuses, the error matches
// calls.ErrNotHanded and the peer has accepted nothing. After any other error the peer
// may have accepted the calls.
func (r *remote) HandOver(ctx context.Context, h calls.HandOver) ([]journal.ClaimID, error) {
	req := &peerv1.HandOverRequest{From: string(r.peers.Self)}
	known := map[string]journal.ClaimID{}
	for _, c := range h.Calls {
		req.Calls = append(req.Calls, callToWire(c))
		known[c.Claim.String()] = c.Claim
	}
	for _, o := range h.Outcomes {
		req.Outcomes = append(req.Outcomes, outcomeToWire(o))
	}
	resp, err := r.peers.Client.HandOver(ctx, r.address, req)
	if errcode.Of(err) == errcode.FailedPrecondition {
		return nil, errors.Join(calls.ErrNotHanded, err)
	}
	if err != nil {
		return nil, err
	}
	var accepted []journal.ClaimID
	for _, id := range resp.GetAccepted() {
		if claim, ok := known[id]; ok {
			accepted = append(accepted, claim)
		}
	}
	return accepted, nil
}

// streamPeer is a gateway that streams can be handed over to.
type streamPeer struct{ remote *remote }

// HandOver implements streaming.Peer.
func (s streamPeer) HandOver(ctx context.Context, streams []streaming.HandedStream) ([]streaming.Key, error) {
	req := &peerv1.HandOverRequest{From: string(s.remote.peers.Self)}
	known := map[string]streaming.Key{}
	for _, h := range streams {
		req.Streams = append(req.Streams, streamToWire(h))
		known[h.Key.String()] = h.Key
	}
	resp, err := s.remote.peers.Client.HandOver(ctx, s.remote.address, req)
	if err != nil {
		return nil, err
	}
	var accepted []streaming.Key
	for _, name := range resp.GetAccepted() {
		if key, ok := known[name]; ok {
			accepted = append(accepted, key)
		}
	}
	return accepted, nil
}

// Local serves the requests of other gateways.
type Local struct {
	Calls interface {
		PutOutcomes(outcomes []calls.KeyedOutcome)
		FindLocal(key ident.CallKey) calls.PeerAnswer
		AcceptHandOver(h calls.HandOver) []journal.ClaimID
	}
	Streams interface {
		Accept(streams []streaming.HandedStream) []streaming.Key
	}
	// Stopping is true when this gateway is leaving; it then accepts no hand-over.
	Stopping *blackboard.Section[bool]
}

// PutOutcomes implements peer.Calls.
func (l *Local) PutOutcomes(_ context.Context, req *peerv1.PutOutcomesRequest) (*peerv1.PutOutcomesResponse, error) {
	outcomes, err := outcomesFromWire(req.GetOutcomes())
	if err != nil {
		return nil, err
	}
	l.Calls.PutOutcomes(outcomes)
	return &peerv1.PutOutcomesResponse{}, nil
}

func outcomesFromWire(wire []*peerv1.KeyedOutcome) ([]calls.KeyedOutcome, error) {
	var outcomes []calls.KeyedOutcome
	for _, w := range wire {
		o, err := outcomeFromWire(w)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, o)
	}
	return outcomes, nil
}

// FindOutcome implements peer.Calls.
func (l *Local) FindOutcome(_ context.Context, req *peerv1.FindOutcomeRequest) (*peerv1.FindOutcomeResponse, error) {
	answer := l.Calls.FindLocal(callKey(req.GetService(), req.GetClientAccount(), req.GetKey()))
	resp := &peerv1.FindOutcomeResponse{Running: answer.Running}
	if answer.Outcome != nil {
		resp.Outcome = outcomeToWire(*answer.Outcome)
	}
	return resp, nil
}

// HandOver implements peer.Calls. It checks the whole request before it accepts
// anything, so an error means that nothing was accepted.
func (l *Local) HandOver(_ context.Context, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	if l.Stopping.Value() {
		return nil, errcode.New(errcode.FailedPrecondition, "this gateway is leaving itself")
	}
	var h calls.HandOver
	for _, w := range req.GetCalls() {
		call, err := callFromWire(w)
		if err != nil {
			return nil, err
		}
		h.Calls = append(h.Calls, call)
	}
	outcomes, err := outcomesFromWire(req.GetOutcomes())
	if err != nil {
		return nil, err
	}
	h.Outcomes = outcomes
	var streams []streaming.HandedStream
	for _, w := range req.GetStreams() {
		streams = append(streams, streamFromWire(w))
	}
	resp := &peerv1.HandOverResponse{}
	for _, id := range l.Calls.AcceptHandOver(h) {
		resp.Accepted = append(resp.Accepted, id.String())
	}
	for _, key := range l.Streams.Accept(streams) {
		resp.Accepted = append(resp.Accepted, key.String())
	}
	return resp, nil
}
