package upstreamlimit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// fixture is a limiter with a clock that the test sets, and its log.
type fixture struct {
	*Limiter
	now time.Time
	log bytes.Buffer
}

func newFixture() *fixture {
	f := &fixture{now: epoch}
	f.Limiter = NewLimiter(Config{Now: func() time.Time { return f.now }, Log: hclog.New(&hclog.LoggerOptions{Output: &f.log}), Key: key, Round: round, Seed: 1})
	f.Refresh(nil, Fleet{Heard: 1, Known: 1})
	return f
}

const u ident.Instance = "u"

// applyList tells the limiter that the given upstreams are listed.
func (f *fixture) applyList(ids ...ident.Instance) {
	f.UpdateListed(func(note func(ident.Instance)) {
		for _, id := range ids {
			note(id)
		}
	})
}

// Guards against a limit that is lost, or stays, when several answers in a row announce
// different things.
func TestTheNewestReadableStatementCounts(t *testing.T) {
	bad := Statement{Kind: Unreadable, Problem: "x"}
	none := Statement{}
	for _, c := range []struct {
		name       string
		statements []Statement
		limited    bool
		rate       float64
	}{
		{name: "none", statements: []Statement{none}},
		{name: "a limit", statements: []Statement{LimitedTo(2)}, limited: true, rate: 2},
		{name: "another", statements: []Statement{LimitedTo(2), LimitedTo(5)}, limited: true, rate: 5},
		{name: "lifted", statements: []Statement{LimitedTo(2), none}},
		{name: "named again", statements: []Statement{LimitedTo(2), none, LimitedTo(2)}, limited: true, rate: 2},
		{name: "unreadable first", statements: []Statement{bad}},
		{name: "unreadable after a limit", statements: []Statement{LimitedTo(2), bad}, limited: true, rate: 2},
		{name: "unreadable after it was lifted", statements: []Statement{LimitedTo(2), none, bad}},
		{name: "zero", statements: []Statement{LimitedTo(0)}, limited: true, rate: minRate},
		{name: "tiny", statements: []Statement{LimitedTo(1e-300)}, limited: true, rate: minRate},
		{name: "huge", statements: []Statement{LimitedTo(1e300)}, limited: true, rate: maxRate},
		{name: "negative", statements: []Statement{LimitedTo(-1)}},
		{name: "no number", statements: []Statement{LimitedTo(math.NaN())}},
		{name: "a limit beside what cannot be read", statements: []Statement{{Kind: Limited, Rate: 3, Problem: "x"}}, limited: true, rate: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			for _, s := range c.statements {
				f.RecordStatement(u, "r", s)
				f.now = f.now.Add(time.Millisecond)
			}
			rate, limited := f.Rate(u)
			if limited != c.limited || limited && rate != c.rate {
				t.Errorf("limited %v to %v a second", limited, rate)
			}
			if f.AnyLimited() != c.limited || f.Limited(u) != c.limited {
				t.Error("the methods that report whether there is a limit contradict Rate")
			}
		})
	}
}

// Guards against a log that an upstream floods by announcing another rate in each answer, and
// against an unreadable limit that isn't logged.
func TestLinesOfChangingLimitsAreBounded(t *testing.T) {
	f := newFixture()
	const answers = 5000
	for i := range answers {
		f.RecordStatement(u, "r", LimitedTo(float64(1+i%7)))
		f.RecordStatement(u, "r", Statement{Kind: Unreadable, Problem: "few"})
		f.now = f.now.Add(time.Millisecond)
	}
	if lines := strings.Count(f.log.String(), "\n"); lines > 2*(answers/1000+1) {
		t.Errorf("%d log lines in 5 s", lines)
	}
	if !strings.Contains(f.log.String(), "few") || !strings.Contains(f.log.String(), "changes_unlogged=") {
		t.Errorf("the log names neither the problem nor the unlogged changes:\n%s", f.log.String())
	}
	if c := f.Counters(); c.Changes != answers || c.Unreadable != answers {
		t.Errorf("wrong counters: %+v", c)
	}
	if len(f.LimitReports()) != 1 || len(f.List()) != 1 {
		t.Error("an upstream has more than one limit")
	}
}

// Guards against a limit that outlives its upstream, and against a limiter that grows without bound.
func TestLimitsOfUpstreamsThatAreGoneAreForgotten(t *testing.T) {
	f := newFixture()
	f.RecordStatement(u, "r", LimitedTo(1))
	f.RecordStatement("v", "r", LimitedTo(1))
	f.RecordStatement("w", "r", LimitedTo(1))
	f.RecordStatement("w", "r", Statement{})
	version := f.Version()
	for range 60 {
		f.now = f.now.Add(time.Second)
		f.applyList(u)
	}
	if !f.Limited(u) || f.Limited("v") || len(f.limits) != 1 {
		t.Errorf("%d limits are known: %+v", len(f.limits), f.List())
	}
	if f.Version() == version {
		t.Error("a limit was dropped but the version did not change")
	}
	for i := range 3 * maxLimits {
		f.MergeLimitReports([]LimitReport{{Upstream: uint32(i), Limited: true, Rate: 1}}, f.now)
	}
	if len(f.limits) > maxLimits {
		t.Errorf("%d limits are known", len(f.limits))
	}
	f.now = f.now.Add(2 * UnlistedRetention)
	f.applyList()
	if f.AnyLimited() {
		t.Error("limits of upstreams that are not listed any more were not dropped")
	}
}

// Guards against an older report that undoes a newer one, in whatever order they arrive.
func TestLimitReportsComeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) LimitReport {
			return LimitReport{
				Upstream: key(u), Limited: rapid.Bool().Draw(t, "limited"), Rate: float64(rapid.IntRange(1, 3).Draw(t, "rate")),
				Age: time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
			}
		}), 1, 12, func(s LimitReport) time.Duration { return s.Age }).Draw(t, "said")
		newest := reports[0]
		for _, s := range reports {
			if s.Age < newest.Age {
				newest = s
			}
		}
		f := newFixture()
		for _, s := range reports {
			f.MergeLimitReports([]LimitReport{s}, f.now)
		}
		rate, limited := f.Rate(u)
		if limited != newest.Limited || limited && rate != newest.Rate {
			t.Fatalf("limited %v to %v, the newest is %+v", limited, rate, newest)
		}
	})
}

// Guards against a gateway that starts, or all of them after all were killed, and sends to an
// overloaded upstream until the upstream's own answers announce the limit.
func TestLimitsOutliveAllGateways(t *testing.T) {
	f := newFixture()
	if f.Snapshot() != nil {
		t.Error("something is stored though there is no limit")
	}
	f.RecordStatement(u, "r", LimitedTo(0.5))
	f.RecordStatement("v", "r", LimitedTo(3))
	f.RecordStatement("v", "r", Statement{})
	later := newFixture()
	later.Restore(f.Snapshot())
	if rate, limited := later.Rate(u); !limited || rate != 0.5 || later.Limited("v") {
		t.Errorf("restored limit: %v a second, limited %v", rate, limited)
	}
	if reports := later.LimitReports(); len(reports) != 1 || reports[0].Age < restoredExtraAge {
		t.Errorf("reported as %+v, newer than what the others may have learned since", reports)
	}
	// An answer that this gateway received takes precedence, also if it arrived before the record
	// was read.
	first := newFixture()
	first.RecordStatement(u, "r", LimitedTo(4))
	first.Restore(f.Snapshot())
	if rate, _ := first.Rate(u); rate != 4 {
		t.Errorf("an old record changed a limit to %v", rate)
	}
	for _, bad := range []string{`{`, `[{"upstream":1,"per_second":-1}]`, `[{"upstream":1,"age_ms":-5}]`, `[{"upstream":1,"age_ms":99999999999}]`, `"x"`} {
		g := newFixture()
		g.Restore(json.RawMessage(bad))
		if g.AnyLimited() || !strings.Contains(g.log.String(), "not usable") {
			t.Errorf("%s: %v, log %q", bad, g.List(), g.log.String())
		}
	}
}

// Guards against a lease's record that grows with the number of upstreams.
func TestStoredLimitsAreBounded(t *testing.T) {
	f := newFixture()
	for i := range 2000 {
		f.RecordStatement(ident.Instance(fmt.Sprint("u", i)), "r", LimitedTo(1.25))
	}
	if data := f.Snapshot(); len(data) > 16<<10 {
		t.Errorf("%d bytes are stored", len(data))
	}
}

// Guards against messages that grow with the number of limits, and against a limit that is never
// reported because there are many.
func TestAllLimitsAreReportedInTurns(t *testing.T) {
	f := newFixture()
	const limits = 50
	var all []ident.Instance
	for i := range limits {
		all = append(all, ident.Instance(fmt.Sprint("u", i)))
		f.RecordStatement(all[i], "r", LimitedTo(1))
	}
	f.now = f.now.Add(reportChangeFor)
	f.applyList(all...)
	reported := make(map[uint32]bool)
	for range limits/maxReportedOthers + 1 {
		reports := f.LimitReports()
		if len(reports) > maxReportedOthers {
			t.Errorf("%d limits in a message", len(reports))
		}
		for _, s := range reports {
			reported[s.Upstream] = true
		}
		f.now = f.now.Add(round)
	}
	if len(reported) != limits {
		t.Errorf("%d of %d limits were reported", len(reported), limits)
	}
	f.RecordStatement(all[3], "r", LimitedTo(2))
	changeReported := false
	for _, s := range f.LimitReports() {
		changeReported = changeReported || s.Upstream == key(all[3]) && s.Rate == 2
	}
	if !changeReported {
		t.Error("a change is not reported at once")
	}
}

// Guards against one side of a network partition that uses the whole limit.
func TestASideOfACutUsesItsShare(t *testing.T) {
	sent := func(fleet Fleet) int {
		f := newFixture()
		f.RecordStatement(u, "r", LimitedTo(10))
		n := 0
		for range 4000 {
			f.now = f.now.Add(10 * time.Millisecond)
			f.Refresh(nil, fleet)
			if f.Admit(u) {
				n++
			}
		}
		return n
	}
	whole, part := sent(Fleet{1, 1}), sent(Fleet{1, 4})
	if whole < 320 || whole > 420 {
		t.Errorf("%d requests sent in 40 s at 10 a second", whole)
	}
	if part < 80 || part > 110 {
		t.Errorf("%d requests sent in 40 s by a quarter of the gateways", part)
	}
}

// Guards against sending nothing for a while after the rate was lowered, and against a jump after
// it was raised.
func TestAChangedRateIsUsedFromTheStart(t *testing.T) {
	for _, c := range []struct{ before, after float64 }{{20, 2}, {2, 20}} {
		f := newFixture()
		f.RecordStatement(u, "r", LimitedTo(c.before))
		ask := func(seconds float64) (sent int) {
			for range int(seconds * 200) {
				f.now = f.now.Add(5 * time.Millisecond)
				if f.Admit(u) {
					sent++
				}
			}
			return sent
		}
		ask(20)
		f.RecordStatement(u, "r", LimitedTo(c.after))
		if got, want := float64(ask(10)), 10*c.after; got < minUsedShareOfLimit*want || got > 1.2*want {
			t.Errorf("from %v to %v a second: %v requests sent in 10 s, %v are allowed", c.before, c.after, got, want)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	f := newFixture()
	for i := range 50 {
		f.RecordStatement(ident.Instance(fmt.Sprint("u", i)), "r", LimitedTo(1))
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Admit("u7")
	}
}

// Guards against an unserved share of an upstream that accepts all its demand.
func TestUnservedShare(t *testing.T) {
	f := newFixture()
	f.RecordStatement(u, "r", LimitedTo(2))
	f.RecordStatement("idle", "r", LimitedTo(2))
	for range 2000 {
		f.now = f.now.Add(10 * time.Millisecond)
		f.Admit(u)
	}
	if got := f.UnservedShare(u); got < 0.95 || got > 0.99 {
		t.Errorf("unserved share %v at 2 of 100 a second", got)
	}
	if f.UnservedShare("idle") != 0 || f.UnservedShare("unknown") != 0 {
		t.Error("an upstream without demand has an unserved share")
	}
	f.RecordStatement(u, "r", Statement{})
	if f.UnservedShare(u) != 0 {
		t.Error("a lifted limit leaves an unserved share")
	}
}

// Guards against uses that are attributed to the wrong upstreams when they are sent without keys.
func TestUsesByPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := LimitedSet{Hash: 7}
		uses := Uses{}
		for i := range rapid.IntRange(1, 60).Draw(t, "limits") {
			set.Keys = append(set.Keys, uint32(3*i))
			if rapid.IntRange(0, 3).Draw(t, "used") == 0 {
				uses[uint32(3*i)] = Use{Demand: float64(i + 1), Sent: 1}
			}
		}
		c := uses.Columns(set)
		got, known := c.Uses(set)
		if !known {
			t.Fatalf("the columns %+v are not accepted for their own set", c)
		}
		for _, key := range set.Keys {
			if got[key] != uses[key] {
				t.Fatalf("%d: %+v, want %+v", key, got[key], uses[key])
			}
		}
		if _, known := c.Uses(LimitedSet{Hash: 8, Keys: set.Keys}); known {
			t.Fatal("uses for another set of limits are accepted")
		}
		if len(c.Positions) > 0 {
			c.Positions[0] = uint32(len(set.Keys))
			if _, known := c.Uses(set); known {
				t.Fatal("a position beyond the set is accepted")
			}
		}
	})
}

// Guards against a gateway that keeps sending its share though all together have sent too much, and
// against one that leaves unused what the others don't send.
func TestWhatAllSentLatelyIsFollowed(t *testing.T) {
	for _, c := range []struct {
		name       string
		othersSent float64
		most       int
		least      int
	}{
		{name: "twice what the rate allows", othersSent: 80, most: 0},
		{name: "nothing", othersSent: 0, most: 100, least: 70},
	} {
		f := newFixture()
		f.RecordStatement(u, "r", LimitedTo(10))
		sent := 0
		for i := range 2000 {
			f.now = f.now.Add(10 * time.Millisecond)
			// Half of the demand is at this gateway.
			f.Refresh(Uses{key(u): {Demand: 300, Sent: c.othersSent}}, Fleet{2, 2})
			if f.Admit(u) && i >= 1000 {
				sent++
			}
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%s: %d requests sent in 10 s at 10 a second", c.name, sent)
		}
	}
}

// Guards against gateways that all send their whole demand when they learn of a limit or start,
// because none of them has counted yet.
func TestTheFirstRequestsOfManyGatewaysAreFew(t *testing.T) {
	sent := 0
	const gateways = 82
	for i := range gateways {
		f := newFixture()
		f.rng = rand.New(rand.NewPCG(uint64(i), 1))
		f.Refresh(nil, Fleet{gateways, gateways})
		f.RecordStatement(u, "r", LimitedTo(5))
		f.now = f.now.Add(2 * time.Second)
		if f.Admit(u) {
			sent++
		}
	}
	if sent > 35 {
		t.Errorf("%d gateways send their first request at a limit of 5 a second", sent)
	}
}

// Guards against requests that are sent all at once after a pause in which there was no demand.
func TestAPauseIsNotMadeUpFor(t *testing.T) {
	f := newFixture()
	f.RecordStatement(u, "r", LimitedTo(5))
	ask := func(seconds float64) (sent int) {
		for range int(seconds * 100) {
			f.now = f.now.Add(10 * time.Millisecond)
			f.Refresh(nil, Fleet{1, 1})
			if f.Admit(u) {
				sent++
			}
		}
		return sent
	}
	ask(10)
	f.now = f.now.Add(10 * time.Second)
	// The first few are sent before the demand shows.
	if sent := ask(0.1); sent > 4 {
		t.Errorf("%d of the first 10 requests are sent at a limit of 5 a second", sent)
	}
}

// Guards against a gateway that starts with a sent count of zero and sends too much to reach the
// rate.
func TestAGatewayBeginsWithItsShareCountedAsSent(t *testing.T) {
	f := newFixture()
	f.RecordStatement(u, "r", LimitedTo(20))
	sent := 0
	for range 600 {
		f.now = f.now.Add(5 * time.Millisecond)
		f.Refresh(nil, Fleet{1, 1})
		if f.Admit(u) {
			sent++
		}
	}
	if sent > 66 {
		t.Errorf("%d requests sent in the first 3 s at 20 a second", sent)
	}
}

// Guards against an upstream that accepted nothing for a while and never gets a request again: only
// in an answer can it announce that it accepts more.
func TestAnUpstreamThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	for _, rate := range []float64{0, 1e-300, 0.01} {
		f := newFixture()
		f.RecordStatement(u, "r", LimitedTo(rate))
		sent := 0
		for range 6000 {
			f.now = f.now.Add(10 * time.Millisecond)
			f.Refresh(nil, Fleet{1, 1})
			if f.Admit(u) {
				sent++
			}
		}
		if sent < 6 || sent > 18 {
			t.Errorf("%d requests sent in a minute at a limit of %v a second", sent, rate)
		}
	}
}

// Guards against gateways that keep telling each other of the limit of an upstream that is gone, each
// of which takes the other's report for news after it has forgotten it.
func TestGatewaysForgetLimitsTogether(t *testing.T) {
	a, b := newFixture(), newFixture()
	exchange := func(length time.Duration, listedAtA, listedAtB ident.Instance) {
		for range length / round {
			a.now = a.now.Add(round)
			b.now = a.now.Add(-round / 2)
			a.applyList(listedAtA)
			b.applyList(listedAtB)
			b.MergeLimitReports(a.LimitReports(), b.now)
			a.MergeLimitReports(b.LimitReports(), a.now)
		}
	}
	a.RecordStatement(u, "r", LimitedTo(1))
	exchange(2*time.Second, u, u)
	if !b.Limited(u) {
		t.Fatal("the other gateway does not know the limit")
	}
	exchange(time.Second, "other", u)
	exchange(3*UnlistedRetention, "other", "other")
	if len(a.limits)+len(b.limits) > 0 {
		t.Errorf("%d and %d limits of upstreams that are gone are kept", len(a.limits), len(b.limits))
	}
}
