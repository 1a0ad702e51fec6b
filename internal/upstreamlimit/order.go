package upstreamlimit

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order is the set of limited upstreams. Gateways that know the same set exchange uses by position
// instead of by key.
type Order struct {
	// Set is a hash of the keys and rates. It is equal at two gateways that know the same limits,
	// and 0 if there are none.
	Set uint32
	// Keys are sorted.
	Keys []uint32
}

// Columns are uses of the upstreams of a set, without their keys.
type Columns struct {
	// Set is the hash of the set of limited upstreams.
	Set uint32
	// Positions are the indexes of the used upstreams in the set's Keys. If empty, the uses are those
	// of all keys in order.
	Positions   []uint32
	Asked, Sent []float64
}

// Columns returns the uses of a set's upstreams. Unused ones are left out where more than half
// are unused.
func (u Uses) Columns(o Order) Columns {
	c := Columns{Set: o.Set}
	leaveOutUnused := 2*len(u) < len(o.Keys)
	for i, key := range o.Keys {
		use, used := u[key]
		if leaveOutUnused && !used {
			continue
		}
		if leaveOutUnused {
			c.Positions = append(c.Positions, uint32(i))
		}
		c.Asked = append(c.Asked, use.Asked)
		c.Sent = append(c.Sent, use.Sent)
	}
	return c
}

// Uses returns the uses by key. It returns false if they are not of this set or not consistent.
func (c Columns) Uses(o Order) (Uses, bool) {
	n := len(o.Keys)
	if len(c.Positions) > 0 {
		n = len(c.Positions)
	}
	if c.Set == 0 || c.Set != o.Set || len(c.Asked) != n && len(c.Asked) != 0 || len(c.Sent) != len(c.Asked) {
		return nil, false
	}
	out := make(Uses, len(c.Asked))
	for i := range c.Asked {
		position := uint32(i)
		if len(c.Positions) > 0 {
			position = c.Positions[i]
		}
		if position >= uint32(len(o.Keys)) {
			return nil, false
		}
		out[o.Keys[position]] = Use{Asked: c.Asked[i], Sent: c.Sent[i]}
	}
	return out, true
}

// Order returns the set of limited upstreams.
func (k *Keeper) Order() Order {
	if !k.anyLimited.Load() {
		return Order{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.order.Set == 0 {
		k.order = k.computeOrder()
	}
	return k.order
}

// computeOrder collects the set of limited upstreams and its hash.
func (k *Keeper) computeOrder() Order {
	var o Order
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
	o.Set = max(uint32(digest.Sum64()), 1)
	return o
}
