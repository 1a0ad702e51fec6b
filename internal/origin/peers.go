package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rendezvous"
)

const (
	// copies is how many other gateways are told of a stream; docs/design/stream-versions.md weighs it.
	copies = 4
	// askWidth is how many other gateways are asked about a stream. It is more than copies, because
	// gateways come and go between the telling and the asking.
	askWidth = 2 * copies
)

// Peer is another gateway.
type Peer struct {
	Node   ident.Instance
	Domain ident.FailureDomain
	// Address is host:port, where gateways listen for each other.
	Address string
	// Incarnation tells its processes apart; 0 if it is not known.
	Incarnation ident.Incarnation
	// Leaving gateways still serve callers, and soon take what they know with them.
	Leaving bool
}

// peers are the other gateways as of a moment. It is immutable.
type peers struct {
	list []Peer
	// staying are those that are not leaving; the other fields are about these. leaving are the others.
	staying, leaving []Peer
	hashes           []uint64
	// domains are the indexes of the gateways' failure domains, of which there are domainCount.
	domains     []int
	domainCount int
}

func newPeers(list []Peer) *peers {
	p := &peers{list: list}
	indexes := make(map[ident.FailureDomain]int)
	for _, peer := range list {
		if peer.Leaving {
			p.leaving = append(p.leaving, peer)
			continue
		}
		index, known := indexes[peer.Domain]
		if !known {
			index = len(indexes)
			indexes[peer.Domain] = index
		}
		p.staying = append(p.staying, peer)
		p.hashes = append(p.hashes, xxhash.Sum64String(string(peer.Node)))
		p.domains = append(p.domains, index)
	}
	p.domainCount = len(indexes)
	return p
}

// weighted is a gateway with its weight for a stream.
type weighted struct {
	index  int
	weight uint64
}

// of returns the n gateways that come first for a stream, by rendezvous hashing within each failure
// domain, and the domains in turn: the loss of one domain leaves most of them. Leaving gateways come last.
func (p *peers) of(s Stream, n int) []Peer {
	hash := hashOf(s)
	best := make([][]weighted, p.domainCount)
	for i, h := range p.hashes {
		domain := &best[p.domains[i]]
		*domain = insert(*domain, weighted{i, rendezvous.Weight(hash, h)}, n)
	}
	var out []Peer
	for rank := 0; len(out) < min(n, len(p.staying)); rank++ {
		var turn []weighted
		for _, domain := range best {
			if rank < len(domain) {
				turn = append(turn, domain[rank])
			}
		}
		slices.SortFunc(turn, heavierFirst)
		for _, w := range turn[:min(len(turn), n-len(out))] {
			out = append(out, p.staying[w.index])
		}
	}
	return append(out, p.leaving[:min(len(p.leaving), n-len(out))]...)
}

func heavierFirst(a, b weighted) int { return cmp.Compare(b.weight, a.weight) }

// insert adds a gateway to the n heaviest, which are in order.
func insert(heaviest []weighted, w weighted, n int) []weighted {
	if len(heaviest) == n && (n == 0 || w.weight <= heaviest[n-1].weight) {
		return heaviest
	}
	at, _ := slices.BinarySearchFunc(heaviest, w, heavierFirst)
	heaviest = slices.Insert(heaviest, at, w)
	return heaviest[:min(len(heaviest), n)]
}

// hashOf returns a hash of a stream that is the same at all gateways.
func hashOf(s Stream) uint64 {
	d := xxhash.New()
	// Writing to a digest never fails.
	_, _ = d.WriteString(string(s.Account))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(s.Attempt))
	return d.Sum64()
}
