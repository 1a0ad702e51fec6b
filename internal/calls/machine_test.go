package calls

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() {
	testkit.FixSeed()
	// Most combinations of faults need several steps.
	_ = flag.Set("rapid.steps", "60")
}

// request is a request of one caller under a key, with all its attempts.
type request struct {
	key      ident.CallKey
	payload  string
	issuedAt time.Time
	attempts uint32

	mu      sync.Mutex
	replies []reply
}

// machine sends requests to gateways while things fail, and checks what callers were
// told against what upstreams ran.
type machine struct {
	cluster  *cluster
	requests []*request
	pending  sync.WaitGroup
	// stateLost reports that a gateway ended before it had written everything
	// to the journal or to peers.
	stateLost atomic.Bool
}

func newMachine(trust document.UpstreamSpec) *machine {
	m := &machine{cluster: newCluster(trust)}
	m.cluster.newGateway("hall-a")
	m.cluster.newGateway("hall-a")
	m.cluster.newGateway("hall-b")
	return m
}

// newRequest returns a request with a new key. If reuse is true, it has the key of
// the last request instead.
func (m *machine) newRequest(reuse bool) *request {
	r := &request{
		key:      ident.CallKey{Service: service, Account: account, Key: ident.Key(fmt.Sprintf("bid-%d", len(m.requests)))},
		payload:  fmt.Sprintf("lot %d", len(m.requests)),
		issuedAt: time.Now(),
	}
	if reuse && len(m.requests) > 0 {
		r.key = m.requests[len(m.requests)-1].key
	}
	m.requests = append(m.requests, r)
	return r
}

// send sends the next attempt of a request to a gateway and does not wait for the
// answer. patience is the caller's timeout.
func (m *machine) send(g *gateway, r *request, patience time.Duration) {
	r.attempts++
	call := Call{
		Key:      r.key,
		Method:   confirm,
		Payload:  []byte(r.payload),
		IssuedAt: r.issuedAt,
		Attempt:  r.attempts,
	}
	m.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		o := g.calls.Do(ctx, call)
		if g.checkpoint() != nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.replies = append(r.replies, reply{attempt: call.Attempt, outcome: o})
	})
	synctest.Wait()
}

// askByKey asks a gateway for the outcome of a request's key and does not wait for
// the answer.
func (m *machine) askByKey(g *gateway, r *request) {
	attempts := r.attempts
	m.pending.Go(func() {
		o := g.calls.Find(context.Background(), r.key)
		if g.checkpoint() != nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.replies = append(r.replies, reply{attempt: attempts, outcome: o, byKey: true})
	})
	synctest.Wait()
}

// attemptOf returns the attempt of the request that produced an upstream's reply, or
// 0 if none did.
func (r *request) attemptOf(reply string) uint32 {
	for n := uint32(1); n <= r.attempts; n++ {
		if string(answer.Reply(confirm, upstreamPayload([]byte(r.payload), n))) == reply {
			return n
		}
	}
	return 0
}

// check checks that each call ran at most once, and what callers were told against
// what upstreams ran.
func (m *machine) check(t rapidOrTest) {
	for _, r := range m.requests {
		count, replies := m.cluster.effects(r.key)
		if count > 1 {
			t.Fatalf("%s ran %d times%s", r.key, count, m.cluster.history(r.key))
		}
		var ran uint32
		if count == 1 {
			ran = r.attemptOf(replies[0])
		}
		for _, got := range r.allReplies() {
			checkReply(t, r, got, ran, replies)
		}
	}
}

// checkReply checks one reply. ran is the attempt that upstreams ran, or 0; replies
// holds the answers of the upstreams.
func checkReply(t rapidOrTest, r *request, got reply, ran uint32, replies []string) {
	switch got.outcome.Kind {
	case outcome.NotRun:
		if ran != 0 && ran <= got.attempt {
			t.Fatalf("%s: attempt %d was told not_run (%s), but attempt %d ran", r.key, got.attempt, got.outcome.Reason, ran)
		}
	case outcome.Completed, outcome.Failed:
		own := got.byKey || ran != 0
		if !own || !slices.Contains(replies, string(got.outcome.Payload)) {
			t.Fatalf("%s: attempt %d was told %q, upstreams ran %q", r.key, got.attempt, got.outcome.Payload, replies)
		}
	}
}

// rapidOrTest is the common part of *rapid.T and *testing.T that checks use.
type rapidOrTest interface {
	Fatalf(format string, args ...any)
}

// healAndCheck ends all faults, starts new gateways and sends each request again.
// Then the last outcome must be final wherever that is guaranteed.
func (m *machine) healAndCheck(t rapidOrTest) {
	m.cluster.heal()
	time.Sleep(30 * time.Second)
	synctest.Wait()
	m.check(t)
	for _, domain := range []ident.FailureDomain{"hall-a", "hall-b"} {
		m.cluster.newGateway(domain)
	}
	time.Sleep(10 * time.Second)
	for _, r := range m.requests {
		if time.Since(r.issuedAt) < 50*time.Minute {
			m.checkEndsFinal(t, r)
		}
	}
	m.check(t)
}

// checkEndsFinal sends a request until its outcome is final, four times at most. The
// outcome must end as final unless the key belongs to another request. It may also
// stay unknown if the upstreams cannot settle it and either one of them may have
// run the call or a gateway lost its state.
func (m *machine) checkEndsFinal(t rapidOrTest, r *request) {
	live := m.cluster.live()
	last := live[len(live)-1]
	for range 4 {
		m.send(last, r, 10*time.Second)
		m.pending.Wait()
		if o := r.lastOutcome(); o.Kind.Final() || o.Reason == outcome.ReasonKeyReused {
			break
		}
		time.Sleep(3 * time.Second)
	}
	got := r.lastOutcome()
	if got.Kind.Final() {
		m.checkAgreed(t, r, live)
		return
	}
	c := m.cluster
	settles := c.trust.FindsOutcomes && c.trust.ChecksFencing && !c.upstreamReplaced
	neverRun := !m.stateLost.Load() && c.possiblyRun[r.key] == 0
	if got.Reason != outcome.ReasonKeyReused && (settles || neverRun) {
		t.Fatalf("%s: ends as %s (%s: %s); settles: %t, never run by an upstream and no gateway lost its state: %t%s",
			r.key, got.Kind, got.Reason, got.Message, settles, neverRun, c.history(r.key))
	}
}

// checkAgreed checks that every gateway returns the outcome that r was told last.
func (m *machine) checkAgreed(t rapidOrTest, r *request, live []*gateway) {
	want := r.lastOutcome()
	time.Sleep(time.Second)
	for _, g := range live {
		o := g.calls.Find(context.Background(), r.key)
		if o.Kind != want.Kind || string(o.Payload) != string(want.Payload) {
			t.Fatalf("%s: %s returns %s %q, a caller was told %s %q", r.key, g.id, o.Kind, o.Payload, want.Kind, want.Payload)
		}
	}
}

func (r *request) allReplies() []reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.replies)
}

func (r *request) lastOutcome() outcome.Outcome {
	all := r.allReplies()
	if len(all) == 0 {
		return outcome.Outcome{}
	}
	return all[len(all)-1].outcome
}

func (m *machine) close() {
	m.cluster.heal()
	m.pending.Wait()
	m.cluster.close()
}

// inBubble hides the test's deadline from rapid, because it must not be read in
// virtual time.
type inBubble struct{ rapid.TB }

// TestAtMostOnceMachine sends calls, and further attempts of them, to several gateways
// while the log, the network, the gateways and the upstreams fail. It guards against a
// call that runs twice, a caller that is told something else than what the upstreams
// ran, and an outcome that does not become final after the faults have ended.
func TestAtMostOnceMachine(t *testing.T) {
	kinds := map[string]document.UpstreamSpec{
		"upstreams that know nothing":             {},
		"upstreams that find outcomes":            {FindsOutcomes: true},
		"upstreams that find and check fencing":   {FindsOutcomes: true, ChecksFencing: true},
		"upstreams that check fencing but forget": {ChecksFencing: true},
	}
	for name, trust := range kinds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				outcomes := map[outcome.Kind]int{}
				rapid.Check(inBubble{t}, func(t *rapid.T) { runMachine(t, trust, outcomes) })
				t.Logf("outcomes that callers were told: %v", outcomes)
			})
		})
	}
}

func runMachine(t *rapid.T, trust document.UpstreamSpec, outcomes map[outcome.Kind]int) {
	m := newMachine(trust)
	defer m.close()
	faults := m.faults()
	names := slices.Sorted(maps.Keys(faults))
	patience := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 5 * time.Second})
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) { m.check(t) },
		"new call": func(t *rapid.T) {
			r := m.newRequest(rapid.IntRange(0, 9).Draw(t, "reuse") == 0)
			m.send(m.anyGateway(t), r, patience.Draw(t, "patience"))
		},
		"repeat": func(t *rapid.T) {
			if len(m.requests) == 0 {
				t.Skip()
			}
			r := m.requests[rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")]
			m.send(m.anyGateway(t), r, patience.Draw(t, "patience"))
		},
		"repeat the last": func(t *rapid.T) {
			if len(m.requests) == 0 {
				t.Skip()
			}
			m.send(m.anyGateway(t), m.requests[len(m.requests)-1], patience.Draw(t, "patience"))
		},
		"ask by key": func(t *rapid.T) {
			if len(m.requests) == 0 {
				t.Skip()
			}
			r := m.requests[rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")]
			g := m.anyGateway(t)
			m.askByKey(g, r)
		},
		"time passes": func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{1, 30, 300, 3000, 12000}).Draw(t, "ms")
			time.Sleep(time.Duration(ms) * time.Millisecond)
		},
		"fault":         func(t *rapid.T) { faults[rapid.SampledFrom(names).Draw(t, "fault")](t) },
		"another fault": func(t *rapid.T) { faults[rapid.SampledFrom(names).Draw(t, "fault")](t) },
	})
	m.healAndCheck(t)
	for _, r := range m.requests {
		for _, one := range r.replies {
			outcomes[one.outcome.Kind]++
		}
	}
}

func (m *machine) anyGateway(t *rapid.T) *gateway {
	live := m.cluster.live()
	return live[rapid.IntRange(0, len(live)-1).Draw(t, "live gateway")]
}

func (m *machine) anyUpstream(t *rapid.T) *server {
	return m.cluster.upstreams[rapid.IntRange(0, 1).Draw(t, "upstream")]
}

// faults returns the ways in which things fail and recover, by name.
func (m *machine) faults() map[string]func(*rapid.T) {
	on := rapid.IntRange(0, 2)
	delays := rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 4 * time.Second})
	lates := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 3 * time.Second, 20 * time.Second})
	losses := rapid.SampledFrom([]fault.Loss{fault.None, fault.BeforeEffect, fault.AfterEffect, fault.Late})
	failures := rapid.SampledFrom([]plain.Failure{plain.LostBeforeEffect, plain.LostAfterEffect, plain.ApplicationError})
	notices := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 20 * time.Second})
	return map[string]func(*rapid.T){
		"lose appends": func(t *rapid.T) {
			m.cluster.log.SetLateness(lates.Draw(t, "late"))
			m.cluster.log.LoseNext(rapid.SliceOfN(losses, 1, 4).Draw(t, "losses")...)
		},
		"log down":          func(t *rapid.T) { m.cluster.log.SetOutage(on.Draw(t, "on") == 1) },
		"log slow":          func(t *rapid.T) { m.cluster.log.SetDelay(delays.Draw(t, "delay")) },
		"cut from platform": func(t *rapid.T) { m.anyGateway(t).cutOff.Store(on.Draw(t, "on") == 1) },
		"split domains": func(t *rapid.T) {
			split := on.Draw(t, "on") == 1
			m.cluster.locked(func() { m.cluster.split = split })
		},
		"freeze":             func(t *rapid.T) { m.anyGateway(t).freeze() },
		"freeze at dispatch": func(t *rapid.T) { m.anyGateway(t).freezeAtDispatch.Store(true) },
		"thaw":               func(t *rapid.T) { m.anyGateway(t).unfreeze() },
		"kill": func(t *rapid.T) {
			g := m.anyGateway(t)
			m.stateLost.Store(true)
			g.kill()
			m.cluster.newGateway(g.domain)
		},
		"reclaim": func(t *rapid.T) {
			g := m.anyGateway(t)
			lose := on.Draw(t, "lose answer") == 1
			m.cluster.locked(func() { m.cluster.loseHandOverAnswers = lose })
			m.reclaim(g, notices.Draw(t, "notice"))
			m.cluster.newGateway(g.domain)
		},
		"reclaim while calls wait for the log": func(t *rapid.T) {
			g := m.anyGateway(t)
			lose := on.Draw(t, "lose answer") == 1
			m.cluster.locked(func() { m.cluster.loseHandOverAnswers = lose })
			m.cluster.log.SetDelay(delays.Draw(t, "delay"))
			m.send(g, m.newRequest(false), 5*time.Second)
			m.reclaim(g, notices.Draw(t, "notice"))
			m.cluster.newGateway(g.domain)
		},
		"upstream fails": func(t *rapid.T) { m.anyUpstream(t).current().FailNext(failures.Draw(t, "failure")) },
		"upstream slow": func(t *rapid.T) {
			s := m.anyUpstream(t)
			s.current().SetDelays(plain.Delays{BeforeEffect: delays.Draw(t, "before"), AfterEffect: delays.Draw(t, "after")})
		},
		"upstream leaves": func(t *rapid.T) { m.anyUpstream(t).current().SetLeaving(on.Draw(t, "leaving") == 1) },
		"upstream is replaced": func(t *rapid.T) {
			s := m.anyUpstream(t)
			m.cluster.locked(func() {
				m.cluster.upstreamReplaced = true
				s.start()
			})
		},
		"call arrives late": func(t *rapid.T) {
			late := lates.Draw(t, "late")
			m.cluster.locked(func() { m.cluster.arrivalDelays = append(m.cluster.arrivalDelays, late) })
		},
	}
}

// reclaim tells a gateway to leave, and kills it when it has stopped or notice is
// over.
func (m *machine) reclaim(g *gateway, notice time.Duration) {
	g.leaving.Store(true)
	m.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), notice)
		defer cancel()
		if err := g.calls.Stop(ctx); err != nil {
			m.stateLost.Store(true)
		}
		g.kill()
	})
	synctest.Wait()
}
