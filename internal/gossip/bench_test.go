package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
)

// BenchmarkReport measures encoding and decoding one report, and its size, by the numbers of
// upstreams and accounts in it. The slopes in docs/CAPACITY.md come from it.
func BenchmarkReport(b *testing.B) {
	for _, n := range []struct{ upstreams, accounts int }{{9, 5}, {64, 16}, {64, 100}, {3000, 333}} {
		r := newReport("edge-hall-a-1", 1, 1)
		r.Loads = make(map[UpstreamKey]placement.Load)
		r.Accounts = make(map[ident.ClientAccount]Spending)
		r.StartedRequests = make(WindowCounts)
		for i := range n.upstreams {
			r.Loads[UpstreamKeyOf(ident.Instance(fmt.Sprintf("i-%010x", i)))] = placement.Load{Running: 3, UnreadTokens: 12000}
		}
		for i := range n.accounts {
			name := ident.ClientAccount(fmt.Sprintf("hule%d", i))
			r.Accounts[name] = Spending{Spent: 1234567, Refused: 2345678}
			for w := range int64(5) {
				if r.StartedRequests[w] == nil {
					r.StartedRequests[w] = make(map[ident.ClientAccount]int64)
				}
				r.StartedRequests[w][name] = 412
			}
		}
		var sums enginemodel.Sums
		for i := range 100 {
			sums.AddSample(enginemodel.Sample{OwnTokens: float64(700 + 31*i), TokensAhead: float64(17 * i), Running: float64(i % 7), FirstEvent: 90 * time.Millisecond}, sums.Fit())
		}
		r.Engines = map[ident.Service]enginemodel.Sums{"huvo11a": sums}
		b.Run(fmt.Sprintf("%d upstreams %d accounts", n.upstreams, n.accounts), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				m := message{From: r}
				data, err := m.encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if _, err := decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkCollectorAnswer measures one answer of a collector, from adding the report to the
// encoded answer, by the number of gateways in its domain, with the sums of five other
// domains.
func BenchmarkCollectorAnswer(b *testing.B) {
	for _, n := range []struct{ gateways, upstreams, accounts int }{{8, 300, 40}, {75, 3000, 333}, {164, 3000, 333}, {328, 6000, 333}} {
		b.Run(fmt.Sprint(n.gateways, " gateways ", n.upstreams, " upstreams"), func(b *testing.B) {
			d := newTestDomain()
			for domain := range 5 {
				d.collector.AddDomainSum(domainSumOf(domain, n.upstreams, n.accounts), d.now, d.now)
			}
			for i := range n.gateways {
				d.collector.AddReport(d.reportOf(i, 10, 40), d.now, d.now)
			}
			b.ReportAllocs()
			size := 0
			for i := 0; b.Loop(); i++ {
				gateway := i % n.gateways
				d.now = d.now.Add(Interval / time.Duration(n.gateways))
				for domain := range 5 {
					d.collector.domains[ident.FailureDomain(fmt.Sprint("hall-", domain))].sums["c/1"].receivedAt = d.now
				}
				d.collector.AddReport(d.reportOf(gateway, 10, 40), d.now, d.now)
				sum, part, err := d.collector.encodedOthers(nodeOf(gateway), d.now, d.now)
				if err != nil {
					b.Fatal(err)
				}
				m := message{From: newReport("gw-0", 1, 1), Others: &sum, OthersEncoded: part}
				data, err := m.encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// domainSumOf returns the sum of another domain, with loads of some of all upstreams.
func domainSumOf(domain, upstreams, accounts int) Sum {
	s := Sum{
		Source: "c/1", Seq: 1, Domain: ident.FailureDomain(fmt.Sprint("hall-", domain)), Heard: 100, Known: 100,
		Loads: make(map[UpstreamKey]placement.Load), Accounts: make(map[ident.ClientAccount]Spending),
	}
	for i := range upstreams {
		s.Loads[UpstreamKey(i)] = placement.Load{Running: 3, UnreadTokens: 12000}
	}
	for i := range accounts {
		s.Accounts[ident.ClientAccount(fmt.Sprint("acct", i))] = Spending{Spent: 1234567, Refused: 2345678}
	}
	return s
}
