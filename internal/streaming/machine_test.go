package streaming

import (
	"context"
	"errors"
	"flag"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// stepsPerCheck lets several streams meet several faults in each check.
const stepsPerCheck = "100"

func init() {
	testkit.FixSeed()
	if err := flag.Set("rapid.steps", stepsPerCheck); err != nil {
		panic(err)
	}
}

// bubbleTB hides the test's type from rapid, which would ask a *testing.T for
// its deadline; within a synctest bubble that panics.
type bubbleTB struct{ *testing.T }

// machineConfig has small figures, so that few tokens and little time reach
// every bound.
func machineConfig() Config {
	config := DefaultConfig()
	config.MaxFrameTokens = 3
	config.Linger = time.Second
	config.KeepEnded = 2 * time.Second
	config.MaxStreams = 6
	config.IdleStreams = 1
	config.MinMoveTime = 200 * time.Millisecond
	config.LeaveMargin = 50 * time.Millisecond
	return config
}

// client is a caller that may have several connections open for one request.
type client struct {
	// best has the tokens of the connection that got furthest.
	best *fakeCaller
	open []*connection
	// lastGateway is the only gateway that served the request so far, nil for none.
	lastGateway *Registry
	// several: more than one gateway has served the request.
	multipleGateways bool
	// calls counts all calls, notRun those that ended not_run.
	calls, notRun int
	completed     bool
}

// connection is one call of a client.
type connection struct {
	client *client
	caller *fakeCaller
	at     *Registry
	cancel context.CancelFunc
	done   chan struct{}
	got    outcome.Outcome
	err    error
}

// cluster is three gateways over three engines, and the clients.
type cluster struct {
	rt       *rapid.T
	config   Config
	engines  []*fakeEngine
	picker   *fakePicker
	runner   *Runner
	gateways []*Registry
	clients  []*client
}

func newCluster(rt *rapid.T) *cluster {
	w := &cluster{rt: rt, config: machineConfig()}
	for _, name := range []string{"a", "b", "c"} {
		e := newFakeEngine(ident.Instance(name), drawMillis(rt, "step", 10, 200))
		e.exportFor = drawMillis(rt, "export", 10, 300)
		w.engines = append(w.engines, e)
	}
	w.picker = &fakePicker{engines: []testEngine{w.engines[0], w.engines[1], w.engines[2]}}
	w.runner = NewRunner(w.config, w.picker, nil, nil)
	for range 3 {
		w.gateways = append(w.gateways, NewRegistry(w.config, w.runner))
	}
	for _, account := range []string{"weber", "kofler"} {
		for _, request := range []string{"r-1", "r-2"} {
			w.clients = append(w.clients, &client{best: newCaller(account, request, uint32(rapid.IntRange(1, 40).Draw(rt, "length")))})
		}
	}
	return w
}

func pickOne[T any](rt *rapid.T, label string, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(rt, label)]
}

func drawMillis(rt *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(rt, label)) * time.Millisecond
}

func (w *cluster) slow() time.Duration {
	return pickOne(w.rt, "slow", []time.Duration{0, 0, 30 * time.Millisecond, time.Second})
}

// call opens a connection of a client at a gateway.
func (w *cluster) call(c *client, caller *fakeCaller, at *Registry, how func(context.Context, *Registry) (outcome.Outcome, error)) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	conn := &connection{client: c, caller: caller, at: at, cancel: cancel, done: make(chan struct{})}
	c.open = append(c.open, conn)
	c.calls++
	c.multipleGateways = c.multipleGateways || (c.lastGateway != nil && c.lastGateway != at)
	c.lastGateway = at
	go func() {
		conn.got, conn.err = how(ctx, at)
		close(conn.done)
	}()
	return conn
}

// generate sends a request, or the same request once more.
func (w *cluster) generate(rt *rapid.T) {
	c := pickOne(rt, "client", w.clients)
	caller := c.best.fork(0, w.slow())
	if rapid.Bool().Draw(rt, "deadline") {
		caller.req.Deadline = time.Now().Add(3 * time.Second)
	}
	w.call(c, caller, pickOne(rt, "gateway", w.gateways), caller.generate)
}

// resume goes on from some of the tokens that the client has.
func (w *cluster) resume(rt *rapid.T) {
	c := pickOne(rt, "client", w.clients)
	if c.calls == 0 {
		rt.Skip("nothing to resume")
	}
	n := rapid.IntRange(0, len(c.best.held())).Draw(rt, "held")
	caller := c.best.fork(n, w.slow())
	w.call(c, caller, pickOne(rt, "gateway", w.gateways), caller.resume)
}

// resumeByID goes on at the only gateway that knows the request.
func (w *cluster) resumeByID(rt *rapid.T) {
	c := pickOne(rt, "client", w.clients)
	if c.lastGateway == nil || c.multipleGateways {
		rt.Skip("no single gateway")
	}
	caller := c.best.fork(len(c.best.held()), w.slow())
	w.call(c, caller, c.lastGateway, caller.resumeByID)
}

// intrude asks with another account for a request that it never sent.
func (w *cluster) intrude(rt *rapid.T) {
	c := pickOne(rt, "client", w.clients)
	thief := newCaller("thief", string(c.best.req.Key.Request), 24)
	_, err := thief.resumeByID(context.Background(), pickOne(rt, "gateway", w.gateways))
	if errcode.Of(err) != errcode.NotFound || len(thief.tokens) > 0 {
		rt.Fatalf("another account's request: error %v, %d tokens", err, len(thief.tokens))
	}
}

// hangUp drops one connection.
func (w *cluster) hangUp(rt *rapid.T) {
	c := pickOne(rt, "client", w.clients)
	if len(c.open) == 0 {
		rt.Skip("no connection")
	}
	pickOne(rt, "connection", c.open).cancel()
}

// disruptEngine makes an engine misbehave.
func (w *cluster) disruptEngine(rt *rapid.T) {
	e := pickOne(rt, "engine", w.engines)
	switch rapid.IntRange(0, 6).Draw(rt, "fault") {
	case 0:
		e.breakAll(false)
	case 1:
		e.breakAll(true)
	case 2:
		e.lose()
	case 3:
		e.setRefuse(upstream.ErrLeaving)
	case 4:
		left := drawMillis(rt, "left", 100, 4000)
		e.giveNotice(left)
		time.AfterFunc(left, e.lose)
	case 5:
		e.setRefuse(errors.New("reset while opening"))
	default:
		e.setNextDefect(frameDefect(rapid.IntRange(1, int(defectCount)-1).Draw(rt, "odd")))
	}
}

func (w *cluster) healEngine(rt *rapid.T) { pickOne(rt, "engine", w.engines).setRefuse(nil) }

// crash ends a gateway as SIGKILL does, and starts another in its place.
func (w *cluster) crash(rt *rapid.T) {
	i := rapid.IntRange(0, len(w.gateways)-1).Draw(rt, "gateway")
	for _, c := range w.clients {
		for _, conn := range c.open {
			if conn.at == w.gateways[i] {
				conn.cancel()
			}
		}
	}
	synctest.Wait()
	w.replace(i)
}

func (w *cluster) replace(i int) {
	w.gateways[i].Close()
	w.gateways[i] = NewRegistry(w.config, w.runner)
}

// fakePeer takes streams over for a gateway, or fails to.
type fakePeer struct {
	to *Registry
	// loseAnswer: the streams are taken, but the sender never hears of it.
	loseAnswer bool
	// frozen: the peer does not answer.
	frozen bool
}

func (p fakePeer) HandOver(ctx context.Context, streams []Handed) ([]Key, error) {
	if p.frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	accepted := p.to.Accept(streams)
	if p.loseAnswer {
		return nil, errors.New("answer lost")
	}
	return accepted, nil
}

// leave ends a gateway as SIGTERM does, and starts another in its place. The
// first peer is leaving too, or frozen.
func (w *cluster) leave(rt *rapid.T) {
	i := rapid.IntRange(0, len(w.gateways)-1).Draw(rt, "gateway")
	grace := drawMillis(rt, "grace", 0, 400)
	gone := NewRegistry(w.config, w.runner)
	gone.Close()
	first := pickOne(rt, "first peer", []fakePeer{{to: gone}, {frozen: true}})
	next := w.gateways[(i+1)%len(w.gateways)]
	peers := []Peer{first, fakePeer{to: next, loseAnswer: rapid.Bool().Draw(rt, "answer lost")}}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w.gateways[i].Leave(ctx, grace, peers)
	w.replace(i)
}

func (w *cluster) advance(rt *rapid.T) {
	time.Sleep(drawMillis(rt, "time", 1, 3000))
}

// check looks at every connection that has ended since the last step.
func (w *cluster) check(rt *rapid.T) {
	synctest.Wait()
	for _, c := range w.clients {
		for _, conn := range c.open {
			if problem := conn.caller.check(outcome.Outcome{}); problem != "" {
				rt.Fatalf("%v: %s", c.best.req.Key, problem)
			}
		}
		c.open = slices.DeleteFunc(c.open, func(conn *connection) bool { return w.recordEnded(conn) })
		w.checkNotRun(c)
	}
}

// recordEnded takes an ended connection in.
func (w *cluster) recordEnded(conn *connection) bool {
	select {
	case <-conn.done:
	default:
		return false
	}
	conn.cancel()
	c := conn.client
	if conn.err != nil && errcode.Of(conn.err) != errcode.NotFound {
		w.rt.Fatalf("%v: %v", c.best.req.Key, conn.err)
	}
	if problem := conn.caller.check(conn.got); problem != "" {
		w.rt.Fatalf("%v: %s", c.best.req.Key, problem)
	}
	if conn.got.Kind == outcome.NotRun || conn.err != nil {
		c.notRun++
	}
	c.completed = c.completed || conn.got.Kind == outcome.Completed
	if len(conn.caller.tokens) > len(c.best.tokens) {
		c.best = conn.caller
	}
	return true
}

// checkNotRun: when every call was told not_run, no engine ever ran it.
func (w *cluster) checkNotRun(c *client) {
	if c.calls != c.notRun {
		return
	}
	for _, e := range w.engines {
		if n := e.startedFor(c.best.req.Key); n != 0 {
			w.rt.Fatalf("%v: told not_run, but engine %s ran it %d times", c.best.req.Key, e.instance, n)
		}
	}
}

// finish heals everything; then every request must come to its whole answer.
func (w *cluster) finish(rt *rapid.T) {
	const tries = 5
	time.Sleep(w.config.KeepEnded)
	for _, e := range w.engines {
		e.setRefuse(nil)
		e.setNextDefect(defectNone)
	}
	for _, c := range w.clients {
		for range tries {
			if c.completed || c.calls == 0 {
				break
			}
			caller := c.best.fork(len(c.best.held()), 0)
			conn := w.call(c, caller, w.gateways[0], caller.resume)
			<-conn.done
			w.check(rt)
		}
		if c.calls > 0 && !c.completed {
			rt.Fatalf("%v: no whole answer after %d tries", c.best.req.Key, tries)
		}
	}
}

// close ends everything, also after a failure, so that no goroutine is left in
// the bubble.
func (w *cluster) close() {
	for _, c := range w.clients {
		for _, conn := range c.open {
			conn.cancel()
			<-conn.done
		}
	}
	for _, g := range w.gateways {
		g.Close()
	}
	time.Sleep(w.config.SilenceLimit)
	synctest.Wait()
}

// checkNothingLeft: after close, no engine works for anybody.
func (w *cluster) checkNothingLeft(rt *rapid.T) {
	if held := w.picker.heldTargets(); held != 0 {
		rt.Fatalf("%d targets were not released", held)
	}
	for _, e := range w.engines {
		if n := e.open(); n != 0 {
			rt.Fatalf("engine %s still has %d streams", e.instance, n)
		}
	}
}

// Symptom: a caller sees a gap, a repeat, a mix of two answers, another
// caller's tokens, or a false not_run.
// Sequence: any of the steps below in any order, with two connections of one
// caller at once, at the same or at different gateways.
// Cause: delivery from two attempts, runs or gateways that do not continue each
// other; giving up with the words of the last attempt alone.
func TestStreamsUnderAnyFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			w := newCluster(rt)
			defer w.close()
			rt.Repeat(map[string]func(*rapid.T){
				"":           w.check,
				"generate":   w.generate,
				"resume":     w.resume,
				"resumeByID": w.resumeByID,
				"intrude":    w.intrude,
				"hangUp":     w.hangUp,
				"spoil":      w.disruptEngine,
				"heal":       w.healEngine,
				"crash":      w.crash,
				"leave":      w.leave,
				"advance":    w.advance,
			})
			w.finish(rt)
			w.close()
			w.checkNothingLeft(rt)
		})
	})
}
