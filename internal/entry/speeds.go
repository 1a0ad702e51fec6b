package entry

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
)

// refreshSpeeds applies what the other gateways observed of upstreams' speeds.
func (p *Process) refreshSpeeds(v *peerView, now time.Time) {
	heard := make([]speed.Heard, 0, len(v.Groups))
	for i := range v.Groups {
		g := &v.Groups[i]
		heard = append(heard, speed.Heard{Source: g.Name, WholeFleet: g.SpeedsIncludeOwn, Entries: g.Speeds, AsOf: g.ReportedAt})
	}
	p.speeds.Apply(heard)
	p.speeds.Refresh(p.board.upstreams.Value(), now)
}

// maxSlownessMetrics is how many upstreams have a metric of their own: those that differ most.
const maxSlownessMetrics = 16

// writeSpeedMetrics prints how many upstreams are slower and faster than their services' models, and
// the factors of those that differ most.
func (p *Process) writeSpeedMetrics(w io.Writer) {
	factors := p.speeds.Factors()
	slower := 0
	for _, factor := range factors {
		if factor > 1 {
			slower++
		}
	}
	fmt.Fprintf(w, "upstreams_slower_now %d\nupstreams_faster_now %d\n", slower, len(factors)-slower)
	ids := slices.SortedFunc(maps.Keys(factors), func(a, b ident.Instance) int {
		return cmp.Or(cmp.Compare(math.Abs(math.Log(factors[b])), math.Abs(math.Log(factors[a]))), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(len(ids), maxSlownessMetrics)] {
		fmt.Fprintf(w, "upstream_slowness{upstream=%q} %.3f\n", string(id), factors[id])
	}
}
