package entry

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// playStore is the platform's store in virtual time: it may be away, and come back from an older copy.
type playStore struct {
	mu     sync.Mutex
	era    ident.Era
	away   bool
	topics map[string]*playTopic
	// calls counts the calls by kind.
	calls map[string]int
}

type playTopic struct {
	records  []playRecord
	appended chan struct{}
}

type playRecord struct {
	key   string
	value []byte
	at    time.Time
}

func newPlayStore() *playStore {
	return &playStore{era: 1, topics: make(map[string]*playTopic), calls: make(map[string]int)}
}

// topic returns a topic; s.mu must be held.
func (s *playStore) topic(name string) *playTopic {
	t := s.topics[name]
	if t == nil {
		t = &playTopic{appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// write appends a record; a nil value drops the key.
func (s *playStore) write(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, playRecord{key, value, time.Now()})
	close(t.appended)
	t.appended = make(chan struct{})
}

// setAway makes the store answer no call, or answer again.
func (s *playStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// restore makes the store come back from a copy of the given time.
func (s *playStore) restore(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for _, t := range s.topics {
		keep := len(t.records)
		for keep > 0 && !t.records[keep-1].at.Before(copied) {
			keep--
		}
		t.records = t.records[:keep:keep]
	}
}

// callCounts returns how many listings and reads there were.
func (s *playStore) callCounts() (lists, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls["list"], s.calls["read"]
}

// newest returns the newest value of each key; s.mu must be held.
func (t *playTopic) newest() map[string]int {
	out := make(map[string]int)
	for i, r := range t.records {
		out[r.key] = i
	}
	return out
}

// playClient is a gateway's client of a playStore. It judges answers as the client over HTTP does.
type playClient struct {
	store *playStore
	eras  *platform.Eras
	// cut: no call reaches the store.
	cut func() bool
}

const playDelay = 4 * time.Millisecond

// refused reports whether a call gets no answer. It takes the time of a call.
func (c *playClient) refused(kind string) bool {
	time.Sleep(playDelay)
	cut := c.cut()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.calls[kind]++
	return c.store.away || cut
}

func (c *playClient) Put(context.Context, string, string, []byte, *ident.Position) (ident.Position, error) {
	return ident.Position{}, platform.ErrUnavailable
}

func (c *playClient) Follow(ctx context.Context, topic string, from ident.Position, wait time.Duration) (platform.KeyedBatch, error) {
	if c.eras.Observe(from.Era()) > from.Era() {
		return platform.KeyedBatch{}, platform.ErrEraChanged
	}
	ctx, cancel := c.eras.During(ctx, from.Era())
	defer cancel()
	if c.refused("read") {
		return platform.KeyedBatch{}, platform.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	_, offset, _ := from.Parts()
	for waiting := wait > 0; ; {
		c.store.mu.Lock()
		t := c.store.topic(topic)
		era, end, appended, away := c.store.era, uint64(len(t.records)), t.appended, c.store.away
		var records []playRecord
		if offset < end {
			records = t.records[offset:]
		}
		c.store.mu.Unlock()
		if len(records) == 0 && offset == end && waiting {
			select {
			case <-appended:
				continue
			case <-timer.C:
				waiting = false
				continue
			case <-ctx.Done():
				away = true
			}
		}
		lost := away || c.cut()
		if !lost {
			c.eras.Observe(era)
		}
		if c.eras.Newest() > from.Era() {
			return platform.KeyedBatch{}, platform.ErrEraChanged
		}
		if lost {
			return platform.KeyedBatch{}, platform.ErrAnswerLost
		}
		if offset > end {
			return platform.KeyedBatch{}, platform.ErrExpired
		}
		batch := platform.KeyedBatch{End: ident.NewPosition(era, end)}
		for i, r := range records {
			batch.Records = append(batch.Records, platform.KeyedRecord{At: ident.NewPosition(era, offset+uint64(i)), Key: r.key, Value: r.value})
		}
		return batch, nil
	}
}

func (c *playClient) Newest(_ context.Context, topic string, each func(platform.KeyedBatch)) (platform.KeyedBatch, error) {
	if c.refused("list") {
		return platform.KeyedBatch{}, platform.ErrUnavailable
	}
	c.store.mu.Lock()
	t := c.store.topic(topic)
	era := c.store.era
	batch := platform.KeyedBatch{End: ident.NewPosition(era, uint64(len(t.records)))}
	for key, i := range t.newest() {
		if r := t.records[i]; r.value != nil {
			batch.Records = append(batch.Records, platform.KeyedRecord{At: ident.NewPosition(era, uint64(i)), Key: key, Value: r.value})
		}
	}
	c.store.mu.Unlock()
	if c.eras.Observe(era) > era {
		return platform.KeyedBatch{}, platform.ErrUnavailable
	}
	if each != nil {
		each(batch)
	}
	return batch, nil
}
