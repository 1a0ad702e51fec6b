// Package worker is a stand-in for an upstream of the users' platform: it speaks
// the upstreams' headers over raw connections, counts what it ran, and misbehaves
// as told.
package worker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// RequestID is the header that names a request, for tests that speak to a worker
// without the adapter.
const RequestID = "X-Request-Id"

// Act is how the stand-in treats one request.
type Act func(w *Writer, r *http.Request)

// Worker is the stand-in.
type Worker struct {
	ID       string
	listener net.Listener

	mu         sync.Mutex
	queuedActs []Act
	defaultAct Act
	runs       map[string]int
	requests   []*http.Request
	conns      map[net.Conn]bool
	// bodies are those of the requests seen.
	bodies []string
	// limit is what all answers name as the rate that is taken; empty for none.
	limit string
	// limitNamedAt is when an answer first named a limit, and arrivals the requests since.
	limitNamedAt time.Time
	arrivals     []Arrival
}

// New starts a worker; it ends with the test.
func New(t testing.TB, id string) *Worker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &Worker{ID: id, listener: listener, defaultAct: Answer(http.StatusOK, "fine"), runs: make(map[string]int), conns: make(map[net.Conn]bool)}
	var work sync.WaitGroup
	work.Go(func() { w.accept(&work) })
	t.Cleanup(func() {
		w.Stop()
		work.Wait()
	})
	return w
}

// Address is where it listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Stop ends it as a crash does.
func (w *Worker) Stop() {
	_ = w.listener.Close() // a second stop finds it closed
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close() // cut off whatever is in progress
	}
}

// Next says how the next requests are treated, one each; later ones are answered.
func (w *Worker) Next(acts ...Act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queuedActs = append(w.queuedActs, acts...)
}

// Default says how requests are treated for which nothing else was said.
func (w *Worker) Default(act Act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.defaultAct = act
}

// Reset forgets how the next requests are to be treated.
func (w *Worker) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queuedActs = nil
}

// Ran returns how often a request ran.
func (w *Worker) Ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Seen returns the requests that came, and their bodies.
func (w *Worker) Seen() ([]*http.Request, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*http.Request(nil), w.requests...), append([]string(nil), w.bodies...)
}

// Connections returns how many connections are open.
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
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		work.Go(func() { w.serve(c) })
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close() // the exchange is over, one way or another
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

func (w *Worker) recordRequest(r *http.Request, body string) Act {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, r)
	w.bodies = append(w.bodies, body)
	if !w.limitNamedAt.IsZero() {
		w.arrivals = append(w.arrivals, Arrival{ID: r.Header.Get(RequestID), At: time.Now()})
	}
	if len(w.queuedActs) == 0 {
		return w.defaultAct
	}
	act := w.queuedActs[0]
	w.queuedActs = w.queuedActs[1:]
	return act
}

// Writer is what an Act answers with.
type Writer struct {
	worker  *Worker
	conn    net.Conn
	request *http.Request
	closed  bool
}

// Run notes that the request began to run.
func (w *Writer) Run() {
	w.worker.mu.Lock()
	defer w.worker.mu.Unlock()
	w.worker.runs[w.request.Header.Get(RequestID)]++
}

// Raw writes bytes as they are.
func (w *Writer) Raw(text string) {
	// The other side may be gone, which is what some tests want.
	_, _ = io.WriteString(w.conn, text)
}

// Head writes a status line and the headers of a genuine answer.
func (w *Writer) Head(status int, more string) {
	w.Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Response-Signature: sig-%s\r\nX-Instance-Id: %s\r\n%s%s\r\n",
		status, w.request.Header.Get(RequestID), w.worker.ID, w.worker.ID, w.worker.limitHeader(), more))
}

// Close ends the connection; with reset it is reset.
func (w *Writer) Close(reset bool) {
	w.closed = true
	if c, ok := w.conn.(*net.TCPConn); ok && reset {
		_ = c.SetLinger(0) // only a reset is wanted; a closed connection has none
	}
	_ = w.conn.Close() // seen by the other side, which is the point
}

// Gone waits until the other side has closed the connection, or for a time, and
// reports which.
func (w *Writer) Gone(within time.Duration) bool {
	if err := w.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return true
	}
	var one [1]byte
	_, err := w.conn.Read(one[:])
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Answer runs the request and answers.
func Answer(status int, body string) Act {
	return func(w *Writer, _ *http.Request) {
		w.Run()
		w.Head(status, "Content-Length: "+strconv.Itoa(len(body))+"\r\nKeep-Alive: timeout=5\r\n")
		w.Raw(body)
	}
}

// Reject says that the request was not run.
func Reject(status int) Act {
	return func(w *Writer, _ *http.Request) {
		w.Head(status, "X-Not-Executed: 1\r\nContent-Length: 0\r\n")
	}
}

// Event is one event of a stream.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// Stream runs the request and sends events from after the one that the request
// names, up to last; then end is called, or the stream ends as complete.
func Stream(last int, end Act) Act {
	return func(w *Writer, r *http.Request) {
		w.Run()
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

// Chunk writes one chunk.
func (w *Writer) Chunk(text string) { w.Raw(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// Crash ends the connection without a word.
func Crash(w *Writer, _ *http.Request) { w.Close(true) }

// RunAndCrash runs the request and loses the answer.
func RunAndCrash(w *Writer, r *http.Request) {
	w.Run()
	Crash(w, r)
}

// Hang runs the request and says nothing until the other side leaves.
func Hang(w *Writer, _ *http.Request) {
	w.Run()
	w.Gone(time.Minute)
	w.closed = true
}

// RunAndEnd runs the request and ends the whole worker: its listener and all that is in
// progress.
func RunAndEnd(w *Writer, _ *http.Request) {
	w.Run()
	w.closed = true
	w.worker.Stop()
}
