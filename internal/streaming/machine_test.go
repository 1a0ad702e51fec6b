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

// stepsPerCheck is enough for several streams to run into several faults in
// each check.
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

// machineConfig has small bounds, which are reached with few tokens in little
// time.
func machineConfig() Config {
	config := DefaultConfig()
	config.MaxFrameTokens = 3
	config.Linger = time.Second
	config.KeepEnded = 2 * time.Second
	config.MaxStreams = 6
	config.MaxIdleStreams = 1
	config.MinMoveTime = 200 * time.Millisecond
	config.LeaveMargin = 50 * time.Millisecond
	return config
}

// client is a caller that may have several connections open for one request.
type client struct {
	// best is the caller of the connection that received the most tokens.
	best *fakeCaller
	open []*connection
	// lastGateway served the request last; nil if none has.
	lastGateway *Registry
	// multipleGateways: more than one gateway has served the request.
	multipleGateways bool
	// calls counts all calls, and notRun the calls that ended with not_run or
	// an error.
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

// cluster consists of three gateways, three engines and the clients.
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
	cl := &cluster{rt: rt, config: machineConfig()}
	for _, name := range []string{"a", "b", "c"} {
		e := newFakeEngine(ident.Instance(name), drawMillis(rt, "step", 10, 200))
		e.exportFor = drawMillis(rt, "export", 10, 300)
		cl.engines = append(cl.engines, e)
	}
	cl.picker = &fakePicker{engines: []testEngine{cl.engines[0], cl.engines[1], cl.engines[2]}}
	cl.runner = NewRunner(cl.config, cl.picker, nil, nil)
	for range 3 {
		cl.gateways = append(cl.gateways, NewRegistry(cl.config, cl.runner))
	}
	for _, account := range []string{"weber", "kofler"} {
		for _, request := range []string{"r-1", "r-2"} {
			cl.clients = append(cl.clients, &client{best: newCaller(account, request, uint32(rapid.IntRange(1, 40).Draw(rt, "length")))})
		}
	}
	return cl
}

func pickOne[T any](rt *rapid.T, label string, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(rt, label)]
}

func drawMillis(rt *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(rt, label)) * time.Millisecond
}

func (cl *cluster) slow() time.Duration {
	return pickOne(cl.rt, "slow", []time.Duration{0, 0, 30 * time.Millisecond, time.Second})
}

// call opens a connection of a client to a gateway.
func (cl *cluster) call(c *client, caller *fakeCaller, at *Registry, send func(context.Context, *Registry) (outcome.Outcome, error)) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	conn := &connection{client: c, caller: caller, at: at, cancel: cancel, done: make(chan struct{})}
	c.open = append(c.open, conn)
	c.calls++
	c.multipleGateways = c.multipleGateways || (c.lastGateway != nil && c.lastGateway != at)
	c.lastGateway = at
	go func() {
		conn.got, conn.err = send(ctx, at)
		close(conn.done)
	}()
	return conn
}

// generate sends a request, for the first time or again.
func (cl *cluster) generate(rt *rapid.T) {
	c := pickOne(rt, "client", cl.clients)
	caller := c.best.fork(0, cl.slow())
	if rapid.Bool().Draw(rt, "deadline") {
		caller.req.Deadline = time.Now().Add(3 * time.Second)
	}
	cl.call(c, caller, pickOne(rt, "gateway", cl.gateways), caller.generate)
}

// resume continues from some of the tokens that the client has.
func (cl *cluster) resume(rt *rapid.T) {
	c := pickOne(rt, "client", cl.clients)
	if c.calls == 0 {
		rt.Skip("nothing to resume")
	}
	n := rapid.IntRange(0, len(c.best.held())).Draw(rt, "held")
	caller := c.best.fork(n, cl.slow())
	cl.call(c, caller, pickOne(rt, "gateway", cl.gateways), caller.resume)
}

// resumeByID continues at the only gateway that has served the request.
func (cl *cluster) resumeByID(rt *rapid.T) {
	c := pickOne(rt, "client", cl.clients)
	if c.lastGateway == nil || c.multipleGateways {
		rt.Skip("no single gateway")
	}
	caller := c.best.fork(len(c.best.held()), cl.slow())
	cl.call(c, caller, c.lastGateway, caller.resumeByID)
}

// intrude requests another account's stream, which must look as if it did not
// exist.
func (cl *cluster) intrude(rt *rapid.T) {
	c := pickOne(rt, "client", cl.clients)
	thief := newCaller("thief", string(c.best.req.Key.Request), 24)
	_, err := thief.resumeByID(context.Background(), pickOne(rt, "gateway", cl.gateways))
	if errcode.Of(err) != errcode.NotFound || len(thief.tokens) > 0 {
		rt.Fatalf("another account's request: error %v, %d tokens", err, len(thief.tokens))
	}
}

// hangUp closes one connection.
func (cl *cluster) hangUp(rt *rapid.T) {
	c := pickOne(rt, "client", cl.clients)
	if len(c.open) == 0 {
		rt.Skip("no connection")
	}
	pickOne(rt, "connection", c.open).cancel()
}

// disruptEngine makes an engine fail in one of several ways.
func (cl *cluster) disruptEngine(rt *rapid.T) {
	e := pickOne(rt, "engine", cl.engines)
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

func (cl *cluster) healEngine(rt *rapid.T) { pickOne(rt, "engine", cl.engines).setRefuse(nil) }

// crash ends a gateway as SIGKILL does and starts another in its place.
func (cl *cluster) crash(rt *rapid.T) {
	i := rapid.IntRange(0, len(cl.gateways)-1).Draw(rt, "gateway")
	for _, c := range cl.clients {
		for _, conn := range c.open {
			if conn.at == cl.gateways[i] {
				conn.cancel()
			}
		}
	}
	synctest.Wait()
	cl.replace(i)
}

func (cl *cluster) replace(i int) {
	cl.gateways[i].Close()
	cl.gateways[i] = NewRegistry(cl.config, cl.runner)
}

// fakePeer hands streams over to a gateway, or fails to.
type fakePeer struct {
	to *Registry
	// loseAnswer: the gateway accepts the streams, but the sender does not
	// receive the answer.
	loseAnswer bool
	// frozen: the peer does not answer.
	frozen bool
}

func (p fakePeer) HandOver(ctx context.Context, streams []HandedStream) ([]Key, error) {
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

// leave ends a gateway as SIGTERM does and starts another in its place. The
// first peer is closed or does not answer.
func (cl *cluster) leave(rt *rapid.T) {
	i := rapid.IntRange(0, len(cl.gateways)-1).Draw(rt, "gateway")
	grace := drawMillis(rt, "grace", 0, 400)
	closed := NewRegistry(cl.config, cl.runner)
	closed.Close()
	first := pickOne(rt, "first peer", []fakePeer{{to: closed}, {frozen: true}})
	next := cl.gateways[(i+1)%len(cl.gateways)]
	peers := []Peer{first, fakePeer{to: next, loseAnswer: rapid.Bool().Draw(rt, "answer lost")}}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	cl.gateways[i].Leave(ctx, grace, peers)
	cl.replace(i)
}

func (cl *cluster) advance(rt *rapid.T) {
	time.Sleep(drawMillis(rt, "time", 1, 3000))
}

// check checks every connection, and records those that have ended since the
// last step.
func (cl *cluster) check(rt *rapid.T) {
	synctest.Wait()
	for _, c := range cl.clients {
		for _, conn := range c.open {
			if problem := conn.caller.check(outcome.Outcome{}); problem != "" {
				rt.Fatalf("%v: %s", c.best.req.Key, problem)
			}
		}
		c.open = slices.DeleteFunc(c.open, func(conn *connection) bool { return cl.recordEnded(conn) })
		cl.checkNotRun(c)
	}
}

// recordEnded checks and records a connection that has ended. It returns false
// if the connection has not.
func (cl *cluster) recordEnded(conn *connection) bool {
	select {
	case <-conn.done:
	default:
		return false
	}
	conn.cancel()
	c := conn.client
	if conn.err != nil && errcode.Of(conn.err) != errcode.NotFound {
		cl.rt.Fatalf("%v: %v", c.best.req.Key, conn.err)
	}
	if problem := conn.caller.check(conn.got); problem != "" {
		cl.rt.Fatalf("%v: %s", c.best.req.Key, problem)
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

// checkNotRun checks that no engine has run a request whose calls all ended
// with not_run or an error.
func (cl *cluster) checkNotRun(c *client) {
	if c.calls != c.notRun {
		return
	}
	for _, e := range cl.engines {
		if n := e.startedFor(c.best.req.Key); n != 0 {
			cl.rt.Fatalf("%v: told not_run, but engine %s ran it %d times", c.best.req.Key, e.instance, n)
		}
	}
}

// finish removes all faults; every request must then complete.
func (cl *cluster) finish(rt *rapid.T) {
	const maxTries = 5
	time.Sleep(cl.config.KeepEnded)
	for _, e := range cl.engines {
		e.setRefuse(nil)
		e.setNextDefect(defectNone)
	}
	for _, c := range cl.clients {
		for range maxTries {
			if c.completed || c.calls == 0 {
				break
			}
			caller := c.best.fork(len(c.best.held()), 0)
			conn := cl.call(c, caller, cl.gateways[0], caller.resume)
			<-conn.done
			cl.check(rt)
		}
		if c.calls > 0 && !c.completed {
			rt.Fatalf("%v: no whole answer after %d tries", c.best.req.Key, maxTries)
		}
	}
}

// close ends everything, also after a failure, so that no goroutine is left in
// the bubble.
func (cl *cluster) close() {
	for _, c := range cl.clients {
		for _, conn := range c.open {
			conn.cancel()
			<-conn.done
		}
	}
	for _, g := range cl.gateways {
		g.Close()
	}
	time.Sleep(cl.config.SilenceLimit)
	synctest.Wait()
}

// checkNothingLeft checks that after close all targets are released and no
// engine has an open stream.
func (cl *cluster) checkNothingLeft(rt *rapid.T) {
	if held := cl.picker.heldTargets(); held != 0 {
		rt.Fatalf("%d targets were not released", held)
	}
	for _, e := range cl.engines {
		if n := e.open(); n != 0 {
			rt.Fatalf("engine %s still has %d streams", e.instance, n)
		}
	}
}

// TestStreamsUnderAnyFaults guards against callers that receive a gap, a
// repetition, a mix of two answers, another caller's tokens or a wrong not_run.
// The steps below happen in any order, with several connections of one caller at
// once, to the same gateway or to different ones. The failure comes about if
// tokens are delivered from two attempts, runs or gateways that do not continue
// each other, or if the outcome of a request that is given up depends on its last
// attempt alone.
func TestStreamsUnderAnyFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			cl := newCluster(rt)
			defer cl.close()
			rt.Repeat(map[string]func(*rapid.T){
				"":           cl.check,
				"generate":   cl.generate,
				"resume":     cl.resume,
				"resumeByID": cl.resumeByID,
				"intrude":    cl.intrude,
				"hangUp":     cl.hangUp,
				"spoil":      cl.disruptEngine,
				"heal":       cl.healEngine,
				"crash":      cl.crash,
				"leave":      cl.leave,
				"advance":    cl.advance,
			})
			cl.finish(rt)
			cl.close()
			cl.checkNothingLeft(rt)
		})
	})
}
