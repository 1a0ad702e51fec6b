package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// BenchmarkPlan measures one plan of a fleet at rest, and one that has to replace a whole
// failure domain. Its figures are the slopes in docs/capacity-control.md.
func BenchmarkPlan(b *testing.B) {
	for _, upstreams := range []int{9, 100, 330, 690} {
		actual, wanted := restingFleet(upstreams, 10)
		lost := actual
		lost.Instances = nil
		for _, instance := range actual.Instances {
			if instance.Offering.FailureDomain != "domain-0" {
				lost.Instances = append(lost.Instances, instance)
			}
		}
		now := time.Unix(0, 0)
		b.Run(fmt.Sprintf("rest/%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(actual, wanted, now)
			}
		})
		b.Run(fmt.Sprintf("domain lost/%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(lost, wanted, now)
			}
		})
	}
}

func restingFleet(upstreams, domains int) (Actual, Wanted) {
	wanted := Wanted{Placement: document.Placement{Min: upstreams * 9 / 10, Max: 2 * upstreams, OnDemandShare: 0.32}}
	for i := range domains {
		for j, reclaimable := range []bool{false, true} {
			wanted.Placement.Prices = append(wanted.Placement.Prices, document.Price{
				FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", i)),
				Class:         "gpu",
				Reclaimable:   reclaimable,
				CentsPerHour:  float64(100 + i - 60*j),
			})
		}
	}
	actual := Actual{Service: "spool-llm", Demand: 0.7 * float64(upstreams)}
	for i := range upstreams {
		price := wanted.Placement.Prices[i%len(wanted.Placement.Prices)]
		actual.Instances = append(actual.Instances, Instance{
			ID:       ident.Instance(fmt.Sprintf("i%04d", i)),
			Offering: Offering{FailureDomain: price.FailureDomain, Class: price.Class, Reclaimable: price.Reclaimable},
			State:    Serving,
		})
	}
	return actual, wanted
}
