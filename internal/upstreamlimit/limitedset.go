package upstreamlimit

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// LimitedSet is the set of limited upstreams. Gateways that know the same set send uses by position
// instead of by key.
type LimitedSet struct {
	// Hash is a hash of the keys and rates. It is equal at two gateways that know the same limits,
	// and 0 if there are none.
	Hash uint32
	// Keys are sorted.
	Keys []uint32
}

// Columns are uses of the upstreams of a set, without their keys.
type Columns struct {
	// Hash is the hash of the set of limited upstreams.
	Hash uint32
	// Positions are the indexes of the used upstreams in the set's Keys. If empty, the uses are those
	// of all keys in order.
	Positions    []uint32
	Demand, Sent []float64
}

// Columns returns the uses of a set's upstreams. Unused ones are left out where more than half
// are unused.
func (u Uses) Columns(set LimitedSet) Columns {
	c := Columns{Hash: set.Hash}
	leaveOutUnused := 2*len(u) < len(set.Keys)
	for i, key := range set.Keys {
		use, used := u[key]
		if leaveOutUnused && !used {
			continue
		}
		if leaveOutUnused {
			c.Positions = append(c.Positions, uint32(i))
		}
		c.Demand = append(c.Demand, use.Demand)
		c.Sent = append(c.Sent, use.Sent)
	}
	return c
}

// Uses returns the uses by key. It returns false if they are not of this set or not consistent.
func (c Columns) Uses(set LimitedSet) (Uses, bool) {
	n := len(set.Keys)
	if len(c.Positions) > 0 {
		n = len(c.Positions)
	}
	if c.Hash == 0 || c.Hash != set.Hash || len(c.Demand) != n && len(c.Demand) != 0 || len(c.Sent) != len(c.Demand) {
		return nil, false
	}
	out := make(Uses, len(c.Demand))
	for i := range c.Demand {
		position := uint32(i)
		if len(c.Positions) > 0 {
			position = c.Positions[i]
		}
		if position >= uint32(len(set.Keys)) {
			return nil, false
		}
		out[set.Keys[position]] = Use{Demand: c.Demand[i], Sent: c.Sent[i]}
	}
	return out, true
}

// LimitedSet returns the set of limited upstreams.
func (lim *Limiter) LimitedSet() LimitedSet {
	if !lim.anyLimited.Load() {
		return LimitedSet{}
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.limitedSet.Hash == 0 {
		lim.limitedSet = lim.computeLimitedSet()
	}
	return lim.limitedSet
}

// computeLimitedSet collects the set of limited upstreams and its hash.
func (lim *Limiter) computeLimitedSet() LimitedSet {
	var set LimitedSet
	for key, l := range lim.limits {
		if l.limited {
			set.Keys = append(set.Keys, key)
		}
	}
	slices.Sort(set.Keys)
	var digest xxhash.Digest
	digest.Reset()
	for _, key := range set.Keys {
		// Hash the rate with the precision with which gateways report rates.
		rate := math.Float32bits(float32(lim.limits[key].rate))
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, key), rate)) // never fails
	}
	set.Hash = max(uint32(digest.Sum64()), 1)
	return set
}
