package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id, entry string
	status    int
	signature string
	// events are those of a stream, and bytes all that was received.
	events, bytes int
	// complete: the answer came to its end by the protocol.
	complete bool
	err      error
}

// load sends requests at a steady rate to all entry processes in turn until stopped.
type load struct {
	s *system
	// bids: requests are those of the application, and otherwise streams.
	bids    bool
	stopped chan struct{}
	work    sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

func (s *system) startLoad(perSecond float64, bids bool) *load {
	l := &load{s: s, bids: bids, stopped: make(chan struct{})}
	clients := make([]*http.Client, len(s.entries))
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}
	}
	l.work.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-l.stopped:
				return
			case <-time.After(time.Duration(float64(time.Second) / perSecond)):
			}
			l.work.Go(func() { l.send(clients[n%len(clients)], s.entries[n%len(s.entries)], "rq"+strconv.Itoa(n)) })
		}
	})
	return l
}

// stop ends the load and returns all answers.
func (l *load) stop() []answer {
	close(l.stopped)
	l.work.Wait()
	return l.answers
}

// send sends one request and reads its answer to the end.
func (l *load) send(client *http.Client, e *entryProcess, id string) {
	a := answer{id: id, entry: e.name}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	headers := map[string]string{"X-Request-Id": id, "X-Request-Deadline": "1000", "Authorization": "Bearer " + key}
	path := bidPath
	if !l.bids {
		path = streamPath
		headers["X-Request-Deadline"], headers["X-Model"], headers["X-Token-Usage"] = "15000", "m", "1460,384"
		headers["X-Prompt-Prefix"] = sharedPart(id) + ":800," + strconv.FormatUint(uint64(len(id))<<32|hash(id), 16) + ":660"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+path, bytes.NewReader([]byte("for "+id)))
	if err != nil {
		panic(err) // the address is valid
	}
	request.Host = host
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
	} else {
		var body []byte
		body, a.err = io.ReadAll(response.Body)
		response.Body.Close()
		a.status, a.signature, a.events, a.bytes, a.complete = response.StatusCode, response.Header.Get("X-Response-Signature"), bytes.Count(body, []byte("\n\n")), len(body), a.err == nil
	}
	l.s.note("client: %s by %s: status %d, signature %q, %d bytes, %d events, complete %v, error %v", a.id, a.entry, a.status, a.signature, a.bytes, a.events, a.complete, a.err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// sharedPart is the shared part of a request's prompt, one of the 88 that the sheet's site has.
func sharedPart(id string) string { return strconv.FormatUint(0x5c1e0000+hash(id+"thing")%88, 16) }

// hash is a short number of a text.
func hash(text string) uint64 {
	sum := uint64(2166136261)
	for _, c := range []byte(text) {
		sum = (sum ^ uint64(c)) * 16777619 & 0xffffffff
	}
	return sum
}
