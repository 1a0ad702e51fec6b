package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// BenchmarkApply measures applying one renewal while the given number of leases
// is known. docs/capacity-control.md uses its slope.
func BenchmarkApply(b *testing.B) {
	for _, leases := range []int{8, 44, 220, 1100} {
		b.Run(fmt.Sprint(leases), func(b *testing.B) {
			b.ReportAllocs()
			s := &State{}
			newest := make([]ident.Offset, leases)
			for i := range leases {
				newest[i] = appendTo(b, s, Record{Kind: Claim, Name: benchName(i)})
			}
			i := 0
			for b.Loop() {
				entry, _ := s.Find(benchName(i))
				newest[i] = appendTo(b, s, Record{Kind: Renewal, Name: benchName(i), Supersedes: LinkTo(newest[i]), Fence: entry.Fence})
				i = (i + 1) % leases
			}
		})
	}
}

func benchName(i int) Name {
	return Name{Service: ident.Service(fmt.Sprintf("service-%d", i)), FailureDomain: "hall-a"}
}

func appendTo(b *testing.B, s *State, r Record) ident.Offset {
	r.ID = "6fb9e6c5-6c64-4b64-9f5e-8ad1a1f1b4b2"
	r.Holder = Holder{Instance: "entry-1", Incarnation: 1, Process: "6fb9e6c5-6c64-4b64-9f5e-8ad1a1f1b4b2"}
	r.Length = 10_000
	data, err := r.Encode()
	if err != nil {
		b.Fatal(err)
	}
	offset := s.Next()
	if _, verdict := s.Apply(platform.Record{Offset: offset, Data: data, AppendedAt: time.Unix(0, 0)}); verdict != Accepted {
		b.Fatalf("record %d of kind %s: verdict %d", offset, r.Kind, verdict)
	}
	b.SetBytes(int64(len(data)))
	return offset
}
