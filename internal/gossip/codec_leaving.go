package gossip

import (
	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

func leavingToProto(reports []announced.LeavingReport) []*exchangev1.LeavingUpstream {
	var out []*exchangev1.LeavingUpstream
	for _, r := range reports {
		out = append(out, &exchangev1.LeavingUpstream{Id: string(r.Upstream), AgeMs: uint32(millis(min(r.Age, maxAge)))})
	}
	return out
}

func (c *checker) leaving(in []*exchangev1.LeavingUpstream) []announced.LeavingReport {
	c.checkCount("leaving upstreams", len(in))
	var out []announced.LeavingReport
	for _, r := range in {
		if r.Id == "" {
			c.fail("leaving upstream has no ID")
		}
		out = append(out, announced.LeavingReport{Upstream: ident.Instance(r.Id), Age: c.age(uint64(r.AgeMs))})
	}
	return out
}
