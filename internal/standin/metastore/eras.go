package metastore

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// headerEra names the era in answers.
const headerEra = "Store-Era"

// nameEra makes an answer name an era, unless that is 0.
func nameEra(w http.ResponseWriter, era uint64) {
	if era > 0 {
		w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	}
}

// Lost is a record that the store had acknowledged and has lost.
type Lost struct {
	Topic, Key string
	// Value is nil if the record dropped the key.
	Value []byte
}

// SetEra makes all answers name an era; 0 makes them name none.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// RunLate executes the appends of mode Late whose condition holds, in the order of their arrival.
func (s *Store) RunLate() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, run := range late {
		run()
	}
}

// Restore makes the store come back from a copy as old as lost: what was written since is gone, in all
// topics, offsets are given out again, and the era rises. It returns what was lost, in the order of
// writing. Waiting reads go on waiting for their offset.
func (s *Store) Restore(lost time.Duration) []Lost {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	since := time.Now().Add(-lost)
	type dropped struct {
		Lost
		at time.Time
	}
	var gone []dropped
	for name, t := range s.topics {
		keep := len(t.records)
		for keep > 0 && !t.records[keep-1].at.Before(since) {
			keep--
		}
		for _, r := range t.records[keep:] {
			gone = append(gone, dropped{Lost{name, r.key, r.value}, r.at})
		}
		t.records = slices.Clip(t.records[:keep])
		t.firstKept = min(t.firstKept, keep)
	}
	slices.SortStableFunc(gone, func(a, b dropped) int { return a.at.Compare(b.at) })
	out := make([]Lost, 0, len(gone))
	for _, g := range gone {
		out = append(out, g.Lost)
	}
	return out
}
