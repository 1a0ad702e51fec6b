package upstreamlimit

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order is the upstreams that have limits, by their keys.
type Order struct {
	// Set is equal where two gateways know the same limits; 0 for none.
	Set  uint32
	Keys []uint32
}

// Columns are uses of the upstreams of an order, without their keys.
type Columns struct {
	Set uint32
	// Positions are those of the upstreams in the order; none where all follow.
	Positions   []uint32
	Asked, Sent []float64
}

// Columns returns the uses of an order's upstreams.
func (u Uses) Columns(o Order) Columns {
	c := Columns{Set: o.Set}
	some := 2*len(u) < len(o.Keys)
	for i, key := range o.Keys {
		use, used := u[key]
		if some && !used {
			continue
		}
		if some {
			c.Positions = append(c.Positions, uint32(i))
		}
		c.Asked = append(c.Asked, use.Asked)
		c.Sent = append(c.Sent, use.Sent)
	}
	return c
}

// Uses returns the uses by key, if they are of this order.
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

// Order returns the upstreams that have limits.
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

// computeOrder works the order out.
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
		// As precise as a rate is told.
		rate := math.Float32bits(float32(k.limits[key].rate))
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, key), rate)) // never fails
	}
	o.Set = max(uint32(digest.Sum64()), 1)
	return o
}
