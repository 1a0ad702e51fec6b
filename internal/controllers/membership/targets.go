package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
)

// target is a peer to send a heartbeat to.
type target struct {
	// id is empty for a seed, whose instance is not known yet.
	id      ident.Instance
	domain  ident.FailureDomain
	address string
	// figures is whether to exchange figures as well as facts.
	figures bool
}

// peersByDomain returns the peers that serve exchanges, by failure domain and
// sorted by ID. It includes leaving peers, since they still have work to route,
// and suspect ones, since only their answer clears the suspicion.
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

// rotation is a process's position in its rotation through the peers. start
// differs between processes, so that not all choose the same peers in one turn.
type rotation struct{ start, turn int }

// chooseTargets returns the peers to send a heartbeat to.
//
// In a small fleet these are all peers of the own failure domain and some of
// each other domain, with figures. In a large fleet figures are sent along
// fixed links, since a fixed link has to carry each figure only once: two links
// in the own domain, which form a ring with chords, and one to another domain.
// In addition, one peer of the own domain and one of another, in rotation, get
// the facts, so that a broken link can't separate parts of the fleet.
func chooseTargets(peers map[ident.FailureDomain][]target, config Config, r rotation) []target {
	own := config.Self.FailureDomain
	chosen := chooseLocal(peers[own], config, r)
	return append(chosen, chooseRemote(peers, otherDomains(peers, own), config, r)...)
}

func chooseLocal(local []target, config Config, r rotation) []target {
	if len(local) <= config.LocalMeshLimit {
		return withFigures(takeRotated(local, 0, len(local)))
	}
	// The ring is the order of IDs, starting after the own one.
	successors := append(peersAfter(local, config.Self.ID), peersBefore(local, config.Self.ID)...)
	chord := int(math.Sqrt(float64(len(local))))
	ring := withFigures([]target{successors[0], successors[chord]})
	return append(ring, takeRotated(local, r.start+r.turn, 1)...)
}

func chooseRemote(peers map[ident.FailureDomain][]target, domains []ident.FailureDomain, config Config, r rotation) []target {
	if len(domains) == 0 {
		return nil
	}
	if len(domains)*config.RemotePerDomain <= config.RemoteTargetLimit {
		var all []target
		for _, domain := range domains {
			all = append(all, takeRotated(peers[domain], r.start+r.turn*config.RemotePerDomain, config.RemotePerDomain)...)
		}
		return withFigures(all)
	}
	link := domains[r.start%len(domains)]
	next := domains[(r.start+r.turn)%len(domains)]
	chosen := withFigures(takeRotated(peers[link], r.start/len(domains), 1))
	return append(chosen, takeRotated(peers[next], r.start+r.turn/len(domains), 1)...)
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

// positionOf returns the index of self in the order of the peers' IDs.
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

// takeRotated returns up to count elements from index start on, continuing at
// the beginning after the end.
func takeRotated(from []target, start, count int) []target {
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
