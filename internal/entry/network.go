package entry

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/reach"
	"github.com/goldcrestspool/goldcrestspool/internal/relay"
)

// wireNetwork creates the parts that reach upstreams, over this gateway's own paths and through
// others, and for others.
func (p *Process) wireNetwork() {
	p.network = reach.New(reach.Config{
		Self: p.settings.Instance.ID, Now: p.now, Log: p.log.Named("reach"), Direct: p.pool,
		Relay:     &relay.Client{Self: p.settings.Instance.ID, Pool: p.pool},
		Gateways:  func(now time.Time) []gossip.Contact { return p.gossip.Relays(now) },
		Introduce: func(c gossip.Contact) { p.gossip.Introduce(c) },
		Upstreams: func() []ident.Instance { return p.board.upstreams.Value().IDs() },
	})
	p.relays = relay.NewServer(relay.ServerConfig{
		Now: p.now, Log: p.log.Named("relay"), Tracer: p.tracing.Tracer, Upstreams: ownPaths{p}, Dialect: p.ports.Protocol, Announcements: p.announced,
		IsGateway: func(node ident.Instance, host string) bool { return p.gossip.IsGateway(node, host) },
		Leaving:   p.leaving.Load, Memory: p.memory,
	})
}

// ownPaths implements relay.Upstreams.
type ownPaths struct{ p *Process }

// Target implements relay.Upstreams.
func (o ownPaths) Target(id ident.Instance, address string) (target httpconn.Target, known bool) {
	u, known := o.p.board.upstreams.Value().Upstream(id)
	if !known || u.Address != address || u.State != directory.Ready {
		return target, false
	}
	target = httpconn.Target{ID: u.ID, Address: u.Address}
	if table := o.p.table(); table != nil {
		if service := table.Service(u.Service); service != nil {
			target.MaxConnections = o.p.chooser.MaxConnections(service)
		}
	}
	return target, true
}

// Send implements relay.Upstreams.
func (o ownPaths) Send(ctx context.Context, target httpconn.Target, req *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	return o.p.network.SendDirect(ctx, target, req)
}

// Connect implements relay.Upstreams.
func (o ownPaths) Connect(ctx context.Context, target httpconn.Target) error {
	return o.p.network.Connect(ctx, target)
}

// writeNetworkMetrics prints the counters of lost paths and of relayed requests.
func (p *Process) writeNetworkMetrics(w io.Writer) {
	c := p.network.Counters()
	relayed, refused := p.relays.Counts()
	fmt.Fprintf(w, "paths_lost_now %d\npaths_lost_total %d\nrequests_sent_through_others_total %d\nrequests_declined_by_others_total %d\nupstreams_reached_by_none_total %d\n"+
		"requests_relayed_total %d\nrequests_not_relayed_total %d\nrequests_relayed_now %d\n",
		c.LostNow, c.Lost, c.Relayed, c.RelaysDeclined, c.Down, relayed, refused, p.relays.Active())
}
