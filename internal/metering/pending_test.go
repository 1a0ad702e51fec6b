package metering

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Guards against a fleet whose pending counts don't fit into the lease's record: none would be
// stored, and a new holder of the lease would report windows without them. The counts are those of
// up to a thousand gateways with a request a second each, and of twice as many.
func TestPendingCountsOfALargeFleetAreStored(t *testing.T) {
	for _, gateways := range []int{100, 984, 1968} {
		random := rand.New(rand.NewPCG(1, uint64(gateways)))
		f := newFixture()
		want := int64(0)
		for gateway := range gateways {
			windows := make(map[int64]map[ident.ClientAccount]int64)
			for window := int64(998); window <= 1000; window++ {
				windows[window] = make(map[ident.ClientAccount]int64)
				for range 5 {
					windows[window][ident.ClientAccount(fmt.Sprintf("hule%d", random.IntN(333)))]++
					want++
				}
			}
			f.ledger.MergeCounts(fmt.Sprintf("edge-hall-a-%d/%d", gateway, 1_780_000_000_000_000_000+random.Int64N(1e9)), windows)
		}
		data, err := f.encode(UsageRecord{Windows: map[int64]Counts{997: {"hule1": 4}}})
		if err != nil {
			t.Fatal(err)
		}
		f.ledger = NewLedger()
		next := f.newReporter(&holder{fence: 2, holds: true, decided: data})
		next.Leases.(*holder).commit = duty.ErrNotHeld
		next.Step(t.Context())
		got := int64(0)
		for window := int64(998); window <= 1000; window++ {
			got += f.ledger.Sum(window).total()
		}
		t.Logf("%d gateways: %d bytes", gateways, len(data))
		if got != want {
			t.Errorf("%d gateways: a new holder knows %d of %d requests from a record of %d bytes", gateways, got, want, len(data))
		}
	}
}

// Guards against a record that leaves out all pending counts though some would fit, and against a
// record of an older build, or a damaged one, that stops the reporting.
func TestPendingCountsAreRestoredAsFarAsTheyFit(t *testing.T) {
	f := newFixture()
	random := rand.New(rand.NewPCG(1, 2))
	for window := int64(998); window <= 1000; window++ {
		counts := make(map[ident.ClientAccount]int64)
		for range 5_000 {
			counts[ident.ClientAccount(fmt.Sprintf("%x", random.Uint64()))] = 1
		}
		f.ledger.MergeCounts("a/1", map[int64]map[ident.ClientAccount]int64{window: counts})
	}
	data, err := f.encode(UsageRecord{Windows: map[int64]Counts{997: {"a": 1}}})
	if err != nil || len(data) > maxRecordBytes {
		t.Fatalf("encoded %d bytes, error %v", len(data), err)
	}
	for _, test := range []struct {
		name, record string
		want         int64
	}{
		{"what has room", string(data), 5_000},
		{"an older build's", `{"windows":{"997":{"a":1}},"pending":{"998":{"b/1":{"a":7}}}}`, 7},
		{"damaged", `{"windows":{"997":{"a":1}},"pending_gzip":"AAAA"}`, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.ledger = NewLedger()
			h := &holder{fence: 2, holds: true, decided: []byte(test.record)}
			f.newReporter(h).Step(t.Context())
			if got := f.ledger.Sum(998).total(); got != test.want {
				t.Errorf("a new holder knows %d requests, want %d", got, test.want)
			}
		})
	}
}
