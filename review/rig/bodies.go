package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["bodies"] = playBodies }

// playBodies: one tenant sends many times its usual, in requests with long bodies that take their time to
// arrive. A machine has to refuse what it can't hold. A process that exceeds MemoryMb is killed, and then the
// requests that it had passed on end without an answer (LOST).
func playBodies(c *Case) {
	const (
		memoryMb  = 284
		bodyBytes = 4_000_000 // MaxBodyBytes is 4,194,304
		uplink    = 1_000_000 // bytes a second of one client
		usual     = 3.0       // requests a second of the tenant at each machine
		times     = 7.5       // x of hot_tenant
		forS      = 6500 * time.Millisecond
		hotAt     = 10 * time.Second
		length    = 32 * time.Second
		deadline  = 15000
		nEntries  = 2
	)
	p := NewPlatform()
	p.Put("keyed.op", "config", config(7))
	r := newRuns(c.Record)
	for i := range 9 {
		startRunner(RunnerSpec{ID: fmt.Sprintf("i-%04x", i+1), Service: "huvo11a", Zone: zones[i%4], Version: "v1", Store: p.Store, IP: "127.0.0.1", Slots: 64, FirstMs: 300, GapMs: 40}, r.note)
	}
	for i := range 4 {
		startRunner(RunnerSpec{ID: fmt.Sprintf("i-p%03x", i+1), Service: "wuno96b", Zone: zones[i%4], Version: "v1", Store: p.Store, IP: "127.0.0.1", Slots: 6, WorkMs: 10}, r.note)
	}
	entries := startEntries(c.Repo, c.Dir, nEntries, p, Sheet{MemoryMb: memoryMb, MaxFds: 4100, Zones: zones})
	waitReady(entries, 20*time.Second)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	over, most := 0, 0.0
	stop := make(chan struct{})
	for _, e := range entries {
		e.OnEnd = func() { c.Record.Line("ended     the process of %s", e.Name) }
		go func() { // the platform kills a process that exceeds MemoryMb
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := e.Memory()
				mu.Lock()
				most = max(most, used)
				mu.Unlock()
				if used > memoryMb {
					mu.Lock()
					over++
					mu.Unlock()
					c.Record.Line("memory    %s holds %.0f MiB of %d: the platform kills its process", e.Name, used, memoryMb)
					e.Signal(syscall.SIGKILL)
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}

	body := bytes.Repeat([]byte("x"), bodyBytes)
	var count struct {
		sync.Mutex
		sent, whole, refused, lost, other int
	}
	one := func(e *Entry, id string, chunked bool) {
		count.Lock()
		count.sent++
		count.Unlock()
		got, kept := upload(e.Callers, id, body, chunked, uplink, deadline)
		ran := len(r.whoRan(id)) > 0
		c.Record.Line("client    %s at %s: status %d, complete %v, kept connection %v, run %v, %v", id, e.Name, got.Status, got.Complete, kept, ran, got.Err)
		count.Lock()
		defer count.Unlock()
		switch {
		case got.Status == 200 && got.Complete:
			count.whole++
		case got.Status == 503 || got.Status == 429:
			count.refused++
		case kept && ran && !got.Complete && got.Took < deadline*time.Millisecond:
			count.lost++
			c.Record.Line("LOST      %s: passed on to %v, and its connection ended without a complete answer", id, r.whoRan(id))
		default:
			count.other++
		}
	}
	begun := time.Now()
	var wg sync.WaitGroup
	for k, e := range entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(begun) < length; n++ {
				rate := usual
				if at := time.Since(begun); c.Trouble && at >= hotAt && at < hotAt+forS {
					rate *= times
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					one(e, fmt.Sprintf("%08x%08x", k+1, n), n%2 == 1)
				}()
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		}()
	}
	wg.Wait()
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	c.End(count.lost > 3, "%d requests: %d whole, %d refused, %d other, %d passed on whose connection ended without an answer; %d ends by memory, at most %.0f of %d MiB",
		count.sent, count.whole, count.refused, count.other, count.lost, over, most, memoryMb)
}

func (r *runs) whoRan(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.began[id]...)
}

// upload makes a short request on a new connection, and then a request with a long body on the same one.
func upload(address, id string, body []byte, chunked bool, perSecond, deadlineMs int) (a Answer, kept bool) {
	begun := time.Now()
	conn, err := dial(address)
	if err != nil {
		return Answer{Err: err}, false
	}
	defer conn.Close()
	fmt.Fprint(conn, head("GET", "ficu95.example", "/cufi504/2f", "a"+id, 1500)+"\r\n")
	if first := conn.answer("GET", begun, begun.Add(3*time.Second)); first.Close || first.Status == 0 {
		return first, false
	}
	begun = time.Now()
	until := begun.Add(time.Duration(deadlineMs) * time.Millisecond)
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprint(conn, head("POST", "ficu95.example", "/lohu930/2f", id, deadlineMs, "X-Model: m", "X-Token-Usage: 1460,360", "X-Prompt-Prefix: 5c1e0700:800,"+id+":660", framing)+"\r\n")
	answered := make(chan Answer, 1)
	go func() { answered <- conn.answer(http.MethodPost, begun, until) }()
	const piece = 50_000
	pause := time.Duration(float64(time.Second) * piece / float64(perSecond))
	next := time.Now()
	for at := 0; at < len(body); at += piece {
		part := body[at:min(at+piece, len(body))]
		if chunked {
			fmt.Fprintf(conn, "%x\r\n", len(part))
		}
		if _, err := conn.Write(part); err != nil {
			break
		}
		if chunked {
			fmt.Fprint(conn, "\r\n")
		}
		next = next.Add(pause)
		select {
		case a := <-answered:
			return a, true
		case <-time.After(time.Until(next)):
		}
	}
	if chunked {
		fmt.Fprint(conn, "0\r\n\r\n")
	}
	return <-answered, true
}
