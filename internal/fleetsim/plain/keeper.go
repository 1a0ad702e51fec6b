package plain

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/slotlease"
)

// partKeepers are the gateways that lease the slots of all parts.
type partKeepers struct {
	parts   [][]slotlease.Upstream
	keepers []*keeper
}

func newPartKeepers(f *fleet) *partKeepers {
	p := &partKeepers{parts: slotlease.Divide(f.view.Of(serviceName))}
	for _, upstreams := range p.parts {
		p.keepers = append(p.keepers, newKeeper(f, upstreams))
	}
	return p
}

// begin asks the first part for a slot for a call.
func (p *partKeepers) begin(c *call) {
	for _, number := range slotlease.DrawParts(c.ID, p.parts, nil) {
		c.keepers = append(c.keepers, p.keepers[number])
	}
	c.keepers[0].ask(c)
}

// keeper is the gateway that leases the slots of a part; each message to it and from it takes oneWay.
type keeper struct {
	*fleet
	decide *slotlease.Keeper
	calls  map[slotlease.LeaseID]*call
	asks   uint64
	tickAt time.Duration
}

func newKeeper(f *fleet, upstreams []slotlease.Upstream) *keeper {
	none := func(ident.Instance) int { return 0 }
	return &keeper{fleet: f, decide: slotlease.NewKeeper(upstreams, none, 0, f.Clock()), calls: make(map[slotlease.LeaseID]*call)}
}

// keepersOf returns the keepers that a gateway asks; nil if it asks none.
func (f *fleet) keepersOf(g *gateway) *partKeepers {
	i := slices.Index(f.gateways, g)
	if len(f.keepers) == 0 || float64(i) < f.c.Alone*float64(len(f.gateways)) {
		return nil
	}
	return f.keepers[i%len(f.keepers)]
}

// ask asks for a slot for a call.
func (k *keeper) ask(c *call) {
	k.figures.Messages++
	k.asks++
	id := slotlease.LeaseID{Gateway: "gateway", Number: k.asks}
	k.calls[id], c.lease = c, id
	wait := max(0, c.arrived+c.maxWait(k.c)-k.Now())
	k.At(k.Now()+oneWay, func() {
		ask := slotlease.Ask{ID: id, Account: "account", Wait: wait, Hold: timeout}
		k.answer(k.decide.Ask(ask, k.Clock()))
	})
}

// maxWait returns how long a call may wait for a leased slot.
func (c *call) maxWait(played Case) time.Duration {
	if played.ShortWait {
		return maxWait
	}
	return slotlease.MaxWait(objective, c.gateway.chooser.MeanWork(serviceName))
}

// giveBack gives the slot of a call back.
func (k *keeper) giveBack(c *call) {
	k.figures.Messages++
	k.At(k.Now()+oneWay, func() { k.answer(k.decide.Return(c.lease, k.Clock())) })
}

// answer brings decisions to the gateways that asked.
func (k *keeper) answer(decided []slotlease.Decision) {
	for _, d := range decided {
		k.At(k.Now()+oneWay, func() { k.answered(k.calls[d.ID], d.Answer) })
	}
	next, ok := k.decide.NextTick(k.Clock())
	at := max(k.Now(), next.Sub(time.Unix(0, 0)))
	if ok && (k.tickAt <= k.Now() || at < k.tickAt) {
		k.tickAt = at
		k.At(at, func() { k.answer(k.decide.Tick(k.Clock())) })
	}
}

// answered sends a call to the upstream at which it has a slot, or asks the next part.
func (k *keeper) answered(c *call, a slotlease.Answer) {
	delete(k.calls, c.lease)
	if a.Upstream == "" && len(c.keepers) > 1 {
		c.keepers = c.keepers[1:]
		c.keepers[0].ask(c)
		return
	}
	if a.Upstream == "" {
		k.count(c, &k.figures.RefusedByGateway)
		return
	}
	c.choice, _ = c.gateway.chooser.ChooseOne(&c.Call, a.Upstream, k.Clock())
	k.At(k.Now()+oneWay, func() { k.receive(c) })
}
