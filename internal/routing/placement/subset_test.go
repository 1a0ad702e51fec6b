package placement

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// setGateway makes the fixture's gateway another one, by number, and sets how many gateways
// there are.
func (f *fixture) setGateway(gateway, gateways int) {
	f.cfg.Self, f.cfg.Gateways = ident.Instance(fmt.Sprint("gw", gateway)), func() int { return gateways }
	f.seed = xxhash.Sum64String(string(f.cfg.Self))
}

// Guards against many gateways with few requests each that all use the same one of several
// idle upstreams.
func TestIdleUpstreamsShareTheRequestsOfManyGateways(t *testing.T) {
	const gateways, upstreams = 160, 12
	f := newFixture()
	var ids []string
	for i := range upstreams {
		ids = append(ids, fmt.Sprint("a", i))
	}
	f.setUpstreams(directory.Ready, ids...)
	got := make(map[ident.Instance]int)
	for gateway := range gateways {
		f.setGateway(gateway, gateways)
		last := ident.Instance("")
		for again := range 2 {
			choice := f.choose(t, f.call(plain, 0), forward.Done)
			got[choice.Upstream]++
			if again > 0 && choice.Upstream != last {
				t.Error("a gateway chose another upstream, and so opens another connection, although nothing has changed")
			}
			last = choice.Upstream
		}
	}
	for _, id := range ids {
		if n := got[ident.Instance(id)]; n == 0 || n > 2*2*gateways/upstreams {
			t.Errorf("%s got %d of %d requests, want at least one and at most twice the mean", id, n, 2*gateways)
		}
	}
}

// Guards against gateways that together may open more connections to an upstream than it
// accepts, because each may open at least a few.
func TestAllGatewaysKeepToAnUpstreamsConnections(t *testing.T) {
	service := &routetable.Service{Name: "svc", MaxConnections: 1800}
	f := newFixture()
	for _, gateways := range []int{8, 330, 984, 1968, 4000} {
		for i := range 20 {
			u := directory.Upstream{Name: ident.Instance(fmt.Sprint("u", i))}
			sum := 0
			for gateway := range gateways {
				f.setGateway(gateway, gateways)
				if s := f.connectionShareOf(service); f.mayUse(&u, s) {
					sum += s.maxPerUpstream
				}
			}
			if sum > service.MaxConnections {
				t.Errorf("%d gateways may open %d connections to %s, which accepts %d", gateways, sum, u.Name, service.MaxConnections)
			}
		}
	}
}

// Guards against a gateway without any upstream because there are very many gateways.
func TestAGatewayWithoutAShareUsesWhatThereIs(t *testing.T) {
	f := newFixture()
	f.setGateway(7, 100_000)
	call := f.call(&routetable.Service{Name: "svc", MaxConnections: 10}, 0)
	if _, ok := f.Choose(call, nil, f.now); !ok {
		t.Error("found no upstream although all are idle")
	}
}
