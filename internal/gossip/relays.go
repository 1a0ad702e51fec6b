package gossip

import (
	"context"
	"net"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Peer is another gateway.
type Peer struct {
	Contact
	// Leaving: it reported that it leaves; it still serves callers.
	Leaving bool
	// Incarnation tells its processes apart; 0 in a large fleet, where not all report to each other.
	Incarnation ident.Incarnation
}

// Peers returns the other gateways, sorted by name: in a small fleet those that reported lately, in a
// large one those that are known and not known to be leaving.
func (g *Gossip) Peers(now time.Time) []Peer {
	var out []Peer
	if usesCollectors(g.cfg.Table.CountOthers(now)) {
		for _, c := range g.cfg.Table.staying(now) {
			out = append(out, Peer{Contact: c})
		}
		return out
	}
	for _, m := range g.cfg.Table.DirectPeers(now).Fresh {
		out = append(out, Peer{Contact: m.Report.Contact, Incarnation: m.Report.Incarnation, Leaving: m.Report.Leaving})
	}
	return out
}

// Relays returns the other gateways that may relay requests: those of Peers that are not leaving.
func (g *Gossip) Relays(now time.Time) []Contact {
	var out []Contact
	for _, p := range g.Peers(now) {
		if !p.Leaving {
			out = append(out, p.Contact)
		}
	}
	return out
}

// staying returns the gateways that are known and have not reported that they leave, sorted by name.
func (t *Table) staying(now time.Time) []Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.recentContacts(now)
	out := all[:0]
	for _, c := range all {
		if m := t.members[c.Node]; m == nil || !m.Report.Leaving {
			out = append(out, c)
		}
	}
	return out
}

// IsGateway reports whether a gateway of this name is known at a host.
func (g *Gossip) IsGateway(node ident.Instance, host string) bool {
	t := g.cfg.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[node]; m != nil && hostOf(m.Report.Address) == host {
		return true
	}
	for address, c := range t.contacts {
		if c.Node == node && hostOf(address) == host {
			return true
		}
	}
	return false
}

// hostOf returns the host of an address, or "" if it has none.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// Introduce reports to another gateway, which knows this one then. It does not wait for the answer.
func (g *Gossip) Introduce(c Contact) {
	if g.tryBeginExchange(c.Address) {
		go g.exchange(context.Background(), c.Address, g.encodeReport(false))
	}
}
