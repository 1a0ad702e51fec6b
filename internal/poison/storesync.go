package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// minWriteInterval is the shortest time between two writes of a gateway's knowledge to the store.
	minWriteInterval = 500 * time.Millisecond
	// storedCrashAge is for how long a crash is written to the store.
	storedCrashAge = time.Minute
	// maxStoredMarks bounds the marks of a kind in a written record.
	maxStoredMarks = 64
	// maxClockError bounds the error of ages by two machines' clocks.
	maxClockError = 5 * time.Second
	// storeRanks is how many gateways of a group read the store for it.
	storeRanks = 2
)

// StoreSync decides what a gateway writes to the platform's store of poison requests, so that gateways that do not hear
// it know too. Of each group of gateways that hear each other the first ones write and read for all. While all gateways
// hear each other, only convictions and clearances are written, and nothing is read. It is not safe for concurrent use.
type StoreSync struct {
	tracker   *Tracker
	written   uint64
	writtenAt time.Time
}

// NewStoreSync returns a StoreSync that has written nothing.
func NewStoreSync(t *Tracker) *StoreSync { return &StoreSync{tracker: t} }

// Reads reports whether a gateway with a rank among those that it hears follows the store. whole: all gateways hear each
// other.
func (s *StoreSync) Reads(rank int, whole bool) bool { return rank < storeRanks && !whole }

// NextWrite returns what is to be written now; false if nothing is.
func (s *StoreSync) NextWrite(rank int, whole bool, now time.Time) (Report, bool) {
	if rank > 0 && !s.Reads(rank, whole) || now.Sub(s.writtenAt) < minWriteInterval || s.tracker.empty.Load() && !s.tracker.doubtful.Load() {
		return Report{}, false
	}
	report := s.tracker.storeReport(whole, now)
	digest := report.digest()
	if digest == s.written || report.Empty() {
		return Report{}, false
	}
	s.written, s.writtenAt = digest, now
	return report, true
}

// WriteFailed has the next call of NextWrite return the report again.
func (s *StoreSync) WriteFailed() { s.written = 0 }

// storeReport returns what gateways that do not hear this one have to know: verdicts and, unless all hear each other, the
// crashes of the last minute and what may have been one.
func (t *Tracker) storeReport(whole bool, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuildSuspects(now)
	var report Report
	for _, kind := range ident.FeatureKinds {
		report.Verdicts = append(report.Verdicts, t.convictionsOf(kind, now)...)
		report.Verdicts = append(report.Verdicts, t.sharedClearancesOf(kind, now)...)
	}
	if !whole {
		for _, c := range t.crashes {
			if now.Sub(c.at) < storedCrashAge && len(c.marks) > 0 {
				report.Crashes = append(report.Crashes, t.marksFirst(c, c.marks, now))
			}
		}
		for _, o := range slices.Concat(t.doubts, t.heardDoubts) {
			if o.evidence == BrokenOff {
				report.Doubts = append(report.Doubts, t.marksFirst(&o.crash, o.marks, now))
			}
		}
	}
	report.limit(func(ident.FeatureKind) int { return maxStoredMarks }, maxStoredMarks, maxStoredVerdicts)
	return report
}

// marksFirst returns a crash with marks, those of features with the most crashes first.
func (t *Tracker) marksFirst(c *crash, marks []ident.Mark, now time.Time) Crash {
	sorted := slices.Clone(marks)
	slices.SortStableFunc(sorted, func(a, b ident.Mark) int {
		return cmp.Compare(t.suspects[b.Feature].count(), t.suspects[a.Feature].count())
	})
	return Crash{Upstream: c.upstream, Software: c.software, Age: now.Sub(c.at), Marks: sorted}
}

// digest returns a hash of what the report says, apart from ages.
func (r Report) digest() uint64 {
	sum := uint64(0)
	add := func(kind byte, values ...uint64) {
		data := []byte{kind}
		for _, v := range values {
			for shift := 0; shift < 64; shift += 8 {
				data = append(data, byte(v>>shift))
			}
		}
		sum ^= xxhash.Sum64(data)
	}
	for _, list := range [][]Crash{r.Crashes, r.Doubts} {
		for _, c := range list {
			for _, m := range c.Marks {
				add(byte(m.Feature.Kind), uint64(c.Upstream), m.Feature.Value, uint64(m.Tag))
			}
		}
	}
	for _, v := range r.Verdicts {
		add(byte(v.Feature.Kind)+100, v.Feature.Value, uint64(v.Ruling), uint64(len(v.With)), uint64(v.Software))
	}
	return sum
}

// crashNear returns the crash of an upstream at about an instant of which the error is that of a clock, or nil.
func (t *Tracker) crashNear(key uint32, at time.Time) *crash {
	for _, c := range t.crashes {
		if c.upstream == key && c.at.Sub(at).Abs() < maxClockError {
			return c
		}
	}
	return nil
}

// MergeStored merges what another gateway has written to the store. The ages in it may be wrong by the error of a clock, so
// that a crash is one with what is known of the same process's end at about that time.
func (t *Tracker) MergeStored(report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for i := range report.Crashes {
		reported := &report.Crashes[i]
		at := now.Add(-reported.Age)
		if c := t.crashNear(reported.Upstream, at); c != nil {
			for _, mark := range reported.Marks {
				t.addMark(c, mark)
			}
			continue
		}
		t.mergeCrash(reported, now)
	}
	for i := range report.Doubts {
		t.mergeDoubt(&report.Doubts[i], proofLookback, now)
	}
	for i := range report.Verdicts {
		t.mergeVerdict(&report.Verdicts[i], now)
	}
	t.rebuildKnown()
}
