package gossip

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// LoanPath is the URL path of requests for loans, on the gateways' own listener.
const LoanPath = "/loans"

// Keepers returns the gateways that may keep accounts' pools for others, including this one if lends
// is set. In a small fleet these are all that reported lately; in a large one, the first collector
// of each failure domain that is not silent.
func (g *Gossip) Keepers(lends bool, silent map[ident.FailureDomain]bool, now time.Time) []Contact {
	if !usesCollectors(g.cfg.Table.CountOthers(now)) {
		return g.directKeepers(lends, now)
	}
	var keepers []Contact
	for _, domain := range g.cfg.Table.Domains() {
		switch own := domain == g.cfg.Self.Domain; {
		case silent[domain]:
		case own && lends && g.isFirstCollector(now):
			keepers = append(keepers, g.cfg.Self)
		default:
			keepers = append(keepers, g.cfg.Table.firstLender(g.cfg.Table.Collectors(domain, now), now)...)
		}
	}
	return keepers
}

// directKeepers returns the gateways that reported lately that they lend, without those that refused
// a connection since then.
func (g *Gossip) directKeepers(lends bool, now time.Time) []Contact {
	var keepers []Contact
	if lends {
		keepers = append(keepers, g.cfg.Self)
	}
	for _, m := range g.cfg.Table.DirectPeers(now).Fresh {
		if m.Report.Lends && !m.Report.Leaving && !g.cfg.Table.unreachableSince(m.Report.Address, m.ReceivedAt) {
			keepers = append(keepers, m.Report.Contact)
		}
	}
	return keepers
}

// firstLender returns the first of a domain's collectors, unless it reported lately that it doesn't
// lend; then the next one.
func (t *Table) firstLender(order []Contact, now time.Time) []Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, c := range order {
		m := t.members[c.Node]
		if m == nil || now.Sub(m.ReceivedAt) > freshFor || m.Report.Lends {
			return order[i : i+1]
		}
	}
	return nil
}

// unreachableSince reports whether a gateway was marked as unreachable after an instant.
func (t *Table) unreachableSince(address string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, marked := t.unreachableUntil[address]
	return marked && until.Add(-unreachableFor).After(since)
}

// HearsLender reports whether a gateway that lends reported lately.
func (g *Gossip) HearsLender(now time.Time) bool {
	for _, m := range g.cfg.Table.DirectPeers(now).Fresh {
		if m.Report.Lends {
			return true
		}
	}
	return false
}

// MarkUnreachable records that a gateway does not run.
func (g *Gossip) MarkUnreachable(c Contact, now time.Time) {
	g.cfg.Table.MarkUnreachable(c.Address, now)
}

// AskForLoan sends an encoded request for a loan to another gateway and returns its encoded answer.
func (g *Gossip) AskForLoan(ctx context.Context, keeper Contact, request []byte) ([]byte, error) {
	answer, err := g.cfg.LoanNetwork.Send(ctx, keeper.Address, request)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bytes += int64(len(request) + len(answer))
	return answer, err
}
