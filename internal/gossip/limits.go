package gossip

import (
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// omitKnownLimits leaves out of a collector's answer what the asker knows: the limits
// themselves, and of which upstreams the uses are.
func (g *Gossip) omitKnownLimits(asked, reply *message) {
	order := g.cfg.Knowledge.LimitOrder()
	if reply.Others == nil || order.Set == 0 || asked.From.LimitSet != order.Set {
		return
	}
	reply.From.Limits = nil
	reply.Others.LimitColumns = reply.Others.LimitUses.Columns(order)
	reply.Others.LimitUses = nil
}

// applyLimits takes in what a collector's answer says of limits; g.mu is held. Where the
// limits have changed since it was asked, its uses are of others, and the last ones stay.
func (g *Gossip) applyLimits(m *message) {
	g.collectorLimitSet = m.From.LimitSet
	if m.Others.LimitColumns.Set == 0 {
		return
	}
	uses, known := m.Others.LimitColumns.Uses(g.cfg.Knowledge.LimitOrder())
	if !known && g.collectorSum != nil {
		uses = g.collectorSum.LimitUses
	}
	m.Others.LimitUses = uses
}

// resolveUses finds out of which upstreams the uses in a report are. Where the limits have
// changed since the last answer, they are of others, and the report before stands for them.
func (g *Gossip) resolveUses(r *Report) {
	if r.LimitColumns.Set == 0 {
		return
	}
	uses, known := r.LimitColumns.Uses(g.cfg.Knowledge.LimitOrder())
	if !known {
		uses = g.collector.lastLimitUses(r.Node)
	}
	r.LimitUses, r.LimitColumns = uses, upstreamlimit.Columns{}
}

// lastLimitUses returns what a gateway's newest report said of its uses.
func (c *Collector) lastLimitUses(node ident.Instance) upstreamlimit.Uses {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.members[node]; known != nil {
		return known.report.LimitUses
	}
	return nil
}
