package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// BenchmarkBegan measures what a stream costs its gateway, where one version serves and where two do.
func BenchmarkBegan(b *testing.B) {
	for _, versions := range []int{1, 2} {
		for _, gateways := range []int{8, 330, 984} {
			b.Run(fmt.Sprintf("%d versions, %d gateways", versions, gateways), func(b *testing.B) {
				now := start
				r := NewRegistry(Config{Now: func() time.Time { return now }, Log: hclog.NewNullLogger(), ViewAge: func() time.Duration { return 0 }, Refresh: func(context.Context) bool { return true }, Beginnings: &simBeginnings{}, OnBegun: func() {}, Network: simNetwork{g: &simGateway{w: &world{}}}})
				var upstreams []directory.Upstream
				for i := range versions {
					upstreams = append(upstreams, directory.Upstream{ID: ident.Instance(fmt.Sprint("u", i)), Service: "svc", SoftwareVersion: ident.SoftwareVersion(fmt.Sprint("v", i))})
				}
				r.Observe(directory.NewView(upstreams), 0)
				r.MarkComplete(start.Add(-time.Hour))
				var others []Peer
				for i := range gateways - 1 {
					others = append(others, Peer{Node: ident.Instance(fmt.Sprint("gw", i)), Domain: ident.FailureDomain(fmt.Sprint("d", i%5))})
				}
				r.SetPeers(others)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Second)
					r.Began(Stream{"acct", ident.Request(fmt.Sprint(i))}, Origin{"svc", "v0"}, true, 24*time.Second)
					r.expire(now)
				}
			})
		}
	}
}
