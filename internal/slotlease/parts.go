package slotlease

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rendezvous"
)

// partID identifies a part of a service's upstreams. One gateway keeps its slots.
type partID struct {
	service ident.Service
	number  int
}

func (p partID) hash() uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d", p.service, p.number)) }

// countParts returns into how many parts so many upstreams are divided.
func countParts(upstreams int) int { return (upstreams + MaxUpstreams - 1) / MaxUpstreams }

// first returns the index of the candidate that comes first for a key by rendezvous hashing; -1 if there is
// none. Only what a candidate holds moves when it comes or goes.
func first(key uint64, candidates int, hash func(int) uint64) int {
	best, highest := -1, uint64(0)
	for i := range candidates {
		if weight := rendezvous.Weight(key, hash(i)); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// partOf returns the part of a key, such as an upstream or a call, among the parts of a service.
func partOf(service ident.Service, key string, parts int) partID {
	number := first(xxhash.Sum64String(key), parts, func(i int) uint64 { return partID{service, i}.hash() })
	return partID{service, max(0, number)}
}

// upstreamsOf returns the ready upstreams of a part.
func upstreamsOf(part partID, all []directory.Upstream) []Upstream {
	var out []Upstream
	ready := countReady(all)
	for i := range all {
		u := &all[i]
		if u.State == directory.Ready && partOf(part.service, string(u.Name), countParts(ready)) == part {
			out = append(out, Upstream{ID: u.ID, Domain: u.FailureDomain, Slots: u.Slots})
		}
	}
	return out
}

func countReady(all []directory.Upstream) int {
	n := 0
	for i := range all {
		if all[i].State == directory.Ready {
			n++
		}
	}
	return n
}

// keeperOf returns the gateway that keeps a part, and false if there is none.
func keeperOf(part partID, gateways []gossip.Contact) (gossip.Contact, bool) {
	i := first(part.hash(), len(gateways), func(i int) uint64 { return xxhash.Sum64String(string(gateways[i].Node)) })
	if i < 0 {
		return gossip.Contact{}, false
	}
	return gateways[i], true
}
