package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Platform is a stand-in for the users' platform: its store (a log, PROTOCOL.md, "The platform's metadata
// store") and its API for duties. It is sound: linearizable, fast, and it loses nothing.
type Platform struct {
	Store, Cloud string // addresses

	mu     sync.Mutex
	topics map[string]*topic
	beats  map[string]beat
	// Calls are the calls to the API for duties, in order.
	Calls []CloudCall
}

type topic struct {
	records [][]byte // as appended, without their length
	newest  map[string]int
	changed chan struct{}
}

type beat struct {
	value string
	at    time.Time
}

// CloudCall is a call to the API for duties.
type CloudCall struct {
	At                  time.Time
	Path, Holder, Fence string
	Body                string
}

const heartbeat = 1200 * time.Millisecond

// NewPlatform starts the stand-in on free ports of two loopback addresses.
func NewPlatform() *Platform {
	p := &Platform{topics: map[string]*topic{}, beats: map[string]beat{}}
	store := http.NewServeMux()
	store.HandleFunc("POST /api/log-append", p.append)
	store.HandleFunc("GET /api/log-read", p.read)
	store.HandleFunc("GET /api/log-newest", p.listNewest)
	// The stand-in's own way for runners to write their entries.
	store.HandleFunc("POST /stand-in/beat", p.beat)
	cloud := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		p.mu.Lock()
		p.Calls = append(p.Calls, CloudCall{time.Now(), r.URL.Path, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"), string(body)})
		p.mu.Unlock()
		w.WriteHeader(200)
	})
	p.Store, p.Cloud = serve("127.0.0.1", store), serve("127.0.0.1", cloud)
	go p.expire()
	return p
}

func serve(ip string, h http.Handler) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannot("listen: %v", err)
	}
	go http.Serve(l, h)
	return l.Addr().String()
}

// of returns a topic. The caller holds p.mu.
func (p *Platform) of(name string) *topic {
	t := p.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, changed: make(chan struct{})}
		p.topics[name] = t
	}
	return t
}

// add appends records to a topic. The caller holds p.mu.
func (t *topic) add(records [][]byte, keyed bool) {
	for _, r := range records {
		if keyed && len(r) > 0 && len(r) >= 1+int(r[0]) {
			t.newest[string(r[1:1+int(r[0])])] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// Put writes a keyed record, as the operator and the runners do; an empty value drops the key.
func (p *Platform) Put(topicName, key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(topicName).add([][]byte{append(append([]byte{byte(len(key))}, key...), value...)}, true)
}

func isKeyed(name string) bool { return len(name) > 6 && name[:6] == "keyed." }

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	q := r.URL.Query()
	name := q.Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(403)
		return
	}
	time.Sleep(4 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(name)
	if at := q.Get("At"); at != "" && at != strconv.Itoa(len(t.records)) {
		answerJSON(w, 412, map[string]int{"End": len(t.records)})
		return
	}
	first := len(t.records)
	t.add(records, isKeyed(name))
	answerJSON(w, 200, map[string]int{"Offset": first, "End": len(t.records)})
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	until := time.After(time.Duration(waitMs) * time.Millisecond)
	p.mu.Lock()
	t := p.of(q.Get("Topic"))
	for waiting := waitMs > 0; waiting && from >= len(t.records); {
		changed := t.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		p.mu.Lock()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(t.records); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
		out = append(out, t.records[i]...)
	}
	p.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	w.Write(out)
}

func (p *Platform) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(q.Get("Topic"))
	type item struct {
		Key, Value string
		Offset     int
	}
	items, keys := []item{}, []string{}
	for key, at := range t.newest {
		if len(t.records[at]) > 1+len(key) && key > q.Get("After") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	for _, key := range keys[:min(500, len(keys))] {
		at := t.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[at][1+len(key):]), at})
	}
	answerJSON(w, 200, map[string]any{"Items": items, "HasMore": more, "End": len(t.records)})
}

// beat takes a runner's heartbeat: its entry.
func (p *Platform) beat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.URL.Query().Get("id")
	p.mu.Lock()
	p.beats[id] = beat{string(body), time.Now()}
	p.mu.Unlock()
	p.Put("keyed.servers", id, string(body))
}

// expire removes entries after three heartbeat intervals of silence.
func (p *Platform) expire() {
	for range time.Tick(100 * time.Millisecond) {
		var gone []string
		p.mu.Lock()
		for id, b := range p.beats {
			if time.Since(b.at) > 3*heartbeat {
				gone = append(gone, id)
				delete(p.beats, id)
			}
		}
		p.mu.Unlock()
		for _, id := range gone {
			p.Put("keyed.servers", id, "")
		}
	}
}

// Alive returns how many runners have an entry.
func (p *Platform) Alive() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.beats)
}

// sayf formats a line of the record.
func sayf(format string, a ...any) string { return fmt.Sprintf(format, a...) }
