package gossip

import (
	"math"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

const (
	// fineUnit is the unit of encoded uses, as a fraction of a request.
	fineUnit = 1.0 / 8
	// coarseUnit is the unit of exchangev1.LimitUses.Asked if the columns contain all upstreams
	// of the LimitedSet. Sums of many gateways need no more precision, and then take one byte
	// each.
	coarseUnit = 1.0 / 2
	// maxUses bounds a use: it is more requests than all gateways together assign to an
	// upstream in some seconds.
	maxUses = 1 << 24
	// noLimit is the encoded rate of an upstream without a limit.
	noLimit = -1
)

func limitsToProto(limits []upstreamlimit.LimitReport) *exchangev1.Limits {
	if len(limits) == 0 {
		return nil
	}
	out := &exchangev1.Limits{}
	for _, a := range limits {
		rate := float32(a.Rate)
		if !a.Limited {
			rate = noLimit
		}
		out.Upstreams = append(out.Upstreams, a.Upstream)
		out.PerSecond = append(out.PerSecond, rate)
		out.AgeMs = append(out.AgeMs, uint32(millis(min(a.Age, maxAge))))
	}
	return out
}

func (c *checker) limits(in *exchangev1.Limits) []upstreamlimit.LimitReport {
	if in == nil {
		return nil
	}
	n := len(in.Upstreams)
	c.checkCount("limits", n)
	if len(in.PerSecond) != n || len(in.AgeMs) != n {
		c.fail("limits of %d upstreams have %d rates and %d ages", n, len(in.PerSecond), len(in.AgeMs))
		return nil
	}
	out := make([]upstreamlimit.LimitReport, n)
	for i, upstream := range in.Upstreams {
		a := upstreamlimit.LimitReport{Upstream: upstream, Age: c.age(uint64(in.AgeMs[i]))}
		if in.PerSecond[i] != noLimit {
			a.Limited, a.Rate = true, c.rate(in.PerSecond[i])
		}
		out[i] = a
	}
	return out
}

// usesToProto encodes the columns if they are set, else the uses by upstream key.
func usesToProto(uses upstreamlimit.Uses, columns upstreamlimit.Columns) *exchangev1.LimitUses {
	if columns.Hash != 0 {
		return limitColumnsToProto(columns)
	}
	if len(uses) == 0 {
		return nil
	}
	out := &exchangev1.LimitUses{}
	for upstream, use := range uses {
		out.Upstreams = append(out.Upstreams, upstream)
		out.Asked = append(out.Asked, inUnits(use.Demand, fineUnit))
		out.Sent = append(out.Sent, inUnits(use.Sent, fineUnit))
	}
	return out
}

func inUnits(x, unit float64) uint32 {
	return uint32(math.Round(min(max(x, 0), maxUses) / unit))
}

// askedUnit returns the unit of Asked in columns with the given positions. Columns without
// positions contain all upstreams of the LimitedSet.
func askedUnit(positions []uint32) float64 {
	if len(positions) == 0 {
		return coarseUnit
	}
	return fineUnit
}

func limitColumnsToProto(columns upstreamlimit.Columns) *exchangev1.LimitUses {
	out := &exchangev1.LimitUses{LimitSet: columns.Hash, Positions: columns.Positions}
	for i := range columns.Demand {
		out.Asked = append(out.Asked, inUnits(columns.Demand[i], askedUnit(columns.Positions)))
		out.Sent = append(out.Sent, inUnits(columns.Sent[i], fineUnit))
	}
	return out
}

func (c *checker) limitColumns(in *exchangev1.LimitUses) upstreamlimit.Columns {
	if in == nil || in.LimitSet == 0 {
		return upstreamlimit.Columns{}
	}
	n := len(in.Asked)
	c.checkCount("uses of limits", n)
	if len(in.Sent) != n || len(in.Upstreams) != 0 || len(in.Positions) != 0 && len(in.Positions) != n {
		c.fail("columns of %d limit uses have %d sent values, %d positions and %d upstream keys", n, len(in.Sent), len(in.Positions), len(in.Upstreams))
		return upstreamlimit.Columns{}
	}
	out := upstreamlimit.Columns{Hash: in.LimitSet, Positions: in.Positions}
	for i := range in.Asked {
		use := c.limitUse(in.Asked[i], askedUnit(in.Positions), in.Sent[i])
		out.Demand = append(out.Demand, use.Demand)
		out.Sent = append(out.Sent, use.Sent)
	}
	return out
}

func (c *checker) limitUse(asked uint32, unit float64, sent uint32) upstreamlimit.Use {
	if asked > maxUses/fineUnit || sent > maxUses/fineUnit {
		c.fail("limit use is too high: asked %d, sent %d, at most %d", asked, sent, int(maxUses/fineUnit))
	}
	return upstreamlimit.Use{Demand: float64(asked) * unit, Sent: float64(sent) * fineUnit}
}

func (c *checker) limitUses(in *exchangev1.LimitUses) upstreamlimit.Uses {
	if in == nil || in.LimitSet != 0 {
		return nil
	}
	n := len(in.Upstreams)
	c.checkCount("uses of limits", n)
	if len(in.Asked) != n || len(in.Sent) != n {
		c.fail("uses of %d limits have %d asked and %d sent values", n, len(in.Asked), len(in.Sent))
		return nil
	}
	out := make(upstreamlimit.Uses, n)
	for i, upstream := range in.Upstreams {
		out[upstream] = c.limitUse(in.Asked[i], fineUnit, in.Sent[i])
	}
	return out
}
