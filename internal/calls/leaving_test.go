package calls

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
)

// TestHolderDiesInTheMiddleOfTheHandOver guards against a call that a peer has
// accepted and that never runs. A claim is in the log, but the answer of its append
// is lost and its gateway is cut off from the log. The gateway's reclaim is
// announced and a peer accepts the call. The gateway dies before it can journal
// the release. Only the record of the release opens the key, so the peer must
// write it too; the hand-over proves that it may.
func TestHolderDiesInTheMiddleOfTheHandOver(t *testing.T) {
	runCase(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		m.cluster.log.SetLateness(50 * time.Millisecond)
		m.cluster.log.LoseNext(fault.Late)
		r := m.newRequest(false)
		m.send(g[0], r, longPatience)
		g[0].cutOff.Store(true)
		m.cluster.log.SetDelay(200 * time.Millisecond)
		m.reclaim(g[0], longPatience)
		g[0].kill()
		time.Sleep(longPatience)
		if count, _ := m.cluster.effects(r.key); count != 1 {
			t.Fatalf("the call ran %d times, want once, by the peer%s", count, m.cluster.history(r.key))
		}
		wantKind(t, "attempt 2", m.do(g[2], r), outcome.Completed)
	})
}

// TestOutcomeOutlivesItsGateway guards against a caller whose call ran and who is
// told unknown for ever. A call completes while the log is down, and its gateway
// dies before it can journal the outcome. The outcome must be sent to peers at
// once, and they must journal it when the gateway no longer can.
func TestOutcomeOutlivesItsGateway(t *testing.T) {
	runCase(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		m.cluster.upstreams[0].current().SetDelays(plain.Delays{AfterEffect: time.Second})
		m.cluster.upstreams[1].current().SetDelays(plain.Delays{AfterEffect: time.Second})
		r := m.newRequest(false)
		m.send(g[0], r, longPatience)
		m.cluster.log.SetOutage(true)
		time.Sleep(2 * time.Second)
		wantKind(t, "attempt 1", r.lastOutcome(), outcome.Completed)
		g[0].kill()
		wantKind(t, "a question in the other failure domain", g[2].calls.Find(context.Background(), r.key), outcome.Completed)
		m.cluster.log.SetOutage(false)
		time.Sleep(longPatience)
		g[1].kill()
		g[2].kill()
		fresh := m.cluster.newGateway("hall-b")
		time.Sleep(10 * time.Second)
		wantKind(t, "a question at a fresh gateway", fresh.calls.Find(context.Background(), r.key), outcome.Completed)
	})
}

// TestStopLosesNothing guards against a planned stop that cuts callers off. A gateway
// stops while a call runs or waits for the log, and its process ends as soon as
// Stop has returned. Stop must hand over waiting calls, wait for running ones even
// when their callers have gone, and return only when the journal has all records.
func TestStopLosesNothing(t *testing.T) {
	slow := plain.Delays{AfterEffect: 2 * time.Second}
	stop := func(m *machine, g *gateway) {
		m.reclaim(g, longPatience)
		m.pending.Wait()
	}
	t.Run("a call that runs, at the last gateway", func(t *testing.T) {
		runCase(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
			m.cluster.upstreams[0].current().SetDelays(slow)
			m.cluster.upstreams[1].current().SetDelays(slow)
			g[1].kill()
			g[2].kill()
			r := m.newRequest(false)
			m.send(g[0], r, time.Second)
			time.Sleep(1500 * time.Millisecond)
			m.cluster.log.SetDelay(time.Second)
			stop(m, g[0])
			m.cluster.log.SetDelay(0)
			fresh := m.cluster.newGateway("hall-b")
			time.Sleep(10 * time.Second)
			wantKind(t, "a question by key", fresh.calls.Find(context.Background(), r.key), outcome.Completed)
		})
	})
	t.Run("a call that waits, with peers", func(t *testing.T) {
		runCase(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
			m.cluster.log.SetDelay(700 * time.Millisecond)
			r := m.newRequest(false)
			m.send(g[0], r, longPatience)
			stop(m, g[0])
			wantKind(t, "attempt 1", r.lastOutcome(), outcome.InProgress)
			time.Sleep(longPatience)
			wantKind(t, "a question by key", g[1].calls.Find(context.Background(), r.key), outcome.Completed)
		})
	})
}

// TestHandOverOfLargeRequests guards against callers that are told for an hour that
// another gateway runs their calls, while none does. A gateway leaves while calls
// with large requests wait for the log. All of them in one message would exceed
// the size that a peer accepts.
func TestHandOverOfLargeRequests(t *testing.T) {
	runCase(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		m.cluster.log.SetDelay(700 * time.Millisecond)
		payload := strings.Repeat("x", 1<<20)
		for range 12 {
			r := m.newRequest(false)
			r.payload = payload
			m.send(g[0], r, longPatience)
		}
		m.reclaim(g[0], longPatience)
		time.Sleep(longPatience)
		for _, r := range m.requests {
			wantKind(t, "a question by key", g[1].calls.Find(context.Background(), r.key), outcome.Completed)
		}
	})
}

// TestCallAdmittedJustBeforeTheStop guards against a planned stop that cuts a call
// off. The call was admitted before the gateway began to leave, and claims its key
// after all waiting claims were handed over. Once they are handed over, the
// gateway must not accept a new claim.
func TestCallAdmittedJustBeforeTheStop(t *testing.T) {
	runCase(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		r := m.newRequest(false)
		g[0].calls.markWaitingHandedOver()
		wantKind(t, "attempt 1", m.do(g[0], r), outcome.NotRun)
		wantKind(t, "attempt 2", m.do(g[1], r), outcome.Completed)
	})
}

// TestRepeatWhileTheCallRuns guards against a caller that is told that its call may
// have run, while it still runs. A later attempt comes to another gateway when the
// claim is already older than SettleAfter. That gateway must ask the holder
// whether it waits for the upstream.
func TestRepeatWhileTheCallRuns(t *testing.T) {
	runCase(t, trustNothing, func(t *testing.T, m *machine, g []*gateway) {
		for _, s := range m.cluster.upstreams {
			s.current().SetDelays(plain.Delays{BeforeEffect: 2800 * time.Millisecond})
		}
		r := m.newRequest(false)
		m.send(g[0], r, longPatience)
		time.Sleep(2500 * time.Millisecond)
		m.send(g[2], r, longPatience)
		wantKind(t, "attempt 2", r.lastOutcome(), outcome.InProgress)
		wantKind(t, "attempt 3", m.do(g[2], r), outcome.Completed)
	})
}
