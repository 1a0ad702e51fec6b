// Package lending connects the account limits of the gateways: it chooses which gateways keep an
// account's pools, and carries requests for loans to them.
package lending

import (
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/rendezvous"
)

// Keepers are the gateways among which the accounts' pools are divided. It is immutable.
type Keepers struct {
	contacts []gossip.Contact
	hashes   []uint64
}

// NewKeepers returns the keepers among the given gateways.
func NewKeepers(contacts []gossip.Contact) *Keepers {
	k := &Keepers{contacts: contacts, hashes: make([]uint64, len(contacts))}
	for i, c := range contacts {
		k.hashes[i] = xxhash.Sum64String(string(c.Node))
	}
	return k
}

// Of returns the gateways that keep a pool of an account, by rendezvous hashing: when a gateway comes
// or goes, only the pools that it keeps move.
func (k *Keepers) Of(account ident.ClientAccount) []gossip.Contact {
	hash := xxhash.Sum64String(string(account))
	first, second := -1, -1
	for i, h := range k.hashes {
		switch weight := rendezvous.Weight(hash, h); {
		case first < 0 || weight > rendezvous.Weight(hash, k.hashes[first]):
			first, second = i, first
		case second < 0 || weight > rendezvous.Weight(hash, k.hashes[second]):
			second = i
		}
	}
	var out []gossip.Contact
	for _, i := range [quota.MaxKeepers]int{first, second} {
		if i >= 0 {
			out = append(out, k.contacts[i])
		}
	}
	return out
}

// nodes returns the names of all keepers.
func (k *Keepers) nodes() []ident.Instance {
	out := make([]ident.Instance, len(k.contacts))
	for i, c := range k.contacts {
		out[i] = c.Node
	}
	return out
}
