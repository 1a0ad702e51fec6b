package configuration

import (
	"context"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Peer is another process and the revision up to which it knows all records.
type Peer struct {
	ID ident.Instance
	// Address is host:port of its peer listener.
	Address  string
	Revision ident.Revision
}

// PeerDocuments gets configuration documents from other processes.
type PeerDocuments interface {
	// HighestPeer returns the reachable peer with the highest revision. It
	// returns false while no peer is reachable, and until an exchange with
	// every known peer has succeeded or failed once: a peer not asked yet may
	// have a higher revision.
	HighestPeer() (Peer, bool)
	// GetDocuments requests from a peer everything above a revision.
	GetDocuments(ctx context.Context, peer Peer, above ident.Revision) (document.Delta, error)
}

// PeerClient sends a request to the process at an address. *peer.Pool
// implements it.
type PeerClient interface {
	GetDocuments(ctx context.Context, address string, req *peerv1.GetDocumentsRequest) (*peerv1.GetDocumentsResponse, error)
}

// remotePeers sends requests to peers with the peers' protocol.
type remotePeers struct {
	client      PeerClient
	highestPeer func() (Peer, bool)
}

// NewPeers returns a PeerDocuments that sends requests with client and finds
// the most advanced peer with highest, for which the membership has the
// revisions from the heartbeats.
func NewPeers(client PeerClient, highest func() (Peer, bool)) PeerDocuments {
	return &remotePeers{client: client, highestPeer: highest}
}

// HighestPeer implements PeerDocuments.
func (r *remotePeers) HighestPeer() (Peer, bool) { return r.highestPeer() }

// GetDocuments implements PeerDocuments.
func (r *remotePeers) GetDocuments(ctx context.Context, peer Peer, above ident.Revision) (document.Delta, error) {
	req := &peerv1.GetDocumentsRequest{AboveRevision: uint64(above)}
	resp, err := r.client.GetDocuments(ctx, peer.Address, req)
	if err != nil {
		return document.Delta{}, err
	}
	return fromProto(resp), nil
}

// GetDocuments answers a peer's request for documents.
func (c *Controller) GetDocuments(_ context.Context, req *peerv1.GetDocumentsRequest) (*peerv1.GetDocumentsResponse, error) {
	return toProto(c.Delta(ident.Revision(req.GetAboveRevision()))), nil
}

func toProto(d document.Delta) *peerv1.GetDocumentsResponse {
	out := &peerv1.GetDocumentsResponse{Revision: uint64(d.CompleteThrough)}
	for _, r := range d.Records {
		out.Records = append(out.Records, &peerv1.DocumentRecord{
			Revision: uint64(r.Revision),
			Record:   r.Record,
		})
	}
	return out
}

func fromProto(in *peerv1.GetDocumentsResponse) document.Delta {
	d := document.Delta{CompleteThrough: ident.Revision(in.GetRevision())}
	for _, r := range in.GetRecords() {
		d.Records = append(d.Records, document.DeltaRecord{
			Revision: ident.Revision(r.GetRevision()),
			Record:   r.GetRecord(),
		})
	}
	return d
}
