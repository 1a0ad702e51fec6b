package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
)

// peerView is what the data path needs of the other gateways. It is swapped
// whole, once a round.
type peerView struct {
	gossip.View
	// lives name the fresh gateways' lives, in their order.
	lives []string
	loads map[ident.Instance]placement.Load
	// silent are the other failure domains in which gateways were heard lately,
	// and none is now.
	silent map[ident.FailureDomain]bool
}

// follow takes over the other gateways' reports, twice a round.
func (p *Process) follow(ctx context.Context) {
	for pause.For(ctx, gossip.Interval/2) {
		p.refreshPeers()
	}
}

func (p *Process) refreshPeers() {
	now := p.now()
	v := &peerView{View: p.peers.View(now), loads: make(map[ident.Instance]placement.Load)}
	for i := range v.Fresh {
		m := &v.Fresh[i]
		v.lives = append(v.lives, lifeOf(m.Report.Node, m.Report.Incarnation))
		for id, load := range m.Report.Loads {
			sum := v.loads[id]
			sum.Running += load[0]
			sum.Unread += load[1]
			v.loads[id] = sum
		}
		p.configuration.confirmBy(m.Report.Revision, m.HeardAt.Add(-time.Duration(m.Report.RevisionAge)*time.Millisecond))
		p.upstreams.confirm(m.Report.Upstreams, m.HeardAt.Add(-time.Duration(m.Report.UpstreamsAge)*time.Millisecond))
	}
	members := p.peers.Members()
	for _, m := range members {
		// Reports that were taken in before say nothing new.
		if !m.HeardAt.Before(p.refreshed) {
			p.ledger.Hear(lifeOf(m.Report.Node, m.Report.Incarnation), m.Report.Began)
		}
	}
	p.refreshed = now
	v.silent = gossip.SilentDomains(members, p.settings.Instance.FailureDomain, now)
	p.ledger.Hear(p.life, p.counter.Windows())
	p.view.Store(v)
	if table := p.table(); table != nil {
		p.keeper.Tick(table.Accounts(), now)
	}
}

// place is this gateway's place in line among those that are heard.
func (p *Process) place() int {
	place := 0
	v := p.view.Load()
	for i := range v.Fresh {
		if r := &v.Fresh[i].Report; !r.Leaving && r.Node < p.settings.Instance.ID {
			place++
		}
	}
	return place
}

// assumedFor is for how long after its start a process counts with at least as
// many gateways as there were before. What goes wrong without it: many start at
// once, each knows none of the others for some rounds of the exchange, and all of
// them give callers the whole of each account's limit.
const assumedFor = 3 * time.Second

// gateways is how many gateways there may be, with this one.
func (p *Process) gateways() int {
	known := p.view.Load().Known + 1
	if p.now().Sub(p.started) < assumedFor {
		return max(known, int(p.assumed.Load()))
	}
	return known
}

// trueTime is the time of day as most gateways have it.
func (p *Process) trueTime() time.Time { return time.Now().Add(p.view.Load().WallCorrection()) }

// quotaOthers returns what the other gateways report of an account.
func (p *Process) quotaOthers(account ident.ClientAccount) quota.Others {
	v, now := p.view.Load(), p.now()
	o := quota.Others{Known: p.gateways() - 1, Reports: make(map[string]quota.Report, len(v.Fresh))}
	for i := range v.Fresh {
		m := &v.Fresh[i]
		o.Reports[v.lives[i]] = quota.Report{Spent: m.Report.Spent[account], Refused: m.Report.Refused[account], Age: now.Sub(m.HeardAt)}
	}
	return o
}

// engineSums adds up what the other gateways saw of a service's engines.
func (p *Process) engineSums(service ident.Service) enginemodel.Sums {
	var sum enginemodel.Sums
	v := p.view.Load()
	for i := range v.Fresh {
		sum.Add(v.Fresh[i].Report.Engines[service])
	}
	return sum
}

// lifeOf names one life of a gateway.
func lifeOf(node ident.Instance, incarnation ident.Incarnation) string {
	return string(node) + "/" + strconv.FormatUint(uint64(incarnation), 10)
}

// knowledge is what a process holds and gives to the other gateways.
type knowledge struct{ p *Process }

// Report implements gossip.Knowledge.
func (k knowledge) Report(now time.Time) gossip.Report {
	p := k.p
	r := gossip.Report{
		Node: p.settings.Instance.ID, Incarnation: p.incarnation, Seq: p.seq.Add(1), Address: p.settings.Listen.Peers,
		Domain: p.settings.Instance.FailureDomain, WallMillis: time.Now().UnixMilli(), Leaving: p.leaving.Load(),
		Loads: make(map[ident.Instance][2]int), Began: p.counter.Windows(),
	}
	revision, age := p.configuration.state()
	r.Revision, r.RevisionAge = revision, age.Milliseconds()
	next, age := p.upstreams.state()
	r.Upstreams, r.UpstreamsAge = next, age.Milliseconds()
	for id, load := range p.chooser.Own() {
		r.Loads[id] = [2]int{load.Running, load.Unread}
	}
	r.Spent, r.Refused = p.keeper.Totals()
	r.Work = p.work(now)
	r.Engines = p.chooser.Engines()
	_, r.Holds = p.lease.Grant()
	r.GivenUp = p.lease.GivenUp()
	return r
}

// Config implements gossip.Knowledge.
func (k knowledge) Config(than ident.Revision) *gossip.ConfigRecord {
	return k.p.configuration.record(than)
}

// Upstreams implements gossip.Knowledge.
func (k knowledge) Upstreams(from ident.Offset, all bool) *directory.News {
	return k.p.upstreams.news(from, all)
}

// Lacks implements gossip.Knowledge.
func (k knowledge) Lacks() bool { return k.p.configuration.lacks() || k.p.upstreams.lacks() }

// Learn implements gossip.Knowledge.
func (k knowledge) Learn(config *gossip.ConfigRecord, upstreams *directory.News) {
	if config != nil {
		k.p.configuration.take(config.Offset, config.Data, "gateway")
	}
	if upstreams != nil {
		k.p.upstreams.learn(*upstreams)
	}
}
