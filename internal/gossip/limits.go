package gossip

import (
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// omitKnownLimits removes from a collector's answer what an asker with the same limits knows:
// the limits, and the keys of the upstreams in LimitUses.
func (g *Gossip) omitKnownLimits(request, reply *message) {
	known := g.cfg.Knowledge.LimitedSet()
	if reply.Others == nil || known.Hash == 0 || request.From.LimitSet != known.Hash {
		return
	}
	reply.From.Limits = nil
	reply.Others.LimitColumns = reply.Others.LimitUses.Columns(known)
	reply.Others.LimitUses = nil
}

// applyLimits decodes the limit uses in a collector's answer; g.mu is held. If the limits have
// changed since the request, the uses refer to other limits, and the last known uses stay.
func (g *Gossip) applyLimits(m *message) {
	g.collectorLimitSet = m.From.LimitSet
	if m.Others.LimitColumns.Hash == 0 {
		return
	}
	uses, known := m.Others.LimitColumns.Uses(g.cfg.Knowledge.LimitedSet())
	if !known && g.collectorSum != nil {
		uses = g.collectorSum.LimitUses
	}
	m.Others.LimitUses = uses
}

// resolveUses turns the LimitColumns of a report into LimitUses. If the limits have changed
// since the last answer, the columns refer to other limits, and the uses of the gateway's last
// report stand in.
func (g *Gossip) resolveUses(r *Report) {
	if r.LimitColumns.Hash == 0 {
		return
	}
	uses, known := r.LimitColumns.Uses(g.cfg.Knowledge.LimitedSet())
	if !known {
		uses = g.collector.lastLimitUses(r.Node)
	}
	r.LimitUses, r.LimitColumns = uses, upstreamlimit.Columns{}
}

// lastLimitUses returns the limit uses of a gateway's newest report; nil if there is none.
func (c *Collector) lastLimitUses(node ident.Instance) upstreamlimit.Uses {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.members[node]; known != nil {
		return known.report.LimitUses
	}
	return nil
}
