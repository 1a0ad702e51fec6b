package gateway

import (
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/configuration"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// highestRevisionPeer returns the reachable gateway whose heartbeats report the highest
// revision.
func (p *Process) highestRevisionPeer() (configuration.Peer, bool) {
	id, revision, ok := p.members.HighestPeer()
	if !ok {
		return configuration.Peer{}, false
	}
	address, ok := p.members.PeerAddress(id)
	return configuration.Peer{ID: id, Address: address, Revision: revision}, ok
}

// ownRevision gives the membership controller the configuration revision of this
// process. The membership and the configuration controller need each other, so the
// field controller is set after both were created.
type ownRevision struct{ controller *configuration.Controller }

// Revision implements membership.Configuration.
func (o *ownRevision) Revision() ident.Revision { return o.controller.Revision() }
