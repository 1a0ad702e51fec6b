package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// playGateway is a gateway that follows the store and hears others, with the decisions for requests replaced by
// looking at what it would decide by.
type playGateway struct {
	index     int
	play      *eraPlay
	eras      *platform.Eras
	board     *board
	config    *configFollower
	upstreams *upstreamsFollower
	started   time.Time
	stop      context.CancelFunc
	// cutStore and cutPeers are until when it is cut off.
	cutStore, cutPeers time.Time
	// disturbedUntil is until when it is not judged.
	disturbedUntil time.Time
	// highest is the highest revision that was in force.
	highest ident.Revision
}

func decodePlayConfig(_ string, data []byte) (*routetable.Table, finding.List) {
	n, err := strconv.Atoi(string(data))
	if err != nil {
		panic(err)
	}
	return routetable.New(routetable.Spec{Revision: ident.Revision(n)}), nil
}

func decodePlayUpstream(_, name string, value []byte) (directory.Upstream, finding.List) {
	u := directory.Upstream{ID: ident.Instance(name), Name: ident.Instance(name), Service: "svc", Address: "10.0.0.1:1", State: directory.Ready}
	if string(value) == "leaving" {
		u.State = directory.Leaving
	}
	return u, nil
}

// startGateway starts the gateway with an index, in place of one that runs.
func (p *eraPlay) startGateway(ctx context.Context, index int) {
	if old := p.gateways[index]; old != nil {
		old.stop()
	}
	g := &playGateway{index: index, play: p, eras: platform.NewEras(), board: newBoard(), started: time.Now(), disturbedUntil: time.Now().Add(contactTime)}
	client := &playClient{store: p.store, eras: g.eras, cut: g.isCutOff}
	ports := Ports{
		Store: client, Eras: g.eras, ConfigTopic: "op", ConfigKey: "config", UpstreamsTopic: "servers",
		DecodeConfig: decodePlayConfig, DecodeUpstream: decodePlayUpstream,
	}
	log := hclog.NewNullLogger()
	if p.log != nil {
		log = hclog.New(&hclog.LoggerOptions{Name: fmt.Sprint("gw", index), Output: p.log, Level: hclog.Info, TimeFormat: "05.000"})
	}
	tracker := rollout.New(rollout.Config{Now: time.Now, Log: hclog.NewNullLogger(), OrdersKnown: time.Now, Gateways: func() int { return 1 }})
	g.config = newConfigFollower(ports, g.board, tracker, time.Now, g.rank, p.playDue, log)
	g.upstreams = newUpstreamsFollower(ports, g.board, announced.NewRegistry(announced.Config{Now: time.Now}), nil, func(time.Time) {}, noConnections{}, time.Now, g.rank, p.playDue, playRenewal, log)
	g.config.health.draw, g.upstreams.health.draw = p.seededDraw(2*index), p.seededDraw(2*index+1)
	ctx, g.stop = context.WithCancel(ctx)
	p.gateways[index] = g
	go g.config.run(ctx)
	go g.upstreams.run(ctx)
	go g.exchange(ctx)
}

// seededDraw returns a source of random pauses.
func (p *eraPlay) seededDraw(stream int) draw {
	rng := rand.New(rand.NewPCG(p.seed, uint64(stream)))
	return func(below time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(below))) }
}

type noConnections struct{}

func (noConnections) Forget(ident.Instance)    {}
func (noConnections) CloseIdle(ident.Instance) {}

// rank returns how many gateways come before this one, of those that it hears.
func (g *playGateway) rank() int {
	g.play.mu.Lock()
	defer g.play.mu.Unlock()
	n := 0
	for _, other := range g.play.gateways[:g.index] {
		if g.hears(other) {
			n++
		}
	}
	return n
}

// isCutOff reports whether no call of the gateway reaches the store.
func (g *playGateway) isCutOff() bool {
	g.play.mu.Lock()
	defer g.play.mu.Unlock()
	return time.Now().Before(g.cutStore)
}

func (g *playGateway) hears(other *playGateway) bool {
	now := time.Now()
	return other != nil && !now.Before(g.cutPeers) && !now.Before(other.cutPeers)
}

// inTouch reports whether a gateway has been undisturbed for long enough to be judged: it reaches the store, or hears
// one that does.
func (g *playGateway) inTouch(now time.Time) bool {
	calm := func(g *playGateway) bool {
		return !now.Before(g.cutPeers.Add(contactTime)) && !now.Before(g.disturbedUntil)
	}
	reads := func(g *playGateway) bool { return !now.Before(g.cutStore.Add(contactTime)) }
	if now.Before(g.disturbedUntil) {
		return false
	}
	return reads(g) || calm(g) && slices.ContainsFunc(g.play.gateways, func(other *playGateway) bool { return calm(other) && reads(other) })
}

// partners are the gateways with which this one exchanges in a round: all in a small fleet; otherwise its
// collector, and collectors with each other.
func (g *playGateway) partners() []*playGateway {
	g.play.mu.Lock()
	defer g.play.mu.Unlock()
	all := g.play.gateways
	switch {
	case len(all) <= collectorShare:
	case g.index < collectors:
		all = all[:collectors]
	default:
		all = all[g.index%collectors : g.index%collectors+1]
	}
	var out []*playGateway
	for _, other := range all {
		if other != g && g.hears(other) {
			out = append(out, other)
		}
	}
	return out
}

// exchange exchanges reports with the partners until ctx ends.
func (g *playGateway) exchange(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(g.index), g.play.seed))
	time.Sleep(time.Duration(rng.Int64N(int64(gossipRound))))
	for ctx.Err() == nil {
		for _, other := range g.partners() {
			g.ask(other)
		}
		time.Sleep(gossipRound)
	}
}

// ask sends a report and applies the answer, as the exchange between gateways does.
func (g *playGateway) ask(other *playGateway) {
	request := g.report()
	time.Sleep(time.Millisecond)
	other.applyReport(&request)
	reply := other.report()
	config, upstreams := other.missing(&request, &reply, g.upstreams.needsFetch())
	time.Sleep(time.Millisecond)
	if config != nil {
		g.config.apply(config.At, config.Data, "gateway")
	}
	if upstreams != nil {
		g.upstreams.applyUpdate(*upstreams)
	}
	g.applyReport(&reply)
}

func (g *playGateway) report() gossip.Report {
	var r gossip.Report
	r.Revision, r.RevisionAge = g.config.state()
	r.UpstreamsKnown, r.UpstreamsAge = g.upstreams.state()
	r.StoreEra = g.eras.Newest()
	r.KeptEntries, r.CopyEnd = g.upstreams.eraState()
	return r
}

// missing returns what the sender of a request lacks; with all, also if that is all entries.
func (g *playGateway) missing(request, reply *gossip.Report, all bool) (config *gossip.ConfigRecord, upstreams *directory.Update) {
	if reply.KnowsMoreUpstreams(request) {
		upstreams = g.upstreams.updateSince(request.UpstreamsKnown, all)
	}
	return g.config.newerThan(request.Revision), upstreams
}

func (g *playGateway) applyReport(r *gossip.Report) {
	applyStoreReport(g.eras, g.config, g.upstreams, r, time.Now())
}
