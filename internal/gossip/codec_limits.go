package gossip

import (
	"math"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

const (
	// usesUnit is the unit in which uses are told, a part of a request.
	usesUnit = 1.0 / 8
	// mostUses bounds a use: more requests than all gateways choose an upstream for in
	// some seconds.
	mostUses = 1 << 24
	// lifted stands for a rate where there is no limit.
	lifted = -1
)

func limitsToProto(limits []upstreamlimit.Said) *exchangev1.Limits {
	if len(limits) == 0 {
		return nil
	}
	out := &exchangev1.Limits{}
	for _, s := range limits {
		rate := float32(s.Rate)
		if !s.Limited {
			rate = lifted
		}
		out.Upstreams = append(out.Upstreams, s.Upstream)
		out.PerSecond = append(out.PerSecond, rate)
		out.AgeMs = append(out.AgeMs, uint32(millis(min(s.Age, mostAge))))
	}
	return out
}

func (c *checker) limits(in *exchangev1.Limits) []upstreamlimit.Said {
	if in == nil {
		return nil
	}
	n := len(in.Upstreams)
	c.items("limits", n)
	if len(in.PerSecond) != n || len(in.AgeMs) != n {
		c.fail("limits of %d upstreams with %d rates and %d ages", n, len(in.PerSecond), len(in.AgeMs))
		return nil
	}
	out := make([]upstreamlimit.Said, n)
	for i, upstream := range in.Upstreams {
		s := upstreamlimit.Said{Upstream: upstream, Age: c.age(uint64(in.AgeMs[i]))}
		if in.PerSecond[i] != lifted {
			s.Limited, s.Rate = true, c.rate(in.PerSecond[i])
		}
		out[i] = s
	}
	return out
}

func limitUsesToProto(uses upstreamlimit.Uses) *exchangev1.LimitUses {
	if len(uses) == 0 {
		return nil
	}
	out := &exchangev1.LimitUses{}
	for upstream, use := range uses {
		out.Upstreams = append(out.Upstreams, upstream)
		out.Asked = append(out.Asked, inUnits(use.Asked))
		out.Sent = append(out.Sent, inUnits(use.Sent))
	}
	return out
}

func inUnits(x float64) uint32 { return uint32(math.Round(min(max(x, 0), mostUses) / usesUnit)) }

func (c *checker) limitUses(in *exchangev1.LimitUses) upstreamlimit.Uses {
	if in == nil {
		return nil
	}
	n := len(in.Upstreams)
	c.items("uses of limits", n)
	if len(in.Asked) != n || len(in.Sent) != n {
		c.fail("uses of %d limits with %d and %d figures", n, len(in.Asked), len(in.Sent))
		return nil
	}
	out := make(upstreamlimit.Uses, n)
	for i, upstream := range in.Upstreams {
		if in.Asked[i] > mostUses/usesUnit || in.Sent[i] > mostUses/usesUnit {
			c.fail("uses of a limit of %d and %d", in.Asked[i], in.Sent[i])
		}
		out[upstream] = upstreamlimit.Use{Asked: float64(in.Asked[i]) * usesUnit, Sent: float64(in.Sent[i]) * usesUnit}
	}
	return out
}
