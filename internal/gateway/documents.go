package gateway

import (
	"context"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/configuration"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
)

// peerDocuments gets documents from other gateways. It implements
// configuration.PeerDocuments.
type peerDocuments struct {
	members *membership.Controller
	pool    *peer.Pool
}

// Highest implements configuration.PeerDocuments.
func (p *peerDocuments) Highest() (configuration.Peer, bool) {
	id, revision, ok := p.members.Highest()
	return configuration.Peer{ID: id, Revision: revision}, ok
}

// GetDocuments implements configuration.PeerDocuments.
func (p *peerDocuments) GetDocuments(ctx context.Context, from ident.Instance, above ident.Revision) (document.Delta, error) {
	address, ok := p.members.PeerAddress(from)
	if !ok {
		return document.Delta{}, errcode.Errorf(errcode.Unavailable, "peer %s has no known address", from)
	}
	resp, err := p.pool.GetDocuments(ctx, address, &peerv1.GetDocumentsRequest{AboveRevision: uint64(above)})
	if err != nil {
		return document.Delta{}, err
	}
	return configuration.FromProto(resp), nil
}

// ownDocuments gives documents to other gateways. It implements
// peer.Documents, and membership.Configuration for the heartbeats.
type ownDocuments struct{ controller *configuration.Controller }

// GetDocuments implements peer.Documents.
func (o *ownDocuments) GetDocuments(_ context.Context, req *peerv1.GetDocumentsRequest) (*peerv1.GetDocumentsResponse, error) {
	return configuration.ToProto(o.controller.Delta(ident.Revision(req.GetAboveRevision()))), nil
}

// Revision implements membership.Configuration.
func (o *ownDocuments) Revision() ident.Revision { return o.controller.Revision() }
