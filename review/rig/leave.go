package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { plays["leave"] = playLeave }

// playLeave: clients leave before their answer. They close their connections in an orderly way: they send the
// end of their side, and read until the other side has closed too. None of them may get a success that no
// runner gave (MIXED).
func playLeave(c *Case) {
	const (
		share  = 0.2 // of give_up
		forS   = 5500 * time.Millisecond
		length = 24 * time.Second
		nUsers = 12
	)
	p := NewPlatform()
	p.Put("keyed.op", "config", config(7))
	r := newRuns(c.Record)
	for i := range 4 {
		startRunner(RunnerSpec{ID: fmt.Sprintf("i-p%03x", i+1), Service: "wuno96b", Zone: zones[i%4], Version: "v1", Store: p.Store, IP: "127.0.0.1", Slots: 6, WorkMs: 100}, r.note)
		startRunner(RunnerSpec{ID: fmt.Sprintf("i-%04x", i+1), Service: "huvo11a", Zone: zones[i%4], Version: "v1", Store: p.Store, IP: "127.0.0.1", Slots: 64, FirstMs: 250, GapMs: 25}, r.note)
	}
	entries := startEntries(c.Repo, c.Dir, 3, p, Sheet{MemoryMb: 284, MaxFds: 4100, Zones: zones})
	waitReady(entries, 20*time.Second)
	time.Sleep(2 * time.Second)

	var count struct {
		sync.Mutex
		sent, left, whole, closed, other, forged, ran int
	}
	rng := rand.New(rand.NewSource(1))
	begun := time.Now()
	giveUp := func(at time.Duration) bool {
		return c.Trouble && (at >= 4*time.Second && at < 4*time.Second+forS || at >= 14*time.Second && at < 14*time.Second+forS)
	}
	var wg sync.WaitGroup
	for k := range nUsers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(begun) < length; n++ {
				id := fmt.Sprintf("%08x%08x", k+1, n)
				count.Lock()
				leaves := giveUp(time.Since(begun)) && rng.Float64() < share
				within := time.Duration(20+rng.Intn(55)) * time.Millisecond // half of the aim of 150 ms
				count.Unlock()
				path, fields, body := "/puxa403/2f", []string{}, `{"bid":1}`
				if n%3 == 2 {
					path = "/lohu930/2f"
					fields = append(fields, "X-Model: m", "X-Token-Usage: 1460,60", fmt.Sprintf("X-Prompt-Prefix: 5c1e07%02x:800,%s:660", n%88, id[8:]+id[:8]))
				}
				fields = append(fields, fmt.Sprintf("Content-Length: %d", len(body)))
				conn, err := dial(entries[k%len(entries)].Callers)
				if err != nil {
					cannot("%v", err)
				}
				sent := time.Now()
				fmt.Fprint(conn, head("POST", "ficu95.example", path, id, 1500, fields...)+"\r\n"+body)
				if leaves {
					time.AfterFunc(within, func() { conn.Conn.(*net.TCPConn).CloseWrite() })
				}
				got := conn.answer(http.MethodPost, sent, sent.Add(3*time.Second))
				conn.Close()
				ran := r.whoRan(id)
				c.Record.Line("client    %s %s: leaves %v, status %d, complete %v, signature %q, body %d bytes, run by %v, %v", id, path, leaves, got.Status, got.Complete, got.Signature, len(got.Body), ran, got.Err)
				count.Lock()
				count.sent++
				if leaves {
					count.left++
				}
				switch {
				case got.Status/100 == 2 && got.Signature == "":
					count.forged++
					if len(ran) > 0 {
						count.ran++
					}
					c.Record.Line("MIXED     %s: the client got %d with %d bytes and no X-Response-Signature after %v; run by %v", id, got.Status, len(got.Body), got.Took.Round(time.Millisecond), ran)
				case got.Status == 200 && got.Complete:
					count.whole++
				case got.Status == 0:
					count.closed++
				default:
					count.other++
				}
				count.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	c.End(count.forged > 0, "%d requests, %d clients left: %d whole answers, %d closed without an answer, %d other, %d successes without a runner's signature (%d of them to requests that a runner had begun)",
		count.sent, count.left, count.whole, count.closed, count.other, count.forged, count.ran)
}
