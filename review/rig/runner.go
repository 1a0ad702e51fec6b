package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runRunner is a sound runner: it answers as PROTOCOL.md says, and prints what it runs.
func runRunner(text string) {
	var s RunnerSpec
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	l, err := net.Listen("tcp", s.IP+":0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	address := l.Addr().String()
	fmt.Println(address)
	var mu sync.Mutex
	say := func(what, id string, n int) {
		data, _ := json.Marshal(RunnerEvent{s.ID, what, id, n})
		mu.Lock()
		defer mu.Unlock()
		os.Stdout.Write(append(data, '\n')) // a pipe: what was written stays, however the process ends
	}
	slots := make(chan struct{}, s.Slots)
	seq := 0
	go func() {
		for {
			seq++
			entry := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":%q,"Slots":%d,"State":"ready","ColdLeftMs":0,"Seq":%d}`, s.Service, address, s.Zone, s.Version, s.Slots, seq)
			c := http.Client{Timeout: time.Second}
			if r, err := c.Post("http://"+s.Store+"/stand-in/beat?id="+s.ID, "application/json", strings.NewReader(entry)); err == nil {
				r.Body.Close()
			}
			time.Sleep(heartbeat)
		}
	}()
	handler := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if r.URL.Path == "/healthz" {
			w.Header().Set("X-Instance-Id", s.ID)
			return
		}
		if r.URL.Path == "/api/report" {
			answerJSON(w, 200, map[string]any{"Stage": "unified", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false, "Seq": 0, "WaitingReqs": 0, "RunningReqs": len(slots), "KvUsed": 0, "KvTotal": 600000, "Handles": 0})
			return
		}
		w.Header().Set("X-Request-Id", id)
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
			w.Header().Set("X-Instance-Id", s.ID)
			w.WriteHeader(421)
			return
		}
		if id == "" {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(400)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(503)
			return
		}
		say("runs", id, len(body))
		w.Header().Set("X-Response-Signature", "sig."+s.ID+"."+id)
		usage := r.Header.Get("X-Token-Usage")
		if usage == "" {
			time.Sleep(time.Duration(s.WorkMs) * time.Millisecond)
			answer := strings.Repeat("answer "+id+" ", 40)
			w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
			say("answers", id, len(answer))
			io.WriteString(w, answer)
			return
		}
		n := eventsOf(usage)
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		if s.Unframed {
			w.Header().Set("Transfer-Encoding", "identity") // net/http then neither chunks nor keeps the connection
			w.Header().Set("Connection", "close")
		}
		gone := r.Context().Done()
		wait := time.Duration(s.FirstMs) * time.Millisecond
		for i := from + 1; i <= n; i++ {
			select {
			case <-time.After(wait):
			case <-gone:
				say("dropped", id, i-1)
				return
			}
			wait = time.Duration(s.GapMs) * time.Millisecond
			fmt.Fprintf(w, "id: %d\ndata: %s token-%d\n\n", i, id, i)
			w.(http.Flusher).Flush()
			say("event", id, i)
		}
		say("ends", id, n)
	}
	http.Serve(l, http.HandlerFunc(handler))
}

// eventsOf returns how many events the answer to a request has: six tokens each.
func eventsOf(usage string) int {
	_, out, _ := strings.Cut(usage, ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(out))
	return max(1, tokens/6)
}
