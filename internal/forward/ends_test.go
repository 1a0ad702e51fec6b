package forward

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/worker"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

const streamHeader = "Content-Type: text/event-stream\r\n"

// eventsUpTo returns the text of the events up to last.
func eventsUpTo(last int) string {
	var text strings.Builder
	for id := 1; id <= last; id++ {
		text.WriteString(worker.Event(id))
	}
	return text.String()
}

// tickingClock returns a clock that moves by a microsecond whenever it is read, so that no pause of
// the machine parts what happens in one moment.
func tickingClock() boottime.Clock {
	var reads atomic.Int64
	return func() time.Time { return time.Unix(1000, 0).Add(time.Duration(reads.Add(1)) * time.Microsecond) }
}

// Guards against a stream, or another answer without length, that reaches its caller as complete
// although its upstream's process has ended in the middle of it: the connection is closed exactly
// after an event. The end counts once, as what it is.
func TestTheEndOfAProcessIsNoEndOfItsAnswers(t *testing.T) {
	for _, c := range []struct {
		name, header, text string
		route              *routetable.Route
		// leaving: the upstream has announced that it leaves.
		leaving bool
		result  Result
		// complete: the caller must get a complete answer; delivered is its text.
		complete  bool
		delivered string
	}{
		{"stream", streamHeader, eventsUpTo(2), streamRoute, false, Cut, false, eventsUpTo(2)},
		{"resumable stream", streamHeader, eventsUpTo(2), resumableRoute, false, Cut, true, eventsUpTo(6)},
		{"other answer", "", "half", onceRoute, false, Broken, false, ""},
		{"other answer, idempotent", "", "half", idempotentRoute, false, Broken, true, "fine"},
		{"stream, leaving announced", streamHeader, eventsUpTo(2), streamRoute, true, Done, true, eventsUpTo(2)},
		{"other answer, leaving announced", "", "whole", onceRoute, true, Done, true, "whole"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dying, next := worker.New(t, "dying"), worker.New(t, "next")
			if c.header != "" {
				next.SetDefaultAct(worker.Stream(6, nil))
			}
			g := newGatewayUnderTest(tickingClock(), dying, next)
			g.placement.leaving = c.leaving
			// Another answer of the upstream is closed right before.
			endOther, otherEnded := make(chan struct{}), make(chan struct{})
			dying.QueueActs(func(w *worker.Writer, _ *http.Request) {
				w.Head(http.StatusOK, streamHeader)
				w.Raw(eventsUpTo(1))
				<-endOther
				w.Close(false)
			}, func(w *worker.Writer, _ *http.Request) {
				w.Head(http.StatusOK, c.header)
				w.Raw(c.text)
				close(endOther)
				<-otherEnded
				dying.Stop()
			})
			otherBegan := make(chan struct{})
			go func() {
				defer close(otherEnded)
				g.serve(t, "other", streamRoute, &plainCaller{onPart: func() { close(otherBegan) }})
			}()
			<-otherBegan
			caller, outcome := g.serve(t, "r", c.route, &plainCaller{})
			if caller.complete != c.complete || caller.text.String() != c.delivered {
				t.Errorf("complete %v, want %v; got %q, want %q; outcome %+v", caller.complete, c.complete, caller.text.String(), c.delivered, outcome)
			}
			if !slices.Contains(g.placement.results[1:], c.result) {
				t.Errorf("results %v, want %v among them", g.placement.results, c.result)
			}
			crashes := int64(1)
			if c.leaving {
				crashes = 0
			}
			if g.placement.ended != 1 || g.guard.crashes.Load() != crashes {
				t.Errorf("recorded %d ends of the process and %d crashes, want 1 and %d", g.placement.ended, g.guard.crashes.Load(), crashes)
			}
		})
	}
}

// Guards against an upstream that gets a connection more for each answer without length, and
// against a whole answer that is held or broken off: nothing but its own end speaks against it.
func TestAnUpstreamThatNeverNamesALengthGetsNoMoreConnections(t *testing.T) {
	w := worker.New(t, "u")
	w.SetDefaultAct(worker.AnswerFramed(worker.Framed{Framing: worker.UntilClose, Status: http.StatusOK, HeaderLines: streamHeader, Body: eventsUpTo(3)}))
	g := newGatewayUnderTest(tickingClock(), w)
	const requests = 50
	for i := range requests {
		if caller, outcome := g.serve(t, strconv.Itoa(i), streamRoute, &plainCaller{}); !caller.complete || caller.text.String() != eventsUpTo(3) {
			t.Fatalf("got %q, complete %v, outcome %+v", caller.text.String(), caller.complete, outcome)
		}
	}
	if dials := g.pool.Counters().Dials; dials != requests {
		t.Errorf("%d connections for %d requests", dials, requests)
	}
}

// Guards against a process that counts as running because it was probed while it ended: it had closed
// the connection, and its listener still made new ones.
func TestAProcessIsNotProbedWhileItCloses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer listener.Close()
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+streamHeader+"\r\nid: 1\nda") // the test sees what arrives
		}
		c.Close()
		<-time.After(20 * time.Millisecond)
	}()
	g := newGatewayUnderTest(boottime.Now)
	g.placement.process = listener.Addr().String()
	g.probeAfter = 500 * time.Millisecond // however slow the machine is
	if _, outcome := g.serve(t, "r", streamRoute, &plainCaller{}); outcome.Step != Fail {
		t.Errorf("outcome %+v", outcome)
	}
	if g.placement.ended != 1 || g.guard.crashes.Load() != 1 {
		t.Errorf("recorded %d ends of the process and %d crashes, want 1 of each", g.placement.ended, g.guard.crashes.Load())
	}
}

// Guards against a line in the log that tells, of an attempt after which no retry was paid for, the retry budget's
// decision on an earlier one.
func TestTheLogTellsTheBudgetsDecisionOnEachAttempt(t *testing.T) {
	crashing, down, sound := worker.New(t, "u0"), worker.New(t, "u1"), worker.New(t, "u2")
	crashing.SetDefaultAct(worker.Crash)
	down.Stop()
	g := newGatewayUnderTest(boottime.Now, crashing, down, sound)
	log := &testkit.LogBuffer{}
	g.cfg.Log = hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})
	if got, _ := g.serve(t, "r", idempotentRoute, &plainCaller{}); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	var budgets []string
	for line := range strings.Lines(log.String()) {
		var entry struct {
			Message string `json:"@message"`
			Budget  string `json:"budget"`
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Message == "attempt ended" {
			budgets = append(budgets, entry.Budget)
		}
	}
	if len(budgets) != 2 || !strings.HasPrefix(budgets[0], "ok=true") || budgets[1] != "not asked" {
		t.Errorf("the budget's decisions are %q", budgets)
	}
}
