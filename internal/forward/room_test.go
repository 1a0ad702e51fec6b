package forward

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/worker"
)

// boundAnswers bounds what answers make the gateway hold.
func (g *gatewayUnderTest) boundAnswers(bytes int64) *answerbudget.Budget {
	b := answerbudget.New(answerbudget.Config{Now: boottime.Now, Log: hclog.NewNullLogger(), Limits: answerbudget.Limits{Bytes: bytes, Waiting: 8}})
	g.pool.BoundAnswers(b, b)
	return b
}

// checkNothingHeld checks that all room was given back.
func checkNothingHeld(t *testing.T, b *answerbudget.Budget) {
	t.Helper()
	if s := b.State(); s.Bytes != 0 || s.Waiting != 0 {
		t.Errorf("after the calls: %+v", s)
	}
}

// Guards against an upstream that is taken for faulty, and a request for one that ends upstreams, because this gateway has
// no room for a sound answer.
func TestAnAnswerWithoutRoomSaysNothingOfItsUpstream(t *testing.T) {
	const room = 64 << 10
	long := strings.Repeat("x", 2*room)
	for name, act := range map[string]worker.Act{
		"length": worker.Answer(http.StatusOK, long),
		"chunks": func(w *worker.Writer, _ *http.Request) {
			w.Head(http.StatusOK, "Transfer-Encoding: chunked\r\n")
			w.Chunk(long)
			w.Raw("0\r\n\r\n")
		},
		"head": func(w *worker.Writer, _ *http.Request) { w.Head(http.StatusOK, strings.Repeat("X-Many: y\r\n", 1000)) },
		"event": func(w *worker.Writer, _ *http.Request) {
			w.Head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
			w.Chunk("data: " + long + "\n\n")
			w.Raw("0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := worker.New(t, "u")
			w.SetDefaultAct(act)
			g := newGatewayUnderTest(boottime.Now, w)
			b := g.boundAnswers(room)
			caller, outcome := g.serve(t, "r", streamRoute, &plainCaller{})
			if caller.status != http.StatusBadGateway {
				t.Errorf("status %d, want 502", caller.status)
			}
			if g.placement.blameless != 1 || g.guard.brokenOff.Load()+g.guard.crashes.Load() != 0 {
				t.Errorf("%d attempts said nothing of their upstream, %d counted as broken off: %s", g.placement.blameless, g.guard.brokenOff.Load(), outcome.Reason)
			}
			if name == "head" && !strings.HasPrefix(outcome.Reason, string(httpconn.StageHeader)) {
				t.Errorf("a long head was read whole: %s", outcome.Reason)
			}
			checkNothingHeld(t, b)
		})
	}
}

// Guards against room that a failure keeps, which is held while another upstream is asked.
func TestAHeldFailureIsGivenBack(t *testing.T) {
	failing, sound := worker.New(t, "u0"), worker.New(t, "u1")
	failing.SetDefaultAct(worker.Answer(http.StatusInternalServerError, strings.Repeat("x", 100<<10)))
	g := newGatewayUnderTest(boottime.Now, failing, sound)
	b := g.boundAnswers(1 << 20)
	for _, second := range []worker.Act{worker.Answer(http.StatusOK, strings.Repeat("y", 100<<10)), worker.Crash} {
		sound.SetDefaultAct(second)
		g.serve(t, "r", idempotentRoute, &plainCaller{})
		checkNothingHeld(t, b)
	}
}

// idleCaller takes nothing of its answer until it is interrupted.
type idleCaller struct {
	plainCaller
	begins, interrupted chan struct{}
	once                sync.Once
}

func (c *idleCaller) Answer(int, http.Header, []byte, func()) {
	close(c.begins)
	<-c.interrupted
}

func (c *idleCaller) Interrupt() { c.once.Do(func() { close(c.interrupted) }) }

// Guards against callers that take nothing of a long answer, and keep those of others from being read.
func TestAnAnswerThatNobodyTakesGivesWay(t *testing.T) {
	w := worker.New(t, "u")
	w.SetDefaultAct(worker.Answer(http.StatusOK, strings.Repeat("x", 600<<10)))
	g := newGatewayUnderTest(boottime.Now, w)
	b := g.boundAnswers(1 << 20)
	idle := &idleCaller{begins: make(chan struct{}), interrupted: make(chan struct{})}
	var work sync.WaitGroup
	work.Go(func() { g.serveTo(t, "idle", onceRoute, idle) })
	<-idle.begins
	begun := time.Now()
	if caller, outcome := g.serve(t, "other", onceRoute, &plainCaller{}); caller.status != http.StatusOK {
		t.Errorf("status %d, %s, after %v", caller.status, outcome.Reason, time.Since(begun))
	}
	work.Wait()
	checkNothingHeld(t, b)
}
