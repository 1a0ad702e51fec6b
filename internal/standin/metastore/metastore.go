// Package metastore is an in-memory stand-in for the store of the users' platform.
// It serves the store's HTTP API for keyed topics of one partition, and injects
// faults.
package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store handles calls.
type Mode int

// The modes.
const (
	// Up: calls are executed and answered.
	Up Mode = iota
	// Refusing: calls are answered with status 503 and not executed.
	Refusing
	// Silent: calls are neither executed nor answered.
	Silent
	// LosingAnswers: appends are executed but not answered; reads are answered.
	LosingAnswers
	// Late: appends are not answered, and executed when RunLate is called if their condition
	// holds then; reads are answered.
	Late
)

// Store is the stand-in; New returns one. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	mode   Mode
	// refuseWhere reports whether a call is refused; nil refuses none.
	refuseWhere func(r *http.Request) bool
	// calls counts calls by path.
	calls map[string]int
	// era is named in all answers; 0 in none.
	era uint64
	// late are the appends that RunLate executes.
	late []func()
}

type topic struct {
	// records holds all records at their offsets, expired ones included.
	records []record
	// firstKept is the lowest offset that can still be read.
	firstKept int
	// appended is closed and replaced at each append.
	appended chan struct{}
}

type record struct {
	key   string
	value []byte
	// at is when the record was written.
	at time.Time
}

// New returns an empty store that is up.
func New() *Store { return &Store{topics: make(map[string]*topic), calls: make(map[string]int)} }

// SetMode changes how calls are handled.
func (s *Store) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// RefuseWhere answers the calls that match as in mode Refusing; nil matches none.
func (s *Store) RefuseWhere(match func(*http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseWhere = match
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Write appends a record directly, regardless of the mode, as operators and
// upstreams do. A nil value deletes the key. It returns the record's offset.
func (s *Store) Write(name, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(name, []record{{key: key, value: value}})
}

// ExpireHistory expires a topic's history; the newest record of each key can still be read
// by key.
func (s *Store) ExpireHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstKept = len(t.records)
}

// Newest returns a key's newest value, or nil if there is none or it was deleted.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	for i := len(t.records) - 1; i >= 0; i-- {
		if t.records[i].key == key {
			return t.records[i].value
		}
	}
	return nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name string, records []record) int {
	t := s.topic(name)
	first := len(t.records)
	now := time.Now()
	for i := range records {
		records[i].at = now
	}
	t.records = append(t.records, records...)
	close(t.appended)
	t.appended = make(chan struct{})
	return first
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	mode := s.mode
	nameEra(w, s.era)
	if s.refuseWhere != nil && s.refuseWhere(r) {
		mode = Refusing
	}
	s.mu.Unlock()
	switch mode {
	case Refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		hang(r)
		return
	}
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r, mode)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// hang blocks until the client closes its connection, which net/http notices only
// once the body was read.
func hang(r *http.Request) {
	// The client may be gone already.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, mode Mode) {
	body, err := io.ReadAll(r.Body)
	records, ok := decodeRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, at := r.URL.Query().Get("Topic"), r.URL.Query().Get("At")
	if mode == Late {
		s.mu.Lock()
		s.late = append(s.late, func() { s.appendIf(name, at, records) })
		s.mu.Unlock()
		hang(r)
		return
	}
	offset, end, era, done := s.appendIf(name, at, records)
	nameEra(w, era)
	if !done {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"End": end})
		return
	}
	if mode == LosingAnswers {
		hang(r)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"Offset": offset, "End": end})
}

// appendIf appends records if the topic ends at an offset, or unconditionally if that is empty, and
// returns their offset, the end and the era.
func (s *Store) appendIf(name, at string, records []record) (offset, end int, era uint64, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end = len(s.topic(name).records)
	if at != "" && at != strconv.Itoa(end) {
		return 0, end, s.era, false
	}
	offset = s.append(name, records)
	return offset, offset + len(records), s.era, true
}

func decodeRecords(body []byte) ([]record, bool) {
	var out []record
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if length > len(body) || length < 1 || 1+int(body[0]) > length {
			return nil, false
		}
		end := 1 + int(body[0])
		rec := record{key: string(body[1:end])}
		if length > end {
			rec.value = append([]byte(nil), body[end:length]...)
		}
		out = append(out, rec)
		body = body[length:]
	}
	return out, len(body) == 0
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("From"))
	wait, errWait := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(query.Get("Topic"))
		first, end, appended := t.firstKept, len(t.records), t.appended
		var records []record
		if from >= first && from < end {
			records = t.records[from:]
		}
		era := s.era
		s.mu.Unlock()
		nameEra(w, era)
		if from < first || from > end {
			writeJSON(w, http.StatusGone, map[string]int{"First": first})
			return
		}
		if len(records) == 0 && wait > 0 {
			select {
			case <-appended:
				continue
			case <-timer.C:
				wait = 0
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		// The client may be gone; it reads again later.
		_, _ = w.Write(encodeRecords(end, first, records))
		return
	}
}

func encodeRecords(end, first int, records []record) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, rec := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	return out
}

// pageSize is small, so that tests get several pages.
const pageSize = 4

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Value  string
		Offset int
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	nameEra(w, s.era)
	t := s.topic(query.Get("Topic"))
	newest := make(map[string]int)
	for i, rec := range t.records {
		newest[rec.key] = i
	}
	var items []item
	for key, i := range newest {
		if value := t.records[i].value; value != nil && key > query.Get("After") {
			items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: i})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "HasMore": more, "End": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may be gone.
	_, _ = w.Write(data)
}
