package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rendezvous"
)

const (
	// maxRelayTries bounds the gateways that one request is offered to. Each that declines costs a
	// round trip.
	maxRelayTries = 4
	// spreadOver is among how many gateways the requests of this one are spread.
	spreadOver = 3
	// minRelayPause is how long a gateway that did not take a request is not asked again for the
	// same, and maxRelayPause bounds the doubling of it.
	minRelayPause, maxRelayPause = 500 * time.Millisecond, 2 * time.Second
)

// rememberFor is how long it counts whether a gateway took or declined a request.
const rememberFor = 5 * time.Second

// relayKey names what a gateway did not take: requests to one upstream, or all if upstream is empty.
type relayKey struct{ gateway, upstream ident.Instance }

// relayPause is until when a gateway is not asked.
type relayPause struct {
	until  time.Time
	length time.Duration
}

// relays chooses the gateways that relay this one's requests. Each gateway ranks the others in an
// order of its own, so that the requests of many are spread evenly, and who relays for whom changes
// only where a gateway comes, goes or declines. It is not safe for concurrent use.
type relays struct {
	self   ident.Instance
	pauses map[relayKey]relayPause
	// tookAt is when a gateway took a request last, and declinedAt when it did not.
	tookAt, declinedAt map[ident.Instance]time.Time
	inFlight           map[ident.Instance]int
}

func newRelays(self ident.Instance) *relays {
	return &relays{
		self: self, pauses: make(map[relayKey]relayPause), tookAt: make(map[ident.Instance]time.Time), declinedAt: make(map[ident.Instance]time.Time),
		inFlight: make(map[ident.Instance]int),
	}
}

// order returns the gateways to offer a request to, the best one first.
func (r *relays) order(gateways []gossip.Contact, upstream ident.Instance, now time.Time) []gossip.Contact {
	ranked := make([]gossip.Contact, 0, len(gateways))
	for _, g := range gateways {
		if g.Node != r.self && g.Node != "" && !r.pausing(relayKey{g.Node, ""}, now) && !r.pausing(relayKey{g.Node, upstream}, now) {
			ranked = append(ranked, g)
		}
	}
	own := xxhash.Sum64String(string(r.self))
	slices.SortFunc(ranked, func(a, b gossip.Contact) int {
		return cmp.Or(cmp.Compare(r.tier(a.Node, now), r.tier(b.Node, now)), cmp.Compare(rank(own, a.Node), rank(own, b.Node)))
	})
	slices.SortStableFunc(ranked[:min(spreadOver, len(ranked))], func(a, b gossip.Contact) int {
		return cmp.Compare(r.inFlight[a.Node], r.inFlight[b.Node])
	})
	return ranked[:min(maxRelayTries, len(ranked))]
}

// tier returns 0 for a gateway that took a request lately, 2 for one that last declined one, and 1 for
// others.
func (r *relays) tier(node ident.Instance, now time.Time) int {
	took, declined := r.tookAt[node], r.declinedAt[node]
	switch {
	case !took.IsZero() && !declined.After(took) && now.Sub(took) < rememberFor:
		return 0
	case !declined.IsZero() && now.Sub(declined) < rememberFor:
		return 2
	}
	return 1
}

// rank returns the rank of a gateway at the one with the given hash; the lowest comes first.
func rank(own uint64, node ident.Instance) uint64 {
	return rendezvous.Weight(own, xxhash.Sum64String(string(node)))
}

func (r *relays) pausing(key relayKey, now time.Time) bool {
	p, found := r.pauses[key]
	return found && now.Before(p.until)
}

// doesNotReach records that a gateway did not reach an upstream, or did not say, so that others are
// asked first.
func (r *relays) doesNotReach(gateway ident.Instance, now time.Time) { r.declinedAt[gateway] = now }

// declined records that a gateway did not take a request to an upstream, or took none if upstream is
// empty.
func (r *relays) declined(gateway, upstream ident.Instance, now time.Time) {
	r.doesNotReach(gateway, now)
	key := relayKey{gateway, upstream}
	length := min(max(2*r.pauses[key].length, minRelayPause), maxRelayPause)
	r.pauses[key] = relayPause{until: now.Add(length), length: length}
	r.prune(now)
}

// prune drops what counts no more.
func (r *relays) prune(now time.Time) {
	maps.DeleteFunc(r.pauses, func(_ relayKey, p relayPause) bool { return now.Sub(p.until) > maxRelayPause })
	old := func(_ ident.Instance, at time.Time) bool { return now.Sub(at) > rememberFor }
	maps.DeleteFunc(r.tookAt, old)
	maps.DeleteFunc(r.declinedAt, old)
}

// took records that a gateway took a request to an upstream.
func (r *relays) took(gateway, upstream ident.Instance, now time.Time) {
	r.tookAt[gateway] = now
	delete(r.pauses, relayKey{gateway, upstream})
	delete(r.pauses, relayKey{gateway, ""})
}

// begin counts a request in flight at a gateway, and end ends it.
func (r *relays) begin(gateway ident.Instance) { r.inFlight[gateway]++ }
func (r *relays) end(gateway ident.Instance) {
	if r.inFlight[gateway]--; r.inFlight[gateway] <= 0 {
		delete(r.inFlight, gateway)
	}
}
