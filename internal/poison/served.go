package poison

import (
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// maxServed bounds the prompt parts in each generation of served.
const maxServed = 4096

// served remembers the prompt parts of requests that were answered completely, the latest maxServed at
// least. What was served for a while is less likely to crash upstreams than what never was. It is safe
// for concurrent use.
type served struct {
	mu sync.Mutex
	// latest and before are two generations, of which the older is dropped when the newer is full.
	latest, before map[uint64]struct{}
}

func (s *served) add(parts []ident.Feature) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if _, known := s.latest[part.Value]; known {
			continue
		}
		if len(s.latest) >= maxServed || s.latest == nil {
			s.before, s.latest = s.latest, make(map[uint64]struct{}, maxServed)
		}
		s.latest[part.Value] = struct{}{}
	}
}

func (s *served) has(f ident.Feature) bool {
	if f.Kind != ident.PartFeature {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, latest := s.latest[f.Value]
	_, before := s.before[f.Value]
	return latest || before
}

// Served records that a request with these prompt parts was answered with a success.
func (t *Tracker) Served(parts []ident.Feature) { t.served.add(parts) }
