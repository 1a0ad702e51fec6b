package membudget

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// checkSums fails the test if the sums of a budget are not those of its shares, or are beyond its bounds.
func checkSums(t rapid.TB, b *Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var held, yielding, fixed, closingFixed int64
	closing := 0
	for c := range b.conns {
		held += c.held
		fixed += c.fixed
		if c.yielded {
			closing++
			closingFixed += c.fixed
			yielding += c.held
		}
	}
	for r := range b.requests {
		held += r.held
		if r.yielded {
			yielding += r.held
		}
	}
	if held != b.held || yielding != b.yielding || closing != b.closing || fixed != b.fixed || closingFixed != b.closingFixed {
		t.Fatalf("held %d, yielding %d, closing %d, fixed %d, closing %d; the shares add up to %d, %d, %d, %d, %d",
			b.held, b.yielding, b.closing, b.fixed, b.closingFixed, held, yielding, closing, fixed, closingFixed)
	}
	for c := range b.heads {
		if _, open := b.conns[c]; !open || c.headBytes == 0 {
			t.Fatalf("a connection without a long head counts as one with it")
		}
	}
	if b.fixed-b.closingFixed > b.fixedLimit() {
		t.Fatalf("connections hold %d by themselves, %d of them closing; the limit is %d", b.fixed, b.closingFixed, b.fixedLimit())
	}
	if b.held > b.cfg.Bytes+b.yielding {
		t.Fatalf("%d bytes are held, %d of them by those that yield; the limit is %d", b.held, b.yielding, b.cfg.Bytes)
	}
	if len(b.conns)-b.closing > b.maxConnections() {
		t.Fatalf("%d connections, %d of them closing; the limit is %d", len(b.conns), b.closing, b.maxConnections())
	}
}

// Guards against callers that hold more than the budget, whatever they do, and against shares that are not
// given back: callers connect, send bodies of any length at any pace, stop short or leave.
func TestWhatCallersHoldStaysWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		testkit.Bubble(t, func() {
			b := newTestBudget(rapid.Int64Range(1<<20, 4<<20).Draw(rt, "bytes"), rapid.IntRange(1, 40).Draw(rt, "connections"))
			var work sync.WaitGroup
			for range rapid.IntRange(1, 60).Draw(rt, "callers") {
				pause := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond
				length := rapid.IntRange(0, 1<<20).Draw(rt, "length")
				stops := rapid.IntRange(0, 2<<20).Draw(rt, "stops after")
				piece := rapid.IntRange(1, 256<<10).Draw(rt, "piece")
				chunked := rapid.Bool().Draw(rt, "chunked")
				shared := rapid.SampledFrom([]int64{0, 0, 100 << 10}).Draw(rt, "shared")
				answered := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "answered in")) * time.Millisecond
				work.Go(func() {
					time.Sleep(pause)
					playCaller(t, rt, b, shared, length, stops, piece, chunked, answered)
				})
			}
			work.Wait()
			time.Sleep(10 * time.Second)
			checkSums(rt, b)
			if s := b.State(); s.Bytes != 0 || s.Connections != 0 || s.Arriving+s.Answered != 0 {
				rt.Fatalf("after all have left: %+v", s)
			}
		})
	})
}

// playCaller sends one body that stops after some bytes, and leaves.
func playCaller(t testing.TB, rt *rapid.T, b *Budget, shared int64, length, stops, piece int, chunked bool, answered time.Duration) {
	c := connect(b)
	defer c.leave()
	checkSums(rt, b)
	if c.conn == nil {
		return
	}
	if shared > 0 && !c.conn.Multiplex(shared) {
		return
	}
	checkSums(rt, b)
	body := newArrivingBody()
	r, err := b.Begin(c.conn, 0, yieldFunc(sync.OnceFunc(func() { close(body.cut) })))
	if err != nil {
		return
	}
	defer r.End()
	declared := int64(length)
	if chunked {
		declared = -1
	}
	result := make(chan error, 1)
	go func() {
		_, err := r.ReadBody(framed(body, declared), declared, 1<<20)
		result <- err
	}()
	for sent := 0; sent < min(length, stops); sent += piece {
		select {
		case body.more <- make([]byte, min(piece, length-sent)):
		case err := <-result:
			result <- err
		case <-body.cut:
		}
		checkSums(rt, b)
		time.Sleep(10 * time.Millisecond)
	}
	if stops < length {
		select {
		case <-time.After(5 * time.Second):
		case <-body.cut:
		case err := <-result:
			result <- err
		}
	}
	close(body.more)
	if err := <-result; err == nil {
		time.Sleep(answered)
	}
	checkSums(rt, b)
}
