package speed

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against a lost report that is missing from the sums for ever, and a repeated one that counts
// twice.
func TestLostAndRepeatedReportsChangeNothing(t *testing.T) {
	f, receiver := newFleet(), newTracker()
	id := f.add("u", 1.6)
	for report := range 8 {
		for range 5 {
			f.observe(id, 1)
		}
		f.refresh(testInterval)
		heard := []Heard{{Source: "gw", Entries: f.Report(f.now), AsOf: f.now}}
		if report%2 == 1 {
			receiver.Apply(heard)
			receiver.Apply(heard)
		}
	}
	got, want := receiver.sums(f.cfg.Key(id), f.now), f.sums(f.cfg.Key(id), f.now)
	if math.Abs(got.Weight-want.Weight) > 1e-9 || math.Abs(got.Log-want.Log) > 1e-9 {
		t.Errorf("sums %v after lost and repeated reports, want %v", got, want)
	}
}

// Guards against a gateway that counts its own samples twice: in its own sums and in those of the
// fleet.
func TestOwnSamplesCountOnce(t *testing.T) {
	f := newFleet()
	id := f.add("u", 1.6)
	for range 10 {
		f.observe(id, 1)
	}
	sent := f.Report(f.now)
	alone := f.sums(f.cfg.Key(id), f.now)
	f.Apply([]Heard{{Source: "all", WholeFleet: true, Entries: sent, AsOf: f.now}})
	if got := f.sums(f.cfg.Key(id), f.now); math.Abs(got.Weight-alone.Weight) > 1e-9 {
		t.Errorf("weight %.3f with the fleet's sums, want %.3f", got.Weight, alone.Weight)
	}
}

// Guards against sums of single gateways being added to those of the whole fleet, which contain them.
func TestSumsOfTheFleetReplaceThoseOfGateways(t *testing.T) {
	f, receiver := newFleet(), newTracker()
	id := f.add("u", 1.6)
	for range 10 {
		f.observe(id, 1)
	}
	entries := f.Report(f.now)
	receiver.Apply([]Heard{{Source: "gw", Entries: entries, AsOf: f.now}})
	receiver.Apply([]Heard{{Source: "all", WholeFleet: true, Entries: entries, AsOf: f.now}})
	want := f.sums(f.cfg.Key(id), f.now).Weight
	if got := receiver.sums(f.cfg.Key(id), f.now).Weight; math.Abs(got-want) > 1e-9 {
		t.Errorf("weight %.3f, want %.3f", got, want)
	}
}

// Guards against upstreams whose sums are never sent, because others come and go meanwhile.
func TestARotationSendsAllEntries(t *testing.T) {
	var rotation Rotation
	sent := make(map[uint32]bool)
	for round := range int64(30) {
		var entries []Entry
		for i := range uint32(100) {
			if i%7 != uint32(round)%7 || i%7 == 0 {
				entries = append(entries, Entry{Upstream: i})
			}
		}
		for _, e := range rotation.Window(entries, 8, round) {
			sent[e.Upstream] = true
		}
	}
	for i := range uint32(100) {
		if !sent[i] {
			t.Errorf("the sums of upstream %d were never sent", i)
		}
	}
}

// Guards against a report whose size grows with the number of upstreams.
func TestAReportIsBounded(t *testing.T) {
	f := newFleet()
	f.wholeFleet = true
	for i := range 690 {
		f.observe(f.add(fmt.Sprint("u", i), 1.6), 1)
	}
	if got := len(f.Report(f.now)); got > newestReported+olderReported {
		t.Errorf("a report names %d upstreams, at most %d allowed", got, newestReported+olderReported)
	}
}

// Guards against a table that keeps upstreams and gateways that are long gone.
func TestATableForgets(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	for i := range 10 {
		table.Apply(fmt.Sprint("gw", i), []Entry{{Upstream: uint32(i), Sums: Sums{Weight: 5, Log: 2}}}, now)
	}
	now = now.Add(10 * memory)
	table.Expire(now)
	if len(table.sources) > 0 || len(table.totals) > 0 {
		t.Errorf("%d sources and %d totals are left", len(table.sources), len(table.totals))
	}
}
