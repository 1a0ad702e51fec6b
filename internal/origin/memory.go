package origin

import (
	"container/list"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// maxRecords bounds the streams that are remembered; see docs/CAPACITY.md.
const maxRecords = 1 << 16

// Record says which software began a stream.
type Record struct {
	Stream Stream
	Origin Origin
	// Until is when the stream's caller takes it up no more.
	Until time.Time
}

// remembered is what is remembered of a stream.
type remembered struct {
	stream Stream
	// origins are two if different software began streams of this name; one of them alone would be a
	// guess.
	origins []Origin
	until   time.Time
}

// Memory remembers which software began streams. It is safe for concurrent use.
type Memory struct {
	max int

	mu      sync.Mutex
	records map[Stream]*list.Element
	// byAccount holds each account's records, the oldest first.
	byAccount map[ident.ClientAccount]*list.List
	evicted   int64
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{max: maxRecords, records: make(map[Stream]*list.Element), byAccount: make(map[ident.ClientAccount]*list.List)}
}

// Add remembers a record.
func (m *Memory) Add(r Record, now time.Time) {
	if !r.Stream.isNamed() || !now.Before(r.Until) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := &remembered{stream: r.Stream, origins: []Origin{r.Origin}, until: r.Until}
	if known := m.records[r.Stream]; known != nil {
		if old := known.Value.(*remembered); now.Before(old.until) {
			next.origins = distinct(append(next.origins, old.origins...))
			next.until = later(next.until, old.until)
		}
		m.remove(known)
	}
	if account := m.byAccount[r.Stream.Account]; account != nil {
		m.dropExpired(account, now)
	}
	if len(m.records) >= m.max {
		m.evicted++
		m.remove(m.largestAccount().Front())
	}
	account := m.byAccount[r.Stream.Account]
	if account == nil {
		account = list.New()
		m.byAccount[r.Stream.Account] = account
	}
	m.records[r.Stream] = account.PushBack(next)
}

// Find returns the software that began a stream: none if nothing is remembered, and two if what is
// remembered contradicts itself.
func (m *Memory) Find(s Stream, now time.Time) []Origin {
	m.mu.Lock()
	defer m.mu.Unlock()
	element := m.records[s]
	if element == nil {
		return nil
	}
	if r := element.Value.(*remembered); now.Before(r.until) {
		return r.origins
	}
	return nil
}

// Expire forgets the records whose time is over. The records of an account are looked through up to the
// first one whose time is not, so that some stay for longer.
func (m *Memory) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, account := range m.byAccount {
		m.dropExpired(account, now)
	}
}

// Counts returns how many streams are remembered, and how many were forgotten before their time.
func (m *Memory) Counts() (records int, evicted int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.records), m.evicted
}

func (m *Memory) dropExpired(account *list.List, now time.Time) {
	for front := account.Front(); front != nil && !now.Before(front.Value.(*remembered).until); front = account.Front() {
		m.remove(front)
	}
}

// largestAccount returns the records of the account that has the most. Room is made at its cost, so that
// no account pushes out what others need.
func (m *Memory) largestAccount() *list.List {
	var largest *list.List
	for _, account := range m.byAccount {
		if largest == nil || account.Len() > largest.Len() {
			largest = account
		}
	}
	return largest
}

func (m *Memory) remove(element *list.Element) {
	stream := element.Value.(*remembered).stream
	account := m.byAccount[stream.Account]
	account.Remove(element)
	delete(m.records, stream)
	if account.Len() == 0 {
		delete(m.byAccount, stream.Account)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
