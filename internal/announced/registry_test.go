package announced

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

func init() { testkit.FixSeed() }

const testRound = 250 * time.Millisecond

// fixture is a registry at one gateway, in virtual time.
type fixture struct {
	*Registry
	now    time.Time
	listed map[ident.Instance]bool
	// leaving are the upstreams that OnLeaving was called with, in order.
	leaving []ident.Instance
	log     testkit.LogBuffer
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1_000_000, 0), listed: make(map[ident.Instance]bool)}
	clock := func() time.Time { return f.now }
	log := hclog.New(&hclog.LoggerOptions{Output: &f.log})
	f.Registry = NewRegistry(Config{
		Now: clock, Log: log, Round: testRound, MaxPause: 10 * time.Minute,
		Limits:    upstreamlimit.NewLimiter(upstreamlimit.Config{Now: clock, Log: log, Key: func(ident.Instance) uint32 { return 0 }, Round: testRound}),
		Listed:    func(id ident.Instance) bool { return f.listed[id] },
		OnLeaving: func(ids []ident.Instance) { f.leaving = append(f.leaving, ids...) },
	})
	return f
}

// list updates which upstreams are listed, as a gateway does in each round.
func (f *fixture) list(ids ...ident.Instance) {
	clear(f.listed)
	for _, id := range ids {
		f.listed[id] = true
	}
	f.updateListed()
}

func (f *fixture) updateListed() {
	f.UpdateListed(func(note func(ident.Instance)) {
		for id := range f.listed {
			note(id)
		}
	})
}

// pass lets time pass, while the listed upstreams stay listed.
func (f *fixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(testRound, end.Sub(f.now)))
		f.updateListed()
	}
}

// Guards against an upstream that leaves and gets requests again because a later answer or report
// does not say so.
func TestNothingTakesBackThatAnUpstreamLeaves(t *testing.T) {
	f := newFixture()
	f.list("u1", "u2")
	f.Record("u1", "r1", Statement{Leaving: true})
	f.Record("u1", "r2", Statement{})
	f.Record("u1", "r3", Statement{Problem: "x"})
	f.Record("u1", "r4", Statement{Leaving: true})
	f.Merge(Reports{Leaving: []LeavingReport{{Upstream: "u1", Age: time.Hour}}}, f.now)
	f.pass(time.Hour)
	if !f.Leaving("u1") || f.Accepts("u1") || f.Leaving("u2") || !f.Accepts("u2") {
		t.Error("u1 leaves and takes nothing, u2 does not leave")
	}
	if len(f.leaving) != 1 || f.Counters().Leaving != 1 {
		t.Errorf("told %v times, counted %d, want once each", f.leaving, f.Counters().Leaving)
	}
	if lines := strings.Count(f.log.String(), "announced that it leaves"); lines != 1 {
		t.Errorf("%d lines in the log, want 1", lines)
	}
}

// Guards against statements that outlive their upstream, or end while it is only missing from the
// listing for a while, as after an outage of the store.
func TestStatementsEndWithTheirUpstream(t *testing.T) {
	f := newFixture()
	f.list("u1/a")
	f.Record("u1/a", "r1", Statement{Leaving: true})
	f.list()
	f.pass(upstreamlimit.UnlistedRetention - time.Second)
	f.list("u1/a")
	if !f.Leaving("u1/a") {
		t.Error("forgotten though the upstream came back")
	}
	f.list("u1/b")
	f.pass(upstreamlimit.UnlistedRetention + time.Second)
	if f.Leaving("u1/a") || f.Leaving("u1/b") || len(f.records) != 0 {
		t.Errorf("kept although the upstream is gone: %v", f.records)
	}
}

// Guards against a statement of a process that is taken for one of its successor where entries
// name no incarnation: the successor would get nothing as long as it lives.
func TestASuccessorUnderTheSameIDDoesNotLeave(t *testing.T) {
	f := newFixture()
	f.list("u1")
	f.Record("u1", "r1", Statement{Leaving: true})
	f.pass(2 * time.Second)
	f.list()
	f.Forget("u1")
	f.pass(time.Second)
	f.list("u1")
	f.Merge(Reports{Leaving: []LeavingReport{{Upstream: "u1", Age: 3 * time.Second}}}, f.now)
	if f.Leaving("u1") {
		t.Error("an older statement counts")
	}
	f.Merge(Reports{Leaving: []LeavingReport{{Upstream: "u1", Age: 500 * time.Millisecond}}}, f.now)
	if !f.Leaving("u1") {
		t.Error("the successor's own statement does not count")
	}
	f.list()
	f.pass(forgottenRetention + upstreamlimit.UnlistedRetention)
	if len(f.forgottenAt) != 0 {
		t.Errorf("%d IDs are kept for good", len(f.forgottenAt))
	}
}

// Guards against gateways that keep telling each other of an upstream that is gone, each of which
// takes the other's report for news after it has forgotten it.
func TestGatewaysForgetTogether(t *testing.T) {
	a, b := newFixture(), newFixture()
	exchange := func(rounds int) {
		for range rounds {
			a.pass(testRound)
			b.now = a.now.Add(-testRound / 2)
			b.pass(testRound / 2)
			b.Merge(a.Reports(), a.now)
			a.Merge(b.Reports(), b.now)
		}
	}
	a.list("u1")
	b.list("u1")
	a.Record("u1", "r1", Statement{Leaving: true})
	exchange(4)
	if !b.Leaving("u1") || b.Counters().LeavingReported != 1 {
		t.Fatal("the other gateway has not learned of it")
	}
	a.list()
	exchange(4)
	b.list()
	exchange(int(3 * upstreamlimit.UnlistedRetention / testRound))
	if len(a.records)+len(b.records) != 0 {
		t.Errorf("still known: %v, %v", a.Reports().Leaving, b.Reports().Leaving)
	}
}

// Guards against statements that some gateways never hear because a message holds a bounded number
// of them, and against messages that grow without bound.
func TestAllStatementsAreReportedInTurns(t *testing.T) {
	f := newFixture()
	for i := range 500 {
		id := ident.Instance(fmt.Sprint("u", i))
		f.listed[id] = true
		f.Record(id, "r", Statement{Leaving: true})
	}
	reported := make(map[ident.Instance]bool)
	for range int(500/maxReportedOthers + 1 + int(reportNewFor/testRound)) {
		reports := f.Reports().Leaving
		if len(reports) > maxReportedNew+maxReportedOthers {
			t.Fatalf("%d reports in a message", len(reports))
		}
		for _, r := range reports {
			reported[r.Upstream] = true
		}
		f.pass(testRound)
	}
	if len(reported) != 500 {
		t.Errorf("%d of 500 were reported", len(reported))
	}
}

// Guards against state and log lines that grow with what upstreams and other gateways say.
func TestStateAndLogAreBounded(t *testing.T) {
	f := newFixture()
	f.list("u1")
	for i := range 1000 {
		f.Record("u1", "r", Statement{Pause: time.Duration(i%7+1) * time.Second, Problem: fmt.Sprint("text ", i)})
		f.now = f.now.Add(10 * time.Millisecond)
	}
	if lines := strings.Count(f.log.String(), "\n"); lines > 2*(10+1) {
		t.Errorf("%d lines in 10 s of two kinds, at most one a second wanted", lines)
	}
	var reports []LeavingReport
	for i := range 2 * maxRecords {
		reports = append(reports, LeavingReport{Upstream: ident.Instance(fmt.Sprint("x", i))})
	}
	f.Merge(Reports{Leaving: reports}, f.now)
	if len(f.records) > maxRecords {
		t.Errorf("%d upstreams are kept", len(f.records))
	}
	if c := f.Counters(); c.Pauses != 1000 || c.Unreadable != 1000 {
		t.Errorf("counted %+v", c)
	}
}

// Statements, reports, listings and time in any order: an upstream must count as leaving from the
// moment at which this gateway was told until it was unlisted for long or was forgotten, and never
// without having been told.
func TestLeavingFollowsTheNewestIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		ids := []ident.Instance{"u0/a", "u0/b", "u1"}
		// toldAt says of the upstreams that leave when they were last listed, or when this gateway
		// was told if they were not.
		toldAt := make(map[ident.Instance]time.Time)
		tell := func(id ident.Instance) {
			if _, known := toldAt[id]; !known {
				toldAt[id] = f.now
			}
		}
		f.list(ids...)
		for range 60 {
			id := rapid.SampledFrom(ids).Draw(t, "upstream")
			switch rapid.SampledFrom([]string{"says", "is silent", "report", "unlisted", "listed", "forgotten", "pass"}).Draw(t, "step") {
			case "says":
				f.Record(id, "r", Statement{Leaving: true})
				tell(id)
			case "is silent":
				f.Record(id, "r", Statement{})
			case "report":
				f.Merge(Reports{Leaving: []LeavingReport{{Upstream: id}}}, f.now)
				if f.forgottenAt[id] != f.now {
					tell(id)
				}
			case "unlisted":
				delete(f.listed, id)
			case "listed":
				f.listed[id] = true
				f.updateListed()
			case "forgotten":
				f.Forget(id)
				delete(toldAt, id)
			case "pass":
				f.pass(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			}
			for _, id := range ids {
				at, told := toldAt[id]
				switch {
				case told && f.listed[id]:
					toldAt[id] = f.now
				case told && f.now.Sub(at) > upstreamlimit.UnlistedRetention:
					delete(toldAt, id)
					told = false
				}
				if f.Leaving(id) != told {
					t.Fatalf("%s: leaving %t, was told %t", id, f.Leaving(id), told)
				}
			}
		}
	})
}

// Guards against a pause that ends early because a shorter one, or an answer from before it, arrives
// late, and against one that never ends.
func TestTheLatestEndOfPausesCounts(t *testing.T) {
	f := newFixture()
	f.list("u1", "u2")
	sentBefore := f.now
	f.Record("u1", "r1", Statement{Pause: 3 * time.Second})
	end := f.now.Add(3 * time.Second)
	for _, step := range []func(){
		func() {},
		func() { f.Record("u1", "r2", Statement{Pause: time.Second}) },
		func() { f.Record("u1", "r3", Statement{}) },
		func() { f.Served("u1", sentBefore) },
		func() { f.Record("u1", "r4", Statement{Problem: "x"}) },
	} {
		f.now = f.now.Add(100 * time.Millisecond)
		step()
		if pause, has := f.Pause("u1"); !has || !pause.Until.Equal(end) || f.Accepts("u1") || !f.Accepts("u2") {
			t.Fatalf("the pause is %+v, want its end at %v", pause, end)
		}
	}
	f.Record("u1", "r5", Statement{Pause: 4 * time.Second})
	end = f.now.Add(4 * time.Second)
	f.now = end.Add(-time.Millisecond)
	if f.Accepts("u1") {
		t.Error("requests are sent before the end")
	}
	f.now = end
	if !f.Accepts("u1") {
		t.Error("no requests are sent after the end")
	}
	if c := f.Counters(); c.Pauses != 3 {
		t.Errorf("%d pauses counted, want 3", c.Pauses)
	}
}

// Guards against a pause of a day that an upstream asks for by mistake.
func TestPausesAreBounded(t *testing.T) {
	f := newFixture()
	f.list("u1")
	f.Record("u1", "r1", Statement{Pause: 1 << 62})
	f.pass(10*time.Minute - time.Second)
	if f.Accepts("u1") {
		t.Error("requests are sent within the longest pause")
	}
	f.pass(time.Second)
	if !f.Accepts("u1") {
		t.Error("a pause is longer than the longest")
	}
}

// Guards against all load that comes back at once after a pause, and against a pause that binds for
// good.
func TestTheWindowGrowsAsTheUpstreamServes(t *testing.T) {
	f := newFixture()
	f.list("u1")
	f.Record("u1", "r1", Statement{Pause: time.Second})
	f.pass(time.Second)
	for _, want := range []int{1, 2, 4, 8, 16, 32} {
		if pause, has := f.Pause("u1"); !has || pause.Window != want {
			t.Fatalf("the window is %d, want %d", pause.Window, want)
		}
		f.Served("u1", f.now)
	}
	if _, has := f.Pause("u1"); has || f.AnyPause() || f.Counters().Resumed != 1 {
		t.Error("the pause binds though the upstream has served many requests")
	}
	f.Record("u1", "r2", Statement{Pause: time.Second})
	f.pass(pauseRetention + 2*time.Second)
	if f.AnyPause() || len(f.records) != 0 {
		t.Error("the pause of an upstream without requests is kept for good")
	}
}

// Guards against retries that are used up by an upstream that asks for a short pause again and again.
func TestTheBackoffGrowsWithPausesThatFollowEachOther(t *testing.T) {
	f := newFixture()
	f.list("u1")
	const asked = 100 * time.Millisecond
	last := time.Duration(0)
	for range 8 {
		f.Record("u1", "r", Statement{Pause: asked})
		pause, _ := f.Pause("u1")
		if pause.Backoff < last || pause.Backoff > maxBackoff || pause.Backoff+asked < minPauseAndBackoff {
			t.Errorf("the backoff is %v after %v", pause.Backoff, last)
		}
		last = pause.Backoff
		f.now = pause.Until
	}
	if last != maxBackoff {
		t.Errorf("the backoff is %v after eight pauses, want %v", last, maxBackoff)
	}
	f.Served("u1", f.now)
	f.Record("u1", "r", Statement{Pause: 2 * time.Second})
	if pause, _ := f.Pause("u1"); pause.Backoff != 0 {
		t.Errorf("the backoff is %v after the upstream has served", pause.Backoff)
	}
}

// Any sequence of pauses, answers and time: nothing may be sent before the latest end that was asked
// for, and something must be accepted after it.
func TestNothingIsSentBeforeTheLatestEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.list("u1")
		var end time.Time
		for range 60 {
			switch rapid.SampledFrom([]string{"pause", "served", "pass", "leaving report"}).Draw(t, "step") {
			case "pause":
				asked := time.Duration(rapid.Int64Range(1, int64(20*time.Second)).Draw(t, "asked"))
				f.Record("u1", "r", Statement{Pause: asked})
				if until := f.now.Add(asked); until.After(end) {
					end = until
				}
			case "served":
				f.Served("u1", f.now.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "sent ago"))*time.Second))
			case "pass":
				f.pass(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
			case "leaving report":
				f.Merge(Reports{Leaving: []LeavingReport{{Upstream: "u2"}}}, f.now)
			}
			if f.Accepts("u1") == f.now.Before(end) {
				t.Fatalf("accepts requests: %t, the latest pause ends in %v", f.Accepts("u1"), end.Sub(f.now))
			}
			if n := len(f.RetainedPauses()); f.AnyPause() != (n > 0) || int(f.pauses.Load()) != n {
				t.Fatalf("%d pauses are counted, %d retained", f.pauses.Load(), n)
			}
		}
	})
}
