package calls

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
)

// The kinds of upstreams.
var (
	trustNothing      = document.UpstreamSpec{}
	trustFind         = document.UpstreamSpec{FindsOutcomes: true}
	trustFindAndFence = document.UpstreamSpec{FindsOutcomes: true, ChecksFencing: true}
)

// longPatience is how long callers wait where their patience does not matter.
const longPatience = 30 * time.Second

// inWorld runs a case in virtual time. Gateways 0 and 1 are in hall-a, 2 is in
// hall-b; upstreams 0 and 1 are in hall-a and hall-b.
func inWorld(t *testing.T, trust document.UpstreamSpec, run func(t *testing.T, m *machine, g []*gateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(trust)
		defer m.close()
		run(t, m, m.w.gateways)
		m.check(t)
	})
}

// do sends the next attempt and waits for its answer.
func (m *machine) do(g *gateway, r *request) outcome.Outcome {
	m.send(g, r, longPatience)
	time.Sleep(longPatience)
	return r.last()
}

func wantKind(t *testing.T, what string, got outcome.Outcome, want outcome.Kind) {
	t.Helper()
	if got.Kind != want {
		t.Fatalf("%s: heard %s (%s: %s), want %s", what, got.Kind, got.Reason, got.Message, want)
	}
}

func (m *machine) setLeaving(leaving bool) {
	for _, s := range m.w.upstreams {
		s.current().SetLeaving(leaving)
	}
}

// Symptom: a caller hears not_run of its second attempt, and the first one runs.
// Sequence: the gateway of attempt 1 freezes before it appends its claim;
// attempt 2 owns the key elsewhere and no upstream takes it; the first gateway
// wakes, claims the open key and dispatches.
// Cause: not_run of a repeat must also rule out the attempts before it, so
// claims of earlier attempts are void once a later one has owned the key.
func TestEarlierAttemptWakesAfterNotRun(t *testing.T) {
	inWorld(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		m.setLeaving(true)
		g[0].freeze()
		r := m.newRequest(false)
		m.send(g[0], r, longPatience)
		m.send(g[2], r, longPatience)
		time.Sleep(time.Second)
		wantKind(t, "attempt 2", r.last(), outcome.NotRun)
		m.setLeaving(false)
		g[0].unfreeze()
		time.Sleep(longPatience)
		wantKind(t, "attempt 1", r.last(), outcome.Unknown)
		wantKind(t, "attempt 3", m.do(g[1], r), outcome.Completed)
	})
}

// Symptom: a key that never ran ends as unknown for ever.
// Sequence: the answer to an append is lost and the record lands late; the
// claim is appended again, wins, and the upstreams refuse the call; then the
// first copy of the record lands.
// Cause: a second copy of a claim that has ended must not own the key again.
func TestSecondCopyOfAnEndedClaim(t *testing.T) {
	inWorld(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		m.setLeaving(true)
		m.w.log.SetLateness(10 * time.Second)
		m.w.log.LoseNext(fault.Late)
		r := m.newRequest(false)
		wantKind(t, "attempt 1", m.do(g[0], r), outcome.NotRun)
		m.setLeaving(false)
		wantKind(t, "attempt 2", m.do(g[2], r), outcome.Completed)
	})
}

// Symptom: a caller hears not_run, and its key is blocked ever after.
// Sequence: the answer to an append is lost and the record lands late; the log
// refuses the second try; the gateway takes that for the last word.
// Cause: a refusal only speaks for its own try.
func TestOutageAfterALostAppend(t *testing.T) {
	inWorld(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		m.w.log.SetLateness(2 * time.Second)
		m.w.log.LoseNext(fault.Late)
		r := m.newRequest(false)
		m.send(g[0], r, longPatience)
		m.w.log.SetOutage(true)
		time.Sleep(3 * time.Second)
		m.w.log.SetOutage(false)
		time.Sleep(longPatience)
		wantKind(t, "attempt 1", r.last(), outcome.Completed)
	})
}

// Symptom: a call runs at two upstreams.
// Sequence: a call is still on its way when its gateway hears that the
// connection broke; another gateway asks the upstream, which knows nothing,
// and takes the claim over; the call arrives and runs; the second question,
// with the fence, finds it running.
// Cause: only an upstream that has not seen the call and has seen the higher
// fence proves that it never runs.
func TestCallArrivesDuringTheTakeOver(t *testing.T) {
	inWorld(t, trustFindAndFence, func(t *testing.T, m *machine, g []*gateway) {
		m.w.arrivalDelays = []time.Duration{4500 * time.Millisecond}
		for _, s := range m.w.upstreams {
			s.current().SetDelays(plain.Delays{BeforeEffect: 5 * time.Second})
		}
		r := m.newRequest(false)
		m.send(g[0], r, longPatience)
		time.Sleep(4 * time.Second)
		m.w.log.SetDelay(time.Second)
		m.send(g[2], r, longPatience)
		time.Sleep(2 * time.Second)
		wantKind(t, "attempt 2", r.last(), outcome.InProgress)
		m.w.log.SetDelay(0)
		time.Sleep(longPatience)
		wantKind(t, "attempt 3", m.do(g[1], r), outcome.Completed)
	})
}

// Symptom: a call runs twice after a gateway was frozen.
// Sequence: a gateway freezes between winning its claim and sending the call;
// a repeat elsewhere settles the claim and runs; the gateway wakes and sends.
// Cause: no check of the gateway protects what it does next; the fence that the
// upstream checks does, and without one nobody may take over.
func TestGatewayFreezesBeforeItSends(t *testing.T) {
	cases := []struct {
		name  string
		trust document.UpstreamSpec
		// second is what attempt 2 hears while the first gateway is frozen.
		second outcome.Kind
		third  outcome.Kind
		// alone: there is no other upstream.
		alone bool
	}{
		{"upstreams that know nothing: the outcome stays unknown", trustNothing, outcome.Unknown, outcome.Unknown, false},
		{"upstreams that find outcomes: nobody takes over", trustFind, outcome.Unknown, outcome.Completed, false},
		{"upstreams that check fencing: settled and run", trustFindAndFence, outcome.Completed, outcome.Completed, false},
		{"one upstream that checks fencing: settled and run there", trustFindAndFence, outcome.Completed, outcome.Completed, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, c.trust, func(t *testing.T, m *machine, g []*gateway) {
				m.w.upstreams[0].current().SetLeaving(c.alone)
				g[0].freezeAtDispatch.Store(true)
				r := m.newRequest(false)
				m.send(g[0], r, longPatience)
				time.Sleep(10 * time.Second)
				wantKind(t, "attempt 2", m.do(g[2], r), c.second)
				g[0].unfreeze()
				time.Sleep(longPatience)
				wantKind(t, "attempt 3", m.do(g[1], r), c.third)
			})
		})
	}
}

// Symptom: a call runs twice.
// Sequence: a gateway freezes before it sends; another one takes the claim over
// to settle it and gives up before it has asked the upstream; the key is
// claimed a third time and runs elsewhere; the first gateway wakes and sends.
// Cause: ending a claim that settles another one does not end the other one.
func TestTakeOverIsGivenUp(t *testing.T) {
	inWorld(t, trustFindAndFence, func(t *testing.T, m *machine, g []*gateway) {
		g[0].freezeAtDispatch.Store(true)
		r := m.newRequest(false)
		m.send(g[0], r, longPatience)
		time.Sleep(10 * time.Second)
		m.w.log.SetDelay(time.Second)
		m.send(g[2], r, 900*time.Millisecond)
		time.Sleep(10 * time.Second)
		m.w.log.SetDelay(0)
		// The upstream of attempt 1: attempt 3 must go to the other one.
		m.w.upstreams[1].current().SetLeaving(true)
		m.send(g[1], r, longPatience)
		time.Sleep(longPatience)
		m.w.upstreams[1].current().SetLeaving(false)
		g[0].unfreeze()
		time.Sleep(longPatience)
		wantKind(t, "attempt 4", m.do(g[1], r), outcome.Completed)
	})
}

// Symptom: a repeat hours later runs the call a second time.
// Sequence: the log forgets records sooner than the window of keys, or while a
// gateway is cut off; a gateway that has not read them serves a repeat.
// Cause: a gateway only serves keys issued after the first record it has read
// whole, with a margin for the callers' clocks.
func TestRepeatAfterItsRecordsExpired(t *testing.T) {
	expireAll := func(w *world, r *request) {
		stream := journal.Stream(journal.Partition(r.key))
		batch, _ := w.log.Read(context.Background(), stream, 0, 1, 0)
		w.log.Expire(stream, batch.Head)
	}
	t.Run("a fresh gateway", func(t *testing.T) {
		inWorld(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
			r := m.newRequest(false)
			wantKind(t, "attempt 1", m.do(g[0], r), outcome.Completed)
			expireAll(m.w, r)
			for _, old := range g {
				old.kill()
			}
			fresh := m.w.newGateway("hall-a")
			time.Sleep(10 * time.Minute)
			wantKind(t, "attempt 2", m.do(fresh, r), outcome.Unknown)
			time.Sleep(journal.Window)
			wantKind(t, "a new call", m.do(fresh, m.newRequest(false)), outcome.Completed)
		})
	})
	t.Run("a gateway that was cut off", func(t *testing.T) {
		inWorld(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
			g[2].cutOff.Store(true)
			m.w.split = true
			time.Sleep(time.Minute)
			r := m.newRequest(false)
			wantKind(t, "attempt 1", m.do(g[0], r), outcome.Completed)
			expireAll(m.w, r)
			g[0].kill()
			g[1].kill()
			m.w.newGateway("hall-a")
			g[2].cutOff.Store(false)
			m.w.split = false
			time.Sleep(10 * time.Minute)
			wantKind(t, "attempt 2", m.do(g[2], r), outcome.Unknown)
		})
	})
	t.Run("after the window", func(t *testing.T) {
		inWorld(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
			r := m.newRequest(false)
			wantKind(t, "attempt 1", m.do(g[0], r), outcome.Completed)
			time.Sleep(journal.Window + time.Hour)
			m.do(g[0], m.newRequest(false))
			wantKind(t, "attempt 2", m.do(g[1], r), outcome.Unknown)
			other := m.newRequest(false)
			other.key = r.key
			m.requests = []*request{other}
			wantKind(t, "another request under the key", m.do(g[0], other), outcome.Completed)
			wantKind(t, "attempt 3", m.do(g[0], r), outcome.Unknown)
			m.requests = nil
		})
	})
}

// Symptom: a request under a used key reads another request's answer, or runs.
// Sequence: two requests of one client account share a key.
// Cause: a key belongs to the digest of the request that claimed it first.
func TestKeyOfAnotherRequest(t *testing.T) {
	inWorld(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		first := m.newRequest(false)
		wantKind(t, "first request", m.do(g[0], first), outcome.Completed)
		second := m.newRequest(true)
		heard := m.do(g[2], second)
		if heard.Reason != outcome.ReasonKeyReused || heard.Payload != nil {
			t.Fatalf("heard %s (%s) with %q", heard.Kind, heard.Reason, heard.Payload)
		}
	})
}

// Symptom: callers wait in silence while the log is down.
// Sequence: the log is down, hangs, or has not been read yet.
// Cause: what cannot be claimed must be refused at once; as not run only when
// no earlier attempt exists.
func TestRefusedAtOnceWithoutTheLog(t *testing.T) {
	cases := []struct {
		name string
		fail func(*world)
		// since is how long ago that was.
		since time.Duration
	}{
		{"the log is down", func(w *world) { w.log.SetOutage(true) }, 5 * time.Second},
		{"the log hangs", func(w *world) { w.log.SetDelay(time.Hour) }, 5 * time.Second},
		{"an append hangs", func(w *world) { w.log.SetDelay(time.Hour) }, 1500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
				c.fail(m.w)
				m.send(g[0], m.newRequest(false), longPatience)
				time.Sleep(c.since)
				r := m.newRequest(false)
				for attempt, want := range []outcome.Kind{outcome.NotRun, outcome.Unknown} {
					before := time.Now()
					m.send(g[0], r, longPatience)
					m.pending.Wait()
					wantKind(t, c.name, r.last(), want)
					if waited := time.Since(before); waited > time.Second || r.last().RetryAfter == 0 {
						t.Fatalf("attempt %d waited %s, retry after %s", attempt+1, waited, r.last().RetryAfter)
					}
				}
			})
		})
	}
}

// Symptom: a repeat runs the call a second time.
// Sequence: a log skips expired records without saying so.
// Cause: a gap in the offsets must be taken for what it is.
func TestSkippedRecordsAreNoticed(t *testing.T) {
	p := New(Config{Health: blackboard.NewSection(blackboard.JournalHealth{})}).partitions[0]
	now := time.Now()
	mark, _ := journal.Encode(journal.Mark{})
	p.applyBatch(platform.Batch{Records: []platform.Record{{Offset: 3, Data: mark, AppendedAt: now}}, Head: 4, First: 3})
	if p.completeFor(now) {
		t.Fatal("a key is certain though records were skipped")
	}
	if !p.completeFor(now.Add(journal.Window + 3*journal.MaxSkew)) {
		t.Fatal("a key issued later is not certain")
	}
}
