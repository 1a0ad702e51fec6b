package gossip

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// testDomain is one failure domain's collector with a clock and a sequence of reports.
type testDomain struct {
	collector *Collector
	now       time.Time
	seq       uint64
}

func newTestDomain() *testDomain {
	self := Contact{Node: "gw-0", Address: "gw-0:1", Domain: "hall-a", Cores: 1}
	return &testDomain{collector: NewCollector(self, 1), now: time.Unix(1000, 0)}
}

// reportOf returns a report of one gateway with loads of some upstreams and totals of some
// accounts.
func (d *testDomain) reportOf(gateway, upstreams, accounts int) Report {
	d.seq++
	r := Report{
		Contact: Contact{Node: nodeOf(gateway), Address: fmt.Sprint("gw-", gateway, ":1"), Domain: "hall-a"}, Incarnation: 1, Seq: d.seq,
		WallMillis: d.now.UnixMilli(), Loads: make(map[UpstreamKey]placement.Load), Accounts: make(map[ident.ClientAccount]Spending),
		Demand: map[ident.Service]placement.Demand{"llm": {PromptTokensPerSecond: 100, Generating: 1}},
	}
	for i := range upstreams {
		r.Loads[UpstreamKey(gateway*7+i*13)] = placement.Load{Running: 1 + gateway%3, UnreadTokens: 100 * (i + 1)}
	}
	for i := range accounts {
		r.Accounts[ident.ClientAccount(fmt.Sprint("acct", (gateway+i)%333))] = Spending{Spent: float64(d.seq * 1000), Refused: float64(i)}
	}
	return r
}

func nodeOf(gateway int) ident.Instance { return ident.Instance(fmt.Sprint("gw-", gateway)) }

// encodeAndDecode returns a collector's answer as its asker decodes it.
func encodeAndDecode(t testing.TB, sum Sum, part []byte) *Sum {
	t.Helper()
	m := message{From: fullReport(), Others: &sum, OthersEncoded: part}
	data, err := m.encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return got.Others
}

// A gateway subtracts its own report from a sum of all gateways. Guards against a gateway that
// then counts itself among the others, or one of the others twice or not at all.
func TestSubtractingTheOwnReportLeavesTheOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newTestDomain()
		sent, first := make(map[int][]Report), make(map[int]float64)
		send := func(gateway, upstreams int) {
			r := d.reportOf(gateway, upstreams, 0)
			r.HoldsLease = gateway == 2
			total := float64(d.seq * 1000)
			r.Accounts["shared"] = Spending{Spent: total}
			if gateway%2 == 0 {
				r.Poison = poison.Report{Crashes: []poison.Crash{{Upstream: uint32(gateway), Marks: []ident.Mark{fullMark(ident.ContentFeature, 1<<8, 0)}}}}
			}
			if _, known := first[gateway]; !known {
				first[gateway] = total
			}
			sent[gateway] = append(sent[gateway], r)
			d.collector.AddReport(r, d.now, d.now)
		}
		for range rapid.IntRange(1, 40).Draw(rt, "reports") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "pause")) * time.Millisecond)
			send(rapid.IntRange(0, 5).Draw(rt, "gateway"), rapid.IntRange(0, 3).Draw(rt, "upstreams"))
			// Some gateway asks, so that later answers may reuse this sum.
			d.collector.encodedOthers(nodeOf(rapid.IntRange(0, 5).Draw(rt, "other")), d.now, d.now)
		}
		asker := rapid.IntRange(0, 5).Draw(rt, "asker")
		send(asker, 1)
		sum, part, err := d.collector.encodedOthers(nodeOf(asker), d.now, d.now)
		if err != nil {
			rt.Fatal(err)
		}
		got := encodeAndDecode(t, sum, part)
		own := slices.IndexFunc(sent[asker], func(r Report) bool { return r.id() == got.CountedReport })
		if own < 0 {
			rt.Fatalf("the sum includes report %v, which the asker has not sent", got.CountedReport)
		}
		got.subtractReport(&sent[asker][own])

		loads, holders, heard, spent := make(map[UpstreamKey]placement.Load), 0, 0, -first[asker]
		for gateway := range 6 {
			counted := d.collector.cachedTotalSum.counted[nodeOf(gateway)]
			if counted == nil || gateway == asker {
				continue
			}
			heard++
			spent += counted.report.Accounts["shared"].Spent - first[gateway]
			for key, load := range counted.report.Loads {
				loads[key] = loads[key].Plus(load)
			}
			if counted.report.HoldsLease {
				holders++
			}
		}
		if !maps.Equal(loads, got.Loads) {
			rt.Error(cmp.Diff(loads, got.Loads))
		}
		if got.Heard != heard || got.LeaseHolders != holders || got.Accounts["shared"].Spent != spent {
			rt.Errorf("heard %d, want %d; %d hold the lease, want %d; spent %.0f, want %.0f", got.Heard, heard, got.LeaseHolders, holders, got.Accounts["shared"].Spent, spent)
		}
		if generating := got.Demand["llm"].Generating; math.Abs(generating-float64(heard)) > 1e-3 {
			rt.Errorf("demand of %d others is %.3f generating requests", heard, generating)
		}
		for _, crash := range got.Poison.Crashes {
			if crash.Upstream == uint32(asker) {
				rt.Error("the answer contains the asker's own statement")
			}
		}
	})
}

// Gateways of an older build do not subtract their own report from a sum. Guards against
// gateways that then count their own requests twice.
func TestAGatewayOfAnOlderBuildGetsTheOthers(t *testing.T) {
	d := newTestDomain()
	for gateway := range 3 {
		d.collector.AddReport(d.reportOf(gateway, 1, 1), d.now, d.now)
	}
	got := d.collector.Others(nodeOf(1), d.now, d.now)
	if _, some := got.Loads[UpstreamKey(7)]; some || got.Heard != 2 || got.CountedReport != (reportID{}) {
		t.Errorf("heard %d, loads %v, counted %v", got.Heard, got.Loads, got.CountedReport)
	}
}

// Guards against an answer to a restarted gateway that includes a report of its last
// incarnation, which the gateway cannot subtract.
func TestARestartedGatewayIsCountedInItsFirstAnswer(t *testing.T) {
	d := newTestDomain()
	d.collector.AddReport(d.reportOf(1, 1, 1), d.now, d.now)
	d.collector.encodedOthers(nodeOf(1), d.now, d.now)
	again := d.reportOf(1, 1, 1)
	again.Incarnation = 2
	d.collector.AddReport(again, d.now, d.now)
	sum, _, err := d.collector.encodedOthers(nodeOf(1), d.now, d.now)
	if err != nil || sum.CountedReport != again.id() {
		t.Errorf("counted report %v, want %v (error %v)", sum.CountedReport, again.id(), err)
	}
}

// Guards against a collector whose work for each report grows with the number of gateways that
// report to it. Beyond some hundred gateways its answers would be late.
func TestACollectorsWorkForAReportDoesNotGrowWithTheFleet(t *testing.T) {
	const (
		rounds = 4
		// partsOfReport is how often a report may be added up per round: once in each sum.
		partsOfReport = int64(Interval/sumTTL) + 1
	)
	own := make(map[int]int)
	for _, gateways := range []int{100, 300, 1000, 2000} {
		d := newTestDomain()
		for round := range rounds {
			for i := range gateways {
				d.now = time.Unix(1000, 0).Add(time.Duration(round)*Interval + Interval*time.Duration(i)/time.Duration(gateways))
				d.collector.AddReport(d.reportOf(i, 3, 3), d.now, d.now)
				if round == 0 {
					continue // all gateways are new: each needs a sum that includes it
				}
				sum, part, err := d.collector.encodedOthers(nodeOf(i), d.now, d.now)
				if err != nil {
					t.Fatal(err)
				}
				own[gateways] = max(own[gateways], len(encodeAnswer(t, sum, part))-len(part))
			}
			if round == 0 {
				d.collector.stats = CollectorStats{}
			}
		}
		w := d.collector.stats
		t.Logf("%d gateways: %+v, %d bytes of an answer depend on the asker", gateways, w, own[gateways])
		if w.Parts > partsOfReport*w.Reports {
			t.Errorf("%d gateways: the collector added up %d parts for %d reports", gateways, w.Parts, w.Reports)
		}
	}
	if own[2000] > own[100]+16 {
		t.Errorf("bytes of an answer that depend on the asker, by number of gateways: %v", own)
	}
}

func encodeAnswer(t *testing.T, sum Sum, part []byte) []byte {
	t.Helper()
	m := message{From: newReport("gw-0", 1, 1), Others: &sum, OthersEncoded: part}
	data, err := m.encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
