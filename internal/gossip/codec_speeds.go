package gossip

import (
	"math"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
)

const (
	// weightUnit and meanUnit are the units of the encoded weights and means.
	weightUnit = 1.0 / 4
	meanUnit   = 1.0 / 50
	// maxWeight and maxMean bound the encoded values: more requests than all gateways send to an
	// upstream within the memory of the sums, and times that are a thousand times the predicted ones.
	maxWeight = 1 << 24
	maxMean   = 350
)

func speedsToProto(entries []speed.Entry) *exchangev1.Speeds {
	out := &exchangev1.Speeds{}
	for _, e := range entries {
		weight := math.Round(e.Weight / weightUnit)
		if weight < 1 {
			continue
		}
		mean := math.Round(e.Log / e.Weight / meanUnit)
		out.Upstreams = append(out.Upstreams, e.Upstream)
		out.Weights = append(out.Weights, uint32(min(weight, maxWeight)))
		out.Means = append(out.Means, int32(min(max(mean, -maxMean), maxMean)))
	}
	if len(out.Upstreams) == 0 {
		return nil
	}
	return out
}

func (c *checker) speeds(in *exchangev1.Speeds) []speed.Entry {
	if in == nil {
		return nil
	}
	n := len(in.Upstreams)
	c.checkCount("speeds", n)
	if len(in.Weights) != n || len(in.Means) != n {
		c.fail("speeds of %d upstreams have %d weights and %d means", n, len(in.Weights), len(in.Means))
		return nil
	}
	out := make([]speed.Entry, n)
	for i, upstream := range in.Upstreams {
		if in.Weights[i] > maxWeight || in.Means[i] < -maxMean || in.Means[i] > maxMean {
			c.fail("speed with weight %d and mean %d is out of range, at most %d and %d are allowed", in.Weights[i], in.Means[i], maxWeight, maxMean)
		}
		weight := weightUnit * float64(in.Weights[i])
		out[i] = speed.Entry{Upstream: upstream, Sums: speed.Sums{Weight: weight, Log: weight * meanUnit * float64(in.Means[i])}}
	}
	return out
}
