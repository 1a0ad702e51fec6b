package calls

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// TestAppendsStayBounded sends calls at growing rates to three gateways and measures
// the appends per second that the log receives and how long callers wait. The
// log's capacity is planned by the bound on the appends.
func TestAppendsStayBounded(t *testing.T) {
	const seconds = 5
	for _, rate := range []int{30, 100, 300, 1000, 3000} {
		synctest.Test(t, func(t *testing.T) {
			m := newMachine(trustNothing)
			defer m.close()
			m.cluster.log.SetDelay(5 * time.Millisecond)
			var mu sync.Mutex
			var waits []time.Duration
			before, start := m.cluster.log.Appends(), time.Now()
			for i := range rate * seconds {
				r := m.newRequest(false)
				g := m.cluster.gateways[i%3]
				m.pending.Go(func() {
					began := time.Now()
					call := Call{Key: r.key, Method: confirm, Payload: []byte(r.payload), IssuedAt: r.issuedAt, Attempt: 1}
					if o := g.calls.Do(t.Context(), call); o.Kind != outcome.Completed {
						t.Errorf("%d a second: %s (%s)", rate, o.Kind, o.Reason)
					}
					mu.Lock()
					defer mu.Unlock()
					waits = append(waits, time.Since(began))
				})
				time.Sleep(time.Second / time.Duration(rate))
			}
			m.pending.Wait()
			appends, took := m.cluster.log.Appends()-before, time.Since(start)
			perSecond := float64(appends) / took.Seconds()
			bound := 3 * journal.Partitions * (int(took/Limits{}.withDefaults().AppendInterval) + 1)
			slices.Sort(waits)
			t.Logf("| %d | %.0f | %.1f | %s | %s |", rate, perSecond, 2*float64(rate)/perSecond,
				waits[len(waits)/2], waits[len(waits)*99/100])
			if appends > bound {
				t.Errorf("%d calls a second cost %d appends in %s, want at most %d", rate, appends, took, bound)
			}
		})
	}
}

// sampleEvents returns the claim and the outcome of call number n.
func sampleEvents(n int, at time.Time, answer []byte) []journal.Event {
	head := journal.Head{
		Key:      ident.CallKey{Service: service, Account: account, Key: ident.Key(fmt.Sprintf("6f1c8a52-9d0e-4c57-b1f3-%012d", n))},
		ID:       journal.NewClaimID(),
		IssuedAt: at,
	}
	head.Digest = journal.NewDigest(head.Key, confirm, at, nil)
	target := journal.Target{Instance: "app-hall-a-1", Incarnation: 1, Address: "10.0.0.17:8080"}
	return []journal.Event{
		journal.Claim{Head: head, Holder: "entry-hall-a-1", HolderIncarnation: 1, Attempt: 1, Target: target},
		journal.Outcome{Head: head, Kind: outcome.Completed, Payload: answer},
	}
}

// BenchmarkFold measures, for each key with a claim and an outcome of 256 bytes, the
// time to decode and apply its records, and its bytes in the log and in memory.
func BenchmarkFold(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			at := time.Now()
			var records [][]byte
			logged := 0
			for n := range keys {
				for _, e := range sampleEvents(n, at, make([]byte, 256)) {
					data, err := journal.Encode(e)
					if err != nil {
						b.Fatal(err)
					}
					records = append(records, data)
					logged += len(data)
				}
			}
			for b.Loop() {
				before := testkit.LiveHeap()
				f := fold.New(false)
				began := time.Now()
				for offset, data := range records {
					e, err := journal.Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					f.Apply(ident.Offset(offset), at, at, e)
				}
				took := time.Since(began)
				b.ReportMetric(float64(took.Nanoseconds())/float64(keys), "ns/key")
				b.ReportMetric(float64(testkit.LiveHeap()-before)/float64(keys), "heap-B/key")
				b.ReportMetric(float64(logged)/float64(keys), "log-B/key")
				runtime.KeepAlive(f)
			}
		})
	}
}

// BenchmarkCall measures the processor time of a whole call, from Do to its outcome,
// with three gateways that all read the journal. It includes the time of the log
// and the upstreams, which are in memory.
func BenchmarkCall(b *testing.B) {
	for _, parallel := range []int{8, 64, 512, 4096} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			c := newCluster(trustNothing)
			for _, domain := range []ident.FailureDomain{"hall-a", "hall-a", "hall-b"} {
				c.newGatewayUnsynced(domain)
			}
			time.Sleep(100 * time.Millisecond)
			before := testkit.ProcessorTime(b)
			calls := 0
			for b.Loop() {
				var all sync.WaitGroup
				for i := range parallel {
					key := ident.CallKey{Service: service, Account: account, Key: ident.Key(fmt.Sprint(calls))}
					call := Call{Key: key, Method: confirm, Payload: make([]byte, 256), IssuedAt: time.Now(), Attempt: 1}
					g := c.gateways[i%3]
					calls++
					all.Go(func() { g.calls.Do(b.Context(), call) })
				}
				all.Wait()
			}
			b.ReportMetric(float64((testkit.ProcessorTime(b)-before).Microseconds())/float64(calls), "cpu-µs/call")
			for _, g := range c.gateways {
				g.kill()
				<-g.done
			}
		})
	}
}
