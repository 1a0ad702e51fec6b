package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["connections"] = playConnections }

// playConnections: many users come at once. Each keeps its connection, as clients do, and uses it again before
// four fifths of IdleTimeoutMs. A machine has descriptors for all of them, and has to answer each by its route's
// TimeoutMs (CONFIG).
func playConnections(c *Case) {
	const (
		maxFds    = 4100
		usual     = 1500 // connections at the first machine; the second has few
		few       = 100
		times     = 1.7 // x of burst
		forS      = 3 * time.Second
		burstAt   = 14 * time.Second
		length    = 26 * time.Second
		every     = 9 * time.Second // IdleTimeoutMs is 15,000
		timeoutMs = 1500
		deadline  = 3000
	)
	p := NewPlatform()
	p.Put("keyed.op", "config", config(7))
	r := newRuns(c.Record)
	for i := range 4 {
		startRunner(RunnerSpec{ID: fmt.Sprintf("i-p%03x", i+1), Service: "wuno96b", Zone: zones[i%4], Version: "v1", Store: p.Store, IP: "127.0.0.1", Slots: 6, WorkMs: 5}, r.note)
	}
	startRunner(RunnerSpec{ID: "i-0001", Service: "huvo11a", Zone: zones[0], Version: "v1", Store: p.Store, IP: "127.0.0.1", Slots: 64, FirstMs: 60, GapMs: 25}, r.note)
	entries := startEntries(c.Repo, c.Dir, 2, p, Sheet{MemoryMb: 284, MaxFds: maxFds, Zones: zones})
	waitReady(entries, 20*time.Second)
	time.Sleep(2 * time.Second)

	var count struct {
		sync.Mutex
		sent, inTime, late, never, noConnection int
	}
	var wg sync.WaitGroup
	user := func(e *Entry, name string, first, until time.Time) {
		defer wg.Done()
		time.Sleep(time.Until(first))
		conn, err := dial(e.Callers)
		if errors.Is(err, syscall.EMFILE) {
			cannot("too few descriptors for the clients: %v", err)
		}
		if err != nil {
			count.Lock()
			defer count.Unlock()
			count.noConnection++
			c.Record.Line("client    %s at %s: no connection: %v", name, e.Name, err)
			return
		}
		defer conn.Close()
		for n := 0; time.Now().Before(until); n++ {
			id := fmt.Sprintf("%s%06x", name, n)
			begun := time.Now()
			body := `{"bid":1}`
			fmt.Fprint(conn, head("POST", "ficu95.example", "/puxa403/2f", id, deadline, "Content-Type: application/json", fmt.Sprintf("Content-Length: %d", len(body)))+"\r\n"+body)
			got := conn.answer(http.MethodPost, begun, begun.Add(deadline*time.Millisecond))
			count.Lock()
			count.sent++
			switch {
			case got.Took <= timeoutMs*time.Millisecond:
				count.inTime++
			case got.Took <= (timeoutMs+500)*time.Millisecond:
				count.late++
			default:
				count.never++
				c.Record.Line("CONFIG    %s at %s: no answer %v after it was sent, on a connection that was made: status %d, %v", id, e.Name, got.Took.Round(time.Millisecond), got.Status, got.Err)
			}
			count.Unlock()
			if n < 2 || got.Status != 200 {
				c.Record.Line("client    %s at %s: status %d after %v, %v", id, e.Name, got.Status, got.Took.Round(time.Millisecond), got.Err)
			}
			if got.Close {
				return
			}
			if pause := time.Until(begun.Add(every)); time.Now().Add(pause).Before(until) {
				time.Sleep(pause)
			} else {
				time.Sleep(time.Until(until))
			}
		}
	}
	begun := time.Now()
	spread := func(from, over time.Duration, i, n int) time.Time {
		return begun.Add(from + over*time.Duration(i)/time.Duration(n))
	}
	for k, e := range entries {
		users := []int{usual, few}[k]
		for i := range users {
			wg.Add(1)
			go user(e, fmt.Sprintf("%02x%06x", k+1, i), spread(0, every, i, users), begun.Add(length))
		}
		if c.Trouble {
			more := int(float64(users)*times) - users
			for i := range more {
				wg.Add(1)
				go user(e, fmt.Sprintf("%02xb%05x", k+1, i), spread(burstAt, time.Second, i, more), begun.Add(burstAt+forS))
			}
		}
	}
	go func() {
		for range time.Tick(time.Second) {
			for _, e := range entries {
				c.Record.Line("readiness %s: %v", e.Name, e.IsReady())
			}
		}
	}()
	wg.Wait()
	unanswered := count.late + count.never
	c.End(count.never > 0 && 2*count.never > unanswered, "%d requests: %d answered by TimeoutMs, %d not, of which %d had no answer half a second later; %d without a connection",
		count.sent, count.inTime, unanswered, count.never, count.noConnection)
}
