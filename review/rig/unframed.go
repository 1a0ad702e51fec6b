package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

type m = map[string]any

// config is the operator's configuration: one service of model runners, one plain service.
func config(version int) string {
	route := func(name, path, kind, service string, timeout, goal, attempts int, resumable bool) m {
		r := m{"Name": name, "Host": "ficu95.example", "PathPrefix": path, "Kind": kind, "TimeoutMs": timeout, "GoalMs": goal, "Priority": 1, "Service": service, "Attempts": attempts, "Public": false, "Resumable": resumable}
		if kind == "streaming" {
			r["Sticky"], r["GapGoalMs"] = true, 400
		}
		return r
	}
	data, _ := json.Marshal(m{
		"Version": version,
		"Routes": []m{
			route("r-dossier", "/lohu930/", "streaming", "huvo11a", 15000, 1000, 1, false),
			route("r-notice", "/pufi791/", "streaming", "huvo11a", 12000, 500, 2, true),
			route("r-bid", "/puxa403/", "non_idempotent", "wuno96b", 1500, 300, 1, false),
			route("r-lookup", "/cufi504/", "idempotent", "wuno96b", 1500, 300, 2, false),
		},
		"Services": []m{
			{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 370, "Protocol": "h1", "Tls": false, "Engine": m{"Slots": 64, "KvCapacity": 610348, "KvBytes": 35136, "LinkMbps": 260000.0, "Stride": 6, "Models": []m{{"Name": "m"}}}},
			{"Name": "wuno96b", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits":  m{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []m{{"Name": "hule930", "ApiKeys": []string{apiKey}, "Priority": 1, "Unit": "token_count", "UncachedTokens": 200, "RatePerS": 162128, "Burst": 162128}},
	})
	return string(data)
}

var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d"}

// runs are what the runners did, by request.
type runs struct {
	mu     sync.Mutex
	began  map[string][]string // runners that began to work on a request
	events map[string]int      // the last event that a runner made
	ended  map[string]bool     // a runner came to the end
	bodies map[string]int      // the length of the body that a runner read
	now    map[string]map[string]bool
	record *Record
}

func newRuns(r *Record) *runs {
	return &runs{began: map[string][]string{}, events: map[string]int{}, ended: map[string]bool{}, bodies: map[string]int{}, now: map[string]map[string]bool{}, record: r}
}

func (r *runs) note(e RunnerEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.What {
	case "runs":
		r.began[e.ID] = append(r.began[e.ID], e.Runner)
		r.bodies[e.ID] = e.N
		if r.now[e.Runner] == nil {
			r.now[e.Runner] = map[string]bool{}
		}
		r.now[e.Runner][e.ID] = true
		r.record.Line("run       %s by %s, body %d bytes", e.ID, e.Runner, e.N)
	case "event":
		r.events[e.ID] = max(r.events[e.ID], e.N)
	case "ends", "answers", "dropped":
		r.ended[e.ID] = e.What != "dropped"
		delete(r.now[e.Runner], e.ID)
		r.record.Line("%-9s %s by %s at %d", e.What, e.ID, e.Runner, e.N)
	}
}

func init() { plays["unframed"] = playUnframed }

// playUnframed: runners crash while they answer with streams that have neither a length nor chunks. A client
// must not take the part that came for the whole stream (ORDER).
func playUnframed(c *Case) {
	const (
		forS      = 45 * time.Second
		crashes   = 4
		downFor   = 4500 * time.Millisecond // for_s of srv_crash
		nRunners  = 9
		nClients  = 6
		maxEvents = 64
	)
	p := NewPlatform()
	p.Put("keyed.op", "config", config(7))
	r := newRuns(c.Record)
	var mu sync.Mutex
	runners := map[int]*RunnerProcess{}
	generation := 0
	start := func(i int) {
		mu.Lock()
		defer mu.Unlock()
		generation++
		runners[i] = startRunner(RunnerSpec{ID: fmt.Sprintf("i-%04x", generation), Service: "huvo11a", Zone: zones[i%4], Version: "v1", Store: p.Store, IP: "127.0.0.1",
			Slots: 64, Unframed: true, FirstMs: 60, GapMs: 25}, r.note)
	}
	for i := range nRunners {
		start(i)
	}
	plain := startRunner(RunnerSpec{ID: "i-plain", Service: "wuno96b", Zone: "hall-a", Version: "v1", Store: p.Store, IP: "127.0.0.1", Slots: 6, WorkMs: 30}, r.note)
	_ = plain
	entries := startEntries(c.Repo, c.Dir, 3, p, Sheet{MemoryMb: 284, MaxFds: 4100, Zones: zones})
	waitReady(entries, 20*time.Second)
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	var count struct {
		sync.Mutex
		sent, whole, cut, failed, short int
	}
	end := time.Now().Add(forS)
	for k := range nClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%08x%08x", k+1, n)
				route, path, deadline := "dossier", "/lohu930/2f", 15000
				if (k+n)%2 == 1 {
					route, path, deadline = "notice", "/pufi791/2f", 12000
				}
				want := 40 + (k*7+n*13)%(maxEvents-40)
				got := stream(entries[k%len(entries)].Callers, path, id, deadline, want, (k*31+n*7)%88)
				c.Record.Line("client    %s %s: status %d, complete %v, %d of %d events, %v", id, route, got.Status, got.Complete, got.last, want, got.Err)
				count.Lock()
				count.sent++
				switch {
				case got.Status == 200 && got.Complete && got.last == want:
					count.whole++
				case got.Status == 200 && got.Complete:
					count.short++
					c.Record.Line("ORDER     %s: the answer ended as complete after event %d of %d; its runner made %d", id, got.last, want, r.made(id))
				case got.Status == 200:
					count.cut++
				default:
					count.failed++
				}
				count.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	if c.Trouble {
		for n := range crashes {
			time.Sleep(time.Until(end.Add(-forS + time.Duration(5+10*n)*time.Second)))
			// A runner that is in the middle of a stream.
			at := -1
			for tries := 0; at < 0 && tries < 500; tries++ {
				mu.Lock()
				for i, p := range runners {
					if r.inMiddle(p.ID) {
						at = i
					}
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
			if at < 0 {
				continue
			}
			mu.Lock()
			victim := runners[at]
			delete(runners, at)
			mu.Unlock()
			victim.Kill()
			c.Record.Line("crash     %s is killed, for %v; it worked on %s", victim.ID, downFor, r.working(victim.ID))
			time.AfterFunc(downFor, func() { start(at) })
		}
	}
	wg.Wait()
	c.End(count.short > 0, "%d streams: %d whole, %d cut visibly, %d failed, %d ended as complete before their last event", count.sent, count.whole, count.cut, count.failed, count.short)
}

func (r *runs) made(id string) int { r.mu.Lock(); defer r.mu.Unlock(); return r.events[id] }

// inMiddle reports whether a runner is in the middle of a stream.
func (r *runs) inMiddle(runner string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.now[runner] {
		if n := r.events[id]; n >= 5 && n < 30 {
			return true
		}
	}
	return false
}

func (r *runs) working(runner string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.now[runner] {
		ids = append(ids, id)
	}
	return strings.Join(ids, ", ")
}

type streamed struct {
	Answer
	last int
}

// stream sends a request for a stream and reads it to its end.
func stream(address, path, id string, deadlineMs, events, lot int) streamed {
	begun := time.Now()
	conn, err := dial(address)
	if err != nil {
		return streamed{Answer: Answer{Err: err}}
	}
	defer conn.Close()
	body := strings.Repeat("x", 800)
	fmt.Fprint(conn, head("POST", "ficu95.example", path, id, deadlineMs, "X-Model: m", fmt.Sprintf("X-Token-Usage: 1460,%d", events*6), fmt.Sprintf("X-Prompt-Prefix: 5c1e07%02x:800,%s:660", lot, id[8:]+id[:8]), "Content-Type: application/json", "Content-Length: "+strconv.Itoa(len(body)))+"\r\n"+body)
	s := streamed{Answer: conn.answer("POST", begun, begun.Add(time.Duration(deadlineMs)*time.Millisecond+time.Second))}
	for line := range strings.SplitSeq(string(s.Body), "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.last, _ = strconv.Atoi(id)
		}
	}
	return s
}
