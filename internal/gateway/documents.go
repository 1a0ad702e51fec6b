package gateway

import (
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/configuration"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// highestRevisionPeer returns the reachable gateway with the highest revision, as the
// heartbeats tell it.
func (p *Process) highestRevisionPeer() (configuration.Peer, bool) {
	id, revision, ok := p.members.Highest()
	if !ok {
		return configuration.Peer{}, false
	}
	address, ok := p.members.PeerAddress(id)
	return configuration.Peer{ID: id, Address: address, Revision: revision}, ok
}

// ownRevision tells membership the revision of this process. The two
// controllers need each other, so the second is filled in later.
type ownRevision struct{ controller *configuration.Controller }

// Revision implements membership.Configuration.
func (o *ownRevision) Revision() ident.Revision { return o.controller.Revision() }
