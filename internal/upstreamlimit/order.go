package upstreamlimit

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// LimitedSet is the set of limited upstreams. Gateways that know the same set exchange uses by position
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
func (u Uses) Columns(o LimitedSet) Columns {
	c := Columns{Hash: o.Hash}
	leaveOutUnused := 2*len(u) < len(o.Keys)
	for i, key := range o.Keys {
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
func (c Columns) Uses(o LimitedSet) (Uses, bool) {
	n := len(o.Keys)
	if len(c.Positions) > 0 {
		n = len(c.Positions)
	}
	if c.Hash == 0 || c.Hash != o.Hash || len(c.Demand) != n && len(c.Demand) != 0 || len(c.Sent) != len(c.Demand) {
		return nil, false
	}
	out := make(Uses, len(c.Demand))
	for i := range c.Demand {
		position := uint32(i)
		if len(c.Positions) > 0 {
			position = c.Positions[i]
		}
		if position >= uint32(len(o.Keys)) {
			return nil, false
		}
		out[o.Keys[position]] = Use{Demand: c.Demand[i], Sent: c.Sent[i]}
	}
	return out, true
}

// LimitedSet returns the set of limited upstreams.
func (k *Limiter) LimitedSet() LimitedSet {
	if !k.anyLimited.Load() {
		return LimitedSet{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limitedSet.Hash == 0 {
		k.limitedSet = k.computeLimitedSet()
	}
	return k.limitedSet
}

// computeLimitedSet collects the set of limited upstreams and its hash.
func (k *Limiter) computeLimitedSet() LimitedSet {
	var o LimitedSet
	for key, l := range k.limits {
		if l.limited {
			o.Keys = append(o.Keys, key)
		}
	}
	slices.Sort(o.Keys)
	var digest xxhash.Digest
	digest.Reset()
	for _, key := range o.Keys {
		// Hash the rate with the precision with which rates are announced.
		rate := math.Float32bits(float32(k.limits[key].rate))
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, key), rate)) // never fails
	}
	o.Hash = max(uint32(digest.Sum64()), 1)
	return o
}
