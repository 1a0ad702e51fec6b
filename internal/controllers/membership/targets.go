package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
)

// target is a peer to exchange with.
type target struct {
	// id is empty for a seed, whose instance is not known yet.
	id      ident.Instance
	domain  ident.FailureDomain
	address string
	// figures: exchange proof of life and load as well as facts.
	figures bool
}

// peersByDomain returns the peers that serve exchanges, by failure domain and
// in the order of their IDs. Leaving ones are among them, since they still have
// work to route; suspect ones too, for only an answer clears them.
func peersByDomain(table *membership.Table, self ident.Instance) map[ident.FailureDomain][]target {
	out := map[ident.FailureDomain][]target{}
	for e := range table.All {
		if !isPeer(e, self) {
			continue
		}
		out[e.FailureDomain] = append(out[e.FailureDomain], target{id: e.ID, domain: e.FailureDomain, address: e.PeerAddress})
	}
	for _, peers := range out {
		slices.SortFunc(peers, func(a, b target) int { return cmp.Compare(a.id, b.id) })
	}
	return out
}

// isPeer reports whether an entry is another process that serves exchanges.
func isPeer(e membership.Entry, self ident.Instance) bool {
	return e.PeerAddress != "" && e.State != blackboard.Gone && e.ID != self
}

// turns is where a process stands in its rotation. start is its own, so that not
// all choose the same peers in one turn.
type turns struct{ start, turn int }

// chooseTargets returns whom to send a heartbeat.
//
// In a small fleet these are all peers of the own failure domain and some of
// each other, with figures. In a large one figures flow along fixed links: two
// in the own domain, which make a ring with chords, and one to another domain;
// a fixed link needs to carry each figure once. One more peer of the own and of
// another domain, in turn, gets the facts, so that no link that is broken keeps
// parts of the fleet apart.
func chooseTargets(peers map[ident.FailureDomain][]target, config Config, at turns) []target {
	own := config.Self.FailureDomain
	chosen := chooseLocal(peers[own], config, at)
	return append(chosen, chooseRemote(peers, otherDomains(peers, own), config, at)...)
}

func chooseLocal(local []target, config Config, at turns) []target {
	if len(local) <= config.LocalAll {
		return withFigures(take(local, 0, len(local)))
	}
	successors := append(peersAfter(local, config.Self.ID), peersBefore(local, config.Self.ID)...)
	chord := int(math.Sqrt(float64(len(local))))
	ring := withFigures([]target{successors[0], successors[chord]})
	return append(ring, take(local, at.start+at.turn, 1)...)
}

func chooseRemote(peers map[ident.FailureDomain][]target, domains []ident.FailureDomain, config Config, at turns) []target {
	if len(domains) == 0 {
		return nil
	}
	if len(domains)*config.RemotePerDomain <= config.RemoteAll {
		var all []target
		for _, domain := range domains {
			all = append(all, take(peers[domain], at.start+at.turn*config.RemotePerDomain, config.RemotePerDomain)...)
		}
		return withFigures(all)
	}
	link := domains[at.start%len(domains)]
	next := domains[(at.start+at.turn)%len(domains)]
	chosen := withFigures(take(peers[link], at.start/len(domains), 1))
	return append(chosen, take(peers[next], at.start+at.turn/len(domains), 1)...)
}

func withFigures(targets []target) []target {
	for i := range targets {
		targets[i].figures = true
	}
	return targets
}

func peersAfter(peers []target, self ident.Instance) []target {
	return peers[positionOf(peers, self):]
}

func peersBefore(peers []target, self ident.Instance) []target {
	return peers[:positionOf(peers, self)]
}

// positionOf returns where self would stand among the peers.
func positionOf(peers []target, self ident.Instance) int {
	i, _ := slices.BinarySearchFunc(peers, self, func(p target, id ident.Instance) int { return cmp.Compare(p.id, id) })
	return i
}

func otherDomains(peers map[ident.FailureDomain][]target, own ident.FailureDomain) []ident.FailureDomain {
	var domains []ident.FailureDomain
	for domain := range peers {
		if domain != own {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// take returns up to count elements from position start on, around the end.
func take(from []target, start, count int) []target {
	if len(from) == 0 {
		return nil
	}
	count = min(count, len(from))
	out := make([]target, 0, count)
	for i := range count {
		out = append(out, from[(start+i)%len(from)])
	}
	return out
}
