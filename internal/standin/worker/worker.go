// Package worker is a stand-in for an upstream of the users' platform. It serves
// HTTP/1.1 with the platform's headers over raw connections, counts the requests
// that it ran, and injects faults.
package worker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// RequestID is the header with a request's ID, for tests that send requests to a
// worker directly instead of through package platform.
const RequestID = "X-Request-Id"

// Act answers one request, or fails to.
type Act func(w *Writer, r *http.Request)

// Worker is the stand-in. It is safe for concurrent use.
type Worker struct {
	ID       string
	listener net.Listener
	// afterFirstStop is called by the first Stop.
	afterFirstStop func()

	mu         sync.Mutex
	queuedActs []Act
	defaultAct Act
	runs       map[string]int
	received   []Received
	conns      map[net.Conn]bool
	stopped    bool
	// limit is the rate limit that all answers announce; empty for none.
	limit string
	// limitAnnouncedAt is when an answer first announced a limit, and arrivals are the
	// requests received since.
	limitAnnouncedAt time.Time
	arrivals         []Arrival
	// leaving is the text by which all answers announce that the worker leaves; empty for none.
	leaving string
	// told is what senders were told, by the result of senderOf, and lateArrivals are the
	// requests that they sent all the same.
	told         map[string]told
	senderOf     func(*http.Request) string
	lateArrivals []LateArrival
}

// New starts a worker that is stopped at the end of the test.
func New(t testing.TB, id string) *Worker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &Worker{ID: id, listener: listener, afterFirstStop: func() { keepPort(t, listener) }, defaultAct: Answer(http.StatusOK, "fine"), runs: make(map[string]int), conns: make(map[net.Conn]bool), told: make(map[string]told)}
	var work sync.WaitGroup
	work.Go(func() { w.accept(&work) })
	t.Cleanup(func() {
		w.Stop()
		work.Wait()
	})
	return w
}

// Address returns the host:port on which the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Stop stops the worker like a crash: it closes the listener and all connections. Up to the end of
// the test nobody else gets its port, which gateways may still know.
func (w *Worker) Stop() {
	_ = w.listener.Close() // a second stop finds it closed
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.afterFirstStop()
	}
	w.stopped = true
	for c := range w.conns {
		_ = c.Close() // cuts off requests in progress
	}
}

// DropConnections closes all connections like a crash, and goes on listening: as a process whose listener closes
// later than its connections, or another one that listens at once in its place.
func (w *Worker) DropConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close() // cuts off requests in progress
	}
}

// QueueActs queues acts for the next requests, one for each; later requests get the default
// act.
func (w *Worker) QueueActs(acts ...Act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queuedActs = append(w.queuedActs, acts...)
}

// SetDefaultAct sets the act for requests for which none is queued. Without it, they are
// answered with status 200.
func (w *Worker) SetDefaultAct(act Act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.defaultAct = act
}

// ClearActs clears the queued acts.
func (w *Worker) ClearActs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queuedActs = nil
}

// RunCount returns how often the request with an ID ran.
func (w *Worker) RunCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Requests returns the requests received so far, and their bodies.
func (w *Worker) Requests() (requests []*http.Request, bodies []string) {
	for _, r := range w.Received() {
		requests, bodies = append(requests, r.Request), append(bodies, r.Body)
	}
	return requests, bodies
}

// Received is a request with its body, and when it was received.
type Received struct {
	Request *http.Request
	Body    string
	At      time.Time
}

// Received returns what was received so far.
func (w *Worker) Received() []Received {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.received)
}

// Connections returns the number of open connections.
func (w *Worker) Connections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

func (w *Worker) accept(work *sync.WaitGroup) {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		if !w.track(c) {
			_ = c.Close() // accepted while Stop closed the others
			continue
		}
		work.Go(func() { w.serve(c) })
	}
}

// track adds a connection to those that Stop closes, and reports whether the worker still runs.
func (w *Worker) track(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.conns[c] = true
	}
	return !w.stopped
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close() // the act may have closed it already
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		act := w.recordRequest(r, string(body))
		out := &Writer{worker: w, conn: c, request: r}
		act(out, r)
		if out.closed {
			return
		}
	}
}

// recordRequest records a request and returns its act.
func (w *Worker) recordRequest(r *http.Request, body string) Act {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = append(w.received, Received{r, body, time.Now()})
	w.recordLateArrival(r)
	if !w.limitAnnouncedAt.IsZero() {
		w.arrivals = append(w.arrivals, Arrival{ID: r.Header.Get(RequestID), At: time.Now()})
	}
	if len(w.queuedActs) == 0 {
		return w.defaultAct
	}
	act := w.queuedActs[0]
	w.queuedActs = w.queuedActs[1:]
	return act
}

// Writer writes an Act's answer to the connection.
type Writer struct {
	worker  *Worker
	conn    net.Conn
	request *http.Request
	closed  bool
}

// RecordRun records that the request began to run.
func (w *Writer) RecordRun() {
	w.worker.mu.Lock()
	defer w.worker.mu.Unlock()
	w.worker.runs[w.request.Header.Get(RequestID)]++
}

// Raw writes text to the connection unchanged.
func (w *Writer) Raw(text string) {
	// The client may be gone, which some tests intend.
	_, _ = io.WriteString(w.conn, text)
}

// Head writes a status line, the headers that sign an answer as the worker's own, and
// further header lines, each of which ends with CRLF.
func (w *Writer) Head(status int, headerLines string) {
	w.Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Response-Signature: sig-%s\r\nX-Instance-Id: %s\r\n%s%s%s\r\n",
		status, w.request.Header.Get(RequestID), w.worker.ID, w.worker.ID, w.worker.limitHeader(), w.worker.leavingHeader(w.request), headerLines))
}

// Close closes the connection, with a TCP reset if reset is set.
func (w *Writer) Close(reset bool) {
	w.closed = true
	if c, ok := w.conn.(*net.TCPConn); ok && reset {
		_ = c.SetLinger(0) // fails only if the connection is closed already
	}
	_ = w.conn.Close() // may be closed already
}

// WaitClosed waits until the client has closed the connection, for at most within, and
// reports whether it has.
func (w *Writer) WaitClosed(within time.Duration) bool {
	if err := w.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return true
	}
	var one [1]byte
	_, err := w.conn.Read(one[:])
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Answer returns an act that runs the request and answers it.
func Answer(status int, body string) Act {
	return func(w *Writer, _ *http.Request) {
		w.RecordRun()
		w.Head(status, "Content-Length: "+strconv.Itoa(len(body))+"\r\nKeep-Alive: timeout=5\r\n")
		w.Raw(body)
	}
}

// Reject returns an act that answers that the request was not run.
func Reject(status int) Act {
	return func(w *Writer, _ *http.Request) {
		w.Head(status, "X-Not-Executed: 1\r\nContent-Length: 0\r\n")
	}
}

// Event returns the text of one event of a stream.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// AnswerWithTrailer returns an act that runs the request and answers it in chunks, with a
// trailer line that ends with CRLF.
func AnswerWithTrailer(body, trailerLine string) Act {
	return func(w *Writer, _ *http.Request) {
		w.RecordRun()
		w.Head(http.StatusOK, "Transfer-Encoding: chunked\r\n")
		w.Chunk(body)
		w.Raw("0\r\n" + trailerLine + "\r\n")
	}
}

// Stream returns an act that runs the request and sends the events that follow the
// request's Last-Event-ID, up to last. Then it calls end, or completes the answer if
// end is nil.
func Stream(last int, end Act) Act {
	return func(w *Writer, r *http.Request) {
		w.RecordRun()
		after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			after = 0
		}
		w.Head(http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		for id := after + 1; id <= last; id++ {
			w.Chunk(Event(id))
		}
		if end != nil {
			end(w, r)
			return
		}
		w.Raw("0\r\n\r\n")
	}
}

// Chunk writes one chunk of a chunked body.
func (w *Writer) Chunk(text string) { w.Raw(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// Crash is an act that resets the connection without an answer.
func Crash(w *Writer, _ *http.Request) { w.Close(true) }

// RunAndCrash is an act that runs the request and resets the connection without an
// answer.
func RunAndCrash(w *Writer, r *http.Request) {
	w.RecordRun()
	Crash(w, r)
}

// Hang is an act that runs the request and sends nothing until the client closes the
// connection, for at most a minute.
func Hang(w *Writer, _ *http.Request) {
	w.RecordRun()
	w.WaitClosed(time.Minute)
	w.closed = true
}

// RunAndStop is an act that runs the request and stops the whole worker, which cuts off
// all requests in progress.
func RunAndStop(w *Writer, _ *http.Request) {
	w.RecordRun()
	w.closed = true
	w.worker.Stop()
}
