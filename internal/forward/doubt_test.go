package forward

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/worker"
)

var (
	doubtPlays = flag.Int("forward.plays", 1, "plays of each kind in the comparison of ways to doubt an answer's end")
	doubtWays  = flag.Bool("forward.ways", false, "play the rejected ways too")
	doubtKind  = flag.String("forward.kind", "", "only the kinds whose names begin with this")
	doubtSeed  = flag.Uint64("forward.seed", 1, "seed of these plays")
)

// way is a way to doubt the end of an answer without length that was closed right after an event.
type way struct {
	name     string
	suspects func(*httpconn.Answer) bool
	// probeAfter is how long after the end the upstream is asked.
	probeAfter time.Duration
}

// heldFor returns the way that looks a second time after a hold.
func heldFor(hold time.Duration) func(*httpconn.Answer) bool {
	return func(a *httpconn.Answer) bool {
		if a.WorthAsking() {
			return true
		}
		<-time.After(hold)
		return a.WorthAsking()
	}
}

func always(*httpconn.Answer) bool { return true }

// The first two are played in every run; the first is the one of New.
var ways = []way{
	{"ask if others closed", (*httpconn.Answer).WorthAsking, closingTime},
	{"ask always", always, closingTime},
	{"believe", func(*httpconn.Answer) bool { return false }, closingTime},
	{"ask if others closed, at once", (*httpconn.Answer).WorthAsking, 0},
	{"ask always, at once", always, 0},
	{"look again after 1 ms", heldFor(time.Millisecond), closingTime},
	{"look again after 5 ms", heldFor(5 * time.Millisecond), closingTime},
}

// figures are what one way did in the plays of one kind.
type figures struct {
	mu sync.Mutex
	// requests and dials are the requests and the connections made for them.
	requests, dials, retries int64
	// brokenOff counts the answers that were broken off by a close right after an event, and
	// believed those of them that reached their callers as complete.
	brokenOff, believed int
	// whole counts the answers that their upstream completed by a close, and broken those that did
	// not reach their callers so.
	whole, broken int
	// endDelays are the times from the last event of a whole stream to its end.
	endDelays []time.Duration
}

// add adds an answer; isWhole says whether its upstream completed it.
func (f *figures) add(isWhole bool, got *plainCaller, want string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	correct := got.complete && got.text.String() == want
	switch {
	case isWhole:
		f.whole++
		if !correct {
			f.broken++
		}
		if correct && got.endDelay > 0 {
			f.endDelays = append(f.endDelays, got.endDelay)
		}
	default:
		f.brokenOff++
		if got.complete && !correct {
			f.believed++
		}
	}
}

func (f *figures) addGateway(g *gatewayUnderTest) {
	g.placement.mu.Lock()
	requests := int64(len(g.placement.results))
	g.placement.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests += requests
	f.dials += g.pool.Counters().Dials
	f.retries += g.budget.retries.Load()
}

func (f *figures) String() string {
	slices.Sort(f.endDelays)
	quantile := func(q float64) time.Duration {
		if len(f.endDelays) == 0 {
			return 0
		}
		return f.endDelays[int(q*float64(len(f.endDelays)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("believed wrongly %d of %d | whole ones broken %d of %d | end after p50 %v, p99 %v | %.3f connections for a request | %d retries",
		f.believed, f.brokenOff, f.broken, f.whole, quantile(0.5), quantile(0.99), float64(f.dials)/float64(max(f.requests, 1)), f.retries)
}

// steppedClock is a clock that a test moves on. It also moves by a microsecond at each reading.
type steppedClock struct{ nanoseconds atomic.Int64 }

func (c *steppedClock) now() time.Time { return time.Unix(1000, c.nanoseconds.Add(1000)) }

func (c *steppedClock) advance(d time.Duration) { c.nanoseconds.Add(int64(d)) }

// play plays one seed of a kind in one way.
type play struct {
	t       *testing.T
	rng     *rand.Rand
	way     way
	figures *figures
}

func (p *play) gateway(now boottime.Clock, upstreams ...*worker.Worker) *gatewayUnderTest {
	g := newGatewayUnderTest(now, upstreams...)
	g.suspects, g.probeAfter = p.way.suspects, p.way.probeAfter
	return g
}

// leaveIdle leaves n idle connections to the gateway's first upstream, whose default act it sets.
func leaveIdle(p *play, g *gatewayUnderTest, w *worker.Worker, n int) {
	var arrived, done sync.WaitGroup
	arrived.Add(n)
	act := func(w *worker.Writer, r *http.Request) {
		arrived.Done()
		arrived.Wait()
		worker.Answer(http.StatusOK, "fine")(w, r)
	}
	for i := range n {
		w.QueueActs(act)
		done.Go(func() { g.serve(p.t, "idle-"+strconv.Itoa(i), onceRoute, &plainCaller{}) })
	}
	done.Wait()
}

// heldAnswer is an answer that is written in part and then held.
type heldAnswer struct {
	header, text string
	route        *routetable.Route
	// want is the text that its caller must get, if the answer is complete for it.
	want string
}

// drawHeld draws an answer that breaks off, on a route that may be resumed or repeated, or not.
func (p *play) drawHeld() heldAnswer {
	events := 1 + p.rng.IntN(5)
	switch p.rng.IntN(4) {
	case 0:
		return heldAnswer{streamHeader, eventsUpTo(events), resumableRoute, eventsUpTo(6)}
	case 1:
		return heldAnswer{"", "half", onceRoute, "half and half"}
	}
	return heldAnswer{streamHeader, eventsUpTo(events), streamRoute, eventsUpTo(6)}
}

// crashAlone plays the end of a process that has one request, right after an event, and to which
// there is no other connection.
func crashAlone(p *play) { crashWith(p, 1, 0, false) }

// crash plays the end of a process while it has 2 to 20 requests, each right after an event, or one
// and idle connections; in a third of the plays right after one whole answer.
func crash(p *play) {
	requests, idle := 1+p.rng.IntN(20), p.rng.IntN(4)
	if requests == 1 && idle == 0 {
		idle = 1
	}
	crashWith(p, requests, idle, p.rng.IntN(3) == 0)
}

func crashWith(p *play, requests, idle int, wholeBefore bool) {
	w, next := worker.New(p.t, "u"), worker.New(p.t, "next")
	next.SetDefaultAct(worker.Stream(6, nil))
	g := p.gateway(boottime.Now, w, next)
	leaveIdle(p, g, w, idle)
	var held []heldAnswer
	for range requests {
		held = append(held, p.drawHeld())
	}
	var written, done sync.WaitGroup
	written.Add(len(held))
	for i, h := range held {
		id := strconv.Itoa(i)
		seen := make(chan struct{})
		w.QueueActs(func(w *worker.Writer, _ *http.Request) {
			w.Head(http.StatusOK, h.header)
			w.Raw(h.text)
			close(seen)
			w.WaitClosed(time.Minute)
			w.Close(false)
		})
		done.Go(func() {
			got, _ := g.serve(p.t, id, h.route, &plainCaller{})
			p.figures.add(false, got, h.want)
		})
		<-seen
		written.Done()
	}
	written.Wait()
	if wholeBefore {
		w.QueueActs(func(out *worker.Writer, _ *http.Request) {
			out.Head(http.StatusOK, streamHeader)
			out.Raw(eventsUpTo(6))
			out.Close(false)
			w.Stop()
		})
		got, _ := g.serve(p.t, "whole", streamRoute, &plainCaller{})
		p.figures.add(true, got, eventsUpTo(6))
	}
	w.Stop()
	done.Wait()
	p.figures.addGateway(g)
}

// killAlone is like crashAlone, with a process of its own that is killed.
func killAlone(p *play) { killWith(p, 1) }

// kill plays the end of a process of its own that is killed while it has 2 to 20 streams.
func kill(p *play) { killWith(p, 2+p.rng.IntN(19)) }

func killWith(p *play, streams int) {
	address, kill := startProcess(p.t)
	next := worker.New(p.t, "next")
	next.SetDefaultAct(worker.Stream(6, nil))
	g := p.gateway(boottime.Now, next)
	g.placement.process = address
	var began, done sync.WaitGroup
	began.Add(streams)
	for i := range streams {
		done.Go(func() {
			got, _ := g.serve(p.t, strconv.Itoa(i), streamRoute, &plainCaller{onPart: began.Done})
			p.figures.add(false, got, eventsUpTo(6))
		})
	}
	began.Wait()
	kill()
	done.Wait()
	p.figures.addGateway(g)
}

// processVariable makes TestMain serve as an upstream instead of running the tests.
const processVariable = "FORWARD_TEST_UPSTREAM"

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		serveHeldStreams()
		return
	}
	os.Exit(m.Run())
}

// serveHeldStreams prints an address and answers each request there with the first event of a
// stream without length, until it is killed or its input ends.
func serveHeldStreams() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", worker.RequestID, r.Header.Get(worker.RequestID), streamHeader, worker.Event(1))
			}()
		}
	}()
	_, _ = io.Copy(io.Discard, os.Stdin) // the tests' process has ended
}

// startProcess starts an upstream as a process of its own and returns its address and what kills it.
func startProcess(t *testing.T) (address string, kill func()) {
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), processVariable+"=1")
	input, err := process.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	kill = sync.OnceFunc(func() {
		_ = process.Process.Kill() // it cannot have ended
		_ = process.Wait()         // the error says that it was killed
		_ = input.Close()
	})
	t.Cleanup(kill)
	if _, err := fmt.Fscanln(output, &address); err != nil {
		t.Fatal(err)
	}
	return address, kill
}

// leave plays an upstream that has announced that it leaves, and whose process ends right after the
// last of its answers, all whole.
func leave(p *play) {
	w := worker.New(p.t, "u")
	g := p.gateway(boottime.Now, w)
	leaveIdle(p, g, w, p.rng.IntN(4))
	answers := 1 + p.rng.IntN(5)
	var arrived, ended, done sync.WaitGroup
	arrived.Add(answers)
	ended.Add(answers)
	for i := range answers {
		w.QueueActs(func(out *worker.Writer, _ *http.Request) {
			arrived.Done()
			arrived.Wait()
			g.placement.announceLeaving()
			out.Head(http.StatusOK, streamHeader)
			out.Raw(eventsUpTo(6))
			out.Close(false)
			ended.Done()
			ended.Wait()
			w.Stop()
		})
		done.Go(func() {
			got, _ := g.serve(p.t, strconv.Itoa(i), streamRoute, &plainCaller{})
			p.figures.add(true, got, eventsUpTo(6))
		})
	}
	done.Wait()
	p.figures.addGateway(g)
}

// single plays an upstream that breaks off one of its answers and goes on with the others, which it
// completes later.
func single(p *play) {
	w := worker.New(p.t, "u")
	g := p.gateway(boottime.Now, w)
	leaveIdle(p, g, w, p.rng.IntN(4))
	others := p.rng.IntN(10)
	var arrived, done sync.WaitGroup
	arrived.Add(others)
	complete := make(chan struct{})
	for i := range others {
		w.QueueActs(func(out *worker.Writer, _ *http.Request) {
			out.Head(http.StatusOK, streamHeader)
			out.Raw(eventsUpTo(5))
			arrived.Done()
			<-complete
			out.Raw(worker.Event(6))
			out.Close(false)
		})
		done.Go(func() {
			got, _ := g.serve(p.t, strconv.Itoa(i), streamRoute, &plainCaller{})
			p.figures.add(true, got, eventsUpTo(6))
		})
	}
	arrived.Wait()
	w.QueueActs(func(out *worker.Writer, _ *http.Request) {
		out.Head(http.StatusOK, streamHeader)
		out.Raw(eventsUpTo(3))
		out.Close(false)
	})
	got, _ := g.serve(p.t, "single", streamRoute, &plainCaller{})
	p.figures.add(false, got, eventsUpTo(6))
	close(complete)
	done.Wait()
	p.figures.addGateway(g)
}

var unframed = worker.AnswerFramed(worker.Framed{Framing: worker.UntilClose, Status: http.StatusOK, HeaderLines: streamHeader, Body: eventsUpTo(6)})

// atRate returns the play of an upstream that never names a length and gets requests at a rate.
// The clock of the gateway's connections runs as if they came so far apart.
func atRate(perSecond float64) func(*play) {
	return func(p *play) {
		w := worker.New(p.t, "u")
		w.SetDefaultAct(unframed)
		clock := &steppedClock{}
		g := p.gateway(clock.now, w)
		for i := range 100 {
			got, _ := g.serve(p.t, strconv.Itoa(i), streamRoute, &plainCaller{})
			p.figures.add(true, got, eventsUpTo(6))
			clock.advance(time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)))
		}
		p.figures.addGateway(g)
	}
}

// atOnce returns the play of an upstream that never names a length and gets requests of a number of
// callers, each as soon as its last answer has ended.
func atOnce(callers int) func(*play) {
	return func(p *play) {
		w := worker.New(p.t, "u")
		w.SetDefaultAct(unframed)
		g := p.gateway(boottime.Now, w)
		var done sync.WaitGroup
		for c := range callers {
			done.Go(func() {
				for i := range 25 {
					got, _ := g.serve(p.t, fmt.Sprintf("%d-%d", c, i), streamRoute, &plainCaller{})
					p.figures.add(true, got, eventsUpTo(6))
				}
			})
		}
		done.Wait()
		p.figures.addGateway(g)
	}
}

// overlapping returns the play of an upstream that never names a length and gets requests at a rate,
// in real time, each of which takes 50 ms on average.
func overlapping(requests int, perSecond float64) func(*play) {
	return func(p *play) {
		w := worker.New(p.t, "u")
		g := p.gateway(boottime.Now, w)
		var done sync.WaitGroup
		for i := range requests {
			<-time.After(time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)))
			took := time.Duration(p.rng.ExpFloat64() * float64(50*time.Millisecond))
			w.QueueActs(func(w *worker.Writer, r *http.Request) {
				<-time.After(took)
				unframed(w, r)
			})
			done.Go(func() {
				got, _ := g.serve(p.t, strconv.Itoa(i), streamRoute, &plainCaller{})
				p.figures.add(true, got, eventsUpTo(6))
			})
		}
		done.Wait()
		p.figures.addGateway(g)
	}
}

// batches plays an upstream that never names a length and ends four answers at once, every second.
func batches(p *play) {
	w := worker.New(p.t, "u")
	clock := &steppedClock{}
	g := p.gateway(clock.now, w)
	for i := range 100 {
		var arrived, done sync.WaitGroup
		arrived.Add(4)
		for k := range 4 {
			w.QueueActs(func(w *worker.Writer, r *http.Request) {
				arrived.Done()
				arrived.Wait()
				unframed(w, r)
			})
			done.Go(func() {
				got, _ := g.serve(p.t, fmt.Sprintf("%d-%d", i, k), streamRoute, &plainCaller{})
				p.figures.add(true, got, eventsUpTo(6))
			})
		}
		done.Wait()
		clock.advance(time.Second)
	}
	p.figures.addGateway(g)
}

// idleTimeouts plays an upstream that closes idle connections soon, and answers every second
// request without a length, some time after that.
func idleTimeouts(p *play) {
	w := worker.New(p.t, "u")
	clock := &steppedClock{}
	g := p.gateway(clock.now, w)
	for i := range 10 {
		w.QueueActs(func(out *worker.Writer, r *http.Request) {
			worker.Answer(http.StatusOK, "fine")(out, r)
			out.WaitClosed(5 * time.Millisecond)
			out.Close(false)
		}, unframed)
		g.serve(p.t, strconv.Itoa(i)+"-named", onceRoute, &plainCaller{})
		for w.Connections() > 0 {
			<-time.After(time.Millisecond)
		}
		<-time.After(30 * time.Millisecond)
		clock.advance(30 * time.Millisecond)
		got, _ := g.serve(p.t, strconv.Itoa(i), streamRoute, &plainCaller{})
		p.figures.add(true, got, eventsUpTo(6))
		clock.advance(2 * time.Second)
	}
	p.figures.addGateway(g)
}

// bound is how many connections the chosen way may make for requests.
type bound int

const (
	// unbounded: failed attempts are probed too.
	unbounded bound = iota
	// same: one for each request.
	same
	// few: under 2 in 100 more, and one for each caller at the same time.
	few
)

var kinds = []struct {
	name string
	play func(*play)
	// lives: the upstream's process goes on, or it leaves as announced.
	lives bool
	bound bound
	// long: it is played with the rejected ways only.
	long bool
}{
	{"process ends, alone", crashAlone, false, unbounded, false},
	{"process ends", crash, false, unbounded, false},
	{"process killed, alone", killAlone, false, unbounded, true},
	{"process killed", kill, false, unbounded, true},
	{"leaves as announced", leave, true, unbounded, false},
	{"breaks off one answer", single, true, unbounded, false},
	{"no lengths, 1/s", atRate(1), true, same, false},
	{"no lengths, 2/s", atRate(2), true, same, false},
	{"no lengths, 5/s", atRate(5), true, same, false},
	{"no lengths, 20/s", atRate(20), true, same, false},
	{"no lengths, 100/s", atRate(100), true, same, false},
	{"no lengths, 4 callers", atOnce(4), true, few, false},
	{"no lengths, 16 callers", atOnce(16), true, few, false},
	{"no lengths, 20/s overlapping", overlapping(200, 20), true, few, true},
	{"no lengths, 100/s overlapping", overlapping(40, 100), true, few, false},
	{"no lengths, 100/s for longer", overlapping(800, 100), true, few, true},
	{"no lengths, batches of 4", batches, true, few, false},
	{"idle connections closed", idleTimeouts, true, same, false},
}

// allows reports whether the connections made for requests are within the bound.
func (b bound) allows(f *figures) bool {
	switch b {
	case same:
		return f.dials == f.requests
	case few:
		return f.dials <= f.requests+f.requests/50+16
	}
	return true
}

// Guards against a whole answer of a living upstream that is broken off by doubt, against ends of
// processes that are believed though they were asked for, and against doubt that costs more than a
// few connections. Its log is the comparison of the ways.
func TestWaysToDoubtAnEnd(t *testing.T) {
	played := ways[:2]
	if *doubtWays {
		played = ways
	}
	for _, kind := range kinds {
		if !strings.HasPrefix(kind.name, *doubtKind) || kind.long && !*doubtWays {
			continue
		}
		for i, way := range played {
			figures := &figures{}
			for i := range *doubtPlays {
				seed := *doubtSeed + uint64(i)
				kind.play(&play{t: t, rng: rand.New(rand.NewPCG(seed, 1)), way: way, figures: figures})
			}
			t.Logf("%-30s %-30s %s", kind.name, way.name, figures)
			if kind.lives && figures.broken > 0 {
				t.Errorf("%s, %s: %d whole answers broken", kind.name, way.name, figures.broken)
			}
			if i == 1 && !kind.lives && !kind.long && figures.believed > 0 {
				t.Errorf("%s, %s: %d ends believed wrongly", kind.name, way.name, figures.believed)
			}
			if i == 0 && !kind.bound.allows(figures) {
				t.Errorf("%s, %s: %d connections for %d requests", kind.name, way.name, figures.dials, figures.requests)
			}
		}
	}
}
