package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// newKeeperView returns a gateway a0 of domain a that heard gateways of domains a and b, so many of each,
// all of which lend.
func newKeeperView(each int) (g *Gossip, now time.Time) {
	now = time.Unix(1000, 0)
	self := Contact{Node: "a0", Address: "a0:1", Domain: "a", Cores: 2}
	g = New(Config{Self: self, Table: NewTable(self, nil), Now: func() time.Time { return now }, Log: hclog.NewNullLogger()})
	for _, domain := range []ident.FailureDomain{"a", "b"} {
		for i := range each {
			node := ident.Instance(fmt.Sprint(domain, i))
			g.cfg.Table.RecordReport(Report{Contact: Contact{Node: node, Address: string(node) + ":1", Domain: domain, Cores: 1}, Seq: 1, Lends: true}, now, now)
		}
	}
	return g, now
}

// keeperNodes returns the sorted names of the keepers, as g sees them.
func keeperNodes(g *Gossip, lends bool, silent map[ident.FailureDomain]bool, now time.Time) []ident.Instance {
	var nodes []ident.Instance
	for _, c := range g.Keepers(lends, silent, now) {
		nodes = append(nodes, c.Node)
	}
	slices.Sort(nodes)
	return nodes
}

// Guards against pools at gateways of a small fleet that can't keep them: one that has just started, that
// leaves, that was not heard lately, or whose process has ended.
func TestInASmallFleetGatewaysThatLendKeepPools(t *testing.T) {
	g, now := newKeeperView(3)
	report := func(node ident.Instance, seq uint64, lends, leaving bool) {
		g.cfg.Table.RecordReport(Report{Contact: Contact{Node: node, Address: string(node) + ":1", Domain: "b"}, Seq: seq, Lends: lends, Leaving: leaving}, now, now)
	}
	expect := func(lends bool, want ...ident.Instance) {
		t.Helper()
		if got := keeperNodes(g, lends, nil, now); !slices.Equal(got, want) {
			t.Errorf("keepers %v, want %v", got, want)
		}
	}
	expect(true, "a0", "a1", "a2", "b0", "b1", "b2")
	expect(false, "a1", "a2", "b0", "b1", "b2")
	now = now.Add(100 * time.Millisecond)
	report("b0", 2, false, false)
	report("b1", 2, true, true)
	g.MarkUnreachable(Contact{Address: "b2:1"}, now)
	expect(true, "a0", "a1", "a2")
	now = now.Add(100 * time.Millisecond)
	report("b2", 2, true, false)
	expect(true, "a0", "a1", "a2", "b2")
	now = now.Add(freshFor)
	expect(true, "a0", "b2")
	if !g.HearsLender(now) {
		t.Error("no gateway that lends is heard")
	}
}

// Guards against hundreds of gateways that each keep pools, and against pools in a domain that is cut off
// or at a collector that has just started.
func TestInALargeFleetACollectorOfEachDomainKeepsPools(t *testing.T) {
	g, now := newKeeperView(12)
	other := keeperNodes(g, true, nil, now)
	if len(other) != 2 || other[0] != "a0" {
		t.Fatalf("keepers %v, want a0 and one of domain b", other)
	}
	if got := keeperNodes(g, true, map[ident.FailureDomain]bool{"b": true}, now); !slices.Equal(got, []ident.Instance{"a0"}) {
		t.Errorf("keepers %v while domain b is silent", got)
	}
	first := other[1]
	g.cfg.Table.RecordReport(Report{Contact: Contact{Node: first, Address: string(first) + ":1", Domain: "b", Cores: 1}, Seq: 2}, now, now)
	if got := keeperNodes(g, true, nil, now); len(got) != 2 || got[1] == first {
		t.Errorf("keepers %v, though %s doesn't lend", got, first)
	}
	if got := keeperNodes(g, false, nil, now); len(got) != 2 || slices.Contains(got, "a0") {
		t.Errorf("keepers %v, though a0 doesn't lend", got)
	}
}
