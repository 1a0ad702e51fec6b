package slotlease

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rendezvous"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/spread"
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

// Divide divides the ready upstreams of a service into parts, whose sizes differ by one at most. An upstream that
// comes or goes moves one other at most from each part to the next, unless the number of parts changes.
func Divide(all []directory.Upstream) [][]Upstream {
	var ready []Upstream
	hashes := make(map[ident.Instance]uint64)
	for i := range all {
		if u := &all[i]; u.State == directory.Ready {
			ready = append(ready, Upstream{ID: u.ID, Domain: u.FailureDomain, Slots: u.Slots})
			hashes[u.ID] = xxhash.Sum64String(string(u.Name))
		}
	}
	n := countParts(len(ready))
	if n > 1 {
		slices.SortFunc(ready, func(a, b Upstream) int {
			return cmp.Or(cmp.Compare(hashes[a.ID], hashes[b.ID]), cmp.Compare(a.ID, b.ID))
		})
	}
	parts := make([][]Upstream, n)
	for i := range n {
		parts[i] = ready[i*len(ready)/n : (i+1)*len(ready)/n]
	}
	return parts
}

// upstreamsOf returns the ready upstreams of a part.
func upstreamsOf(part partID, all []directory.Upstream) []Upstream {
	parts := Divide(all)
	if part.number < 0 || part.number >= len(parts) {
		return nil
	}
	return parts[part.number]
}

// maxPartsPerCall bounds the parts that one call asks.
const maxPartsPerCall = 2

// DrawParts returns the numbers of the parts that a call asks, one after the other until it isn't refused. The
// first one is drawn in proportion to the slots at upstreams that the call may use.
func DrawParts(call ident.Request, parts [][]Upstream, avoid []ident.Instance) []int {
	draw := spread.Of(call, 0)
	scores := make(map[int]float64)
	var numbers []int
	for i, upstreams := range parts {
		if slots := usableSlots(upstreams, avoid); slots > 0 {
			numbers = append(numbers, i)
			scores[i] = draw.Score(ident.Instance(strconv.Itoa(i)), float64(slots))
		}
	}
	slices.SortFunc(numbers, func(a, b int) int { return cmp.Compare(scores[a], scores[b]) })
	return numbers[:min(len(numbers), maxPartsPerCall)]
}

// usableSlots returns how many slots the upstreams have that are not to be avoided.
func usableSlots(upstreams []Upstream, avoid []ident.Instance) int {
	slots := 0
	for _, u := range upstreams {
		if !slices.Contains(avoid, u.ID) {
			slots += u.Slots
		}
	}
	return slots
}

// keeperOf returns the gateway that keeps a part, and false if there is none.
func keeperOf(part partID, gateways []gossip.Contact) (gossip.Contact, bool) {
	i := first(part.hash(), len(gateways), func(i int) uint64 { return xxhash.Sum64String(string(gateways[i].Node)) })
	if i < 0 {
		return gossip.Contact{}, false
	}
	return gateways[i], true
}
