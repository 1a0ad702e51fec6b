package fold

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// record is one record of a generated stream.
type record struct {
	offset ident.Offset
	at     time.Time
	event  journal.Event
}

// drawStream draws a stream of records about two keys. The log's clock advances in
// small steps and in steps of hours.
func drawStream(t *rapid.T) []record {
	start := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	steps := rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Minute, 30 * time.Minute, 2 * time.Hour})
	skews := rapid.SampledFrom([]time.Duration{0, 0, 0, 30 * time.Second, 2 * time.Minute, -50 * time.Minute, -2 * time.Hour})
	var stream []record
	var claims []journal.Claim
	at := start
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		at = at.Add(steps.Draw(t, "step"))
		var event journal.Event
		if len(claims) == 0 || rapid.Bool().Draw(t, "claim") {
			c := drawClaim(t, claims, at.Add(skews.Draw(t, "skew")))
			claims = append(claims, c)
			event = c
		} else {
			event = drawEnd(t, rapid.SampledFrom(claims).Draw(t, "of"))
		}
		stream = append(stream, record{offset: ident.Offset(i), at: at, event: event})
	}
	return stream
}

// drawClaim draws a claim of a new request, or one that shares the request or the
// record with an earlier claim.
func drawClaim(t *rapid.T, earlier []journal.Claim, issuedAt time.Time) journal.Claim {
	c := journal.Claim{Head: journal.Head{IssuedAt: issuedAt}, Attempt: rapid.Uint32Range(1, 3).Draw(t, "attempt")}
	c.Key = ident.CallKey{Service: "s", Account: "a", Key: ident.Key(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "key")))}
	if len(earlier) > 0 && rapid.IntRange(0, 3).Draw(t, "same call") > 0 {
		other := rapid.SampledFrom(earlier).Draw(t, "as")
		if rapid.IntRange(0, 5).Draw(t, "same claim") == 0 {
			return other
		}
		c.Head = other.Head
		if rapid.IntRange(0, 3).Draw(t, "supersedes") == 0 {
			c.Supersedes = other.ID
		}
	}
	c.Digest = journal.NewDigest(c.Key, "m", c.IssuedAt, nil)
	c.ID = journal.NewClaimID()
	return c
}

// drawEnd draws an event that ends a claim or makes its outcome unknown.
func drawEnd(t *rapid.T, c journal.Claim) journal.Event {
	kinds := []outcome.Kind{outcome.NotRun, outcome.NotRun, outcome.Unknown, outcome.Completed, outcome.Failed}
	if rapid.IntRange(0, 4).Draw(t, "release") == 0 {
		return journal.Release{Head: c.Head}
	}
	return journal.Outcome{Head: c.Head, Kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
}

// decidedRecord is a record and the fold's decision on it.
type decidedRecord struct {
	record
	Decision
}

// apply applies a stream to f and returns the decisions.
func apply(f *Fold, stream []record) []decidedRecord {
	var all []decidedRecord
	for _, r := range stream {
		d, _ := f.Apply(r.offset, r.at, r.at, r.event)
		all = append(all, decidedRecord{r, d})
	}
	return all
}

// inWindow reports whether a record with this head is valid at a time of the log.
func inWindow(h journal.Head, at time.Time) bool {
	return at.Sub(h.IssuedAt) <= journal.Window && h.IssuedAt.Sub(at) <= journal.MaxSkew
}

// endsClaim reports whether r ends the claim w.
func endsClaim(r record, w journal.Claim) bool {
	switch e := r.event.(type) {
	case journal.Outcome:
		ends := e.Kind != outcome.Unknown
		return ends && e.ID == w.ID && e.Digest == w.Digest && inWindow(e.Head, r.at)
	case journal.Release:
		settling := w.Supersedes != journal.ClaimID{}
		return !settling && e.ID == w.ID && e.Digest == w.Digest && inWindow(e.Head, r.at)
	}
	return false
}

// checkWinner checks a claim that won against all records before it.
func checkWinner(t *rapid.T, before []decidedRecord, j decidedRecord, c journal.Claim) {
	if !inWindow(c.Head, j.at) {
		t.Fatalf("record %d: a claim won outside the window", j.offset)
	}
	for i, b := range before {
		if endsClaim(b.record, c) {
			t.Fatalf("record %d: a claim won after record %d had ended it", j.offset, b.offset)
		}
		if o, ok := b.event.(journal.Outcome); ok && o.Digest == c.Digest && o.Kind.Final() && inWindow(o.Head, b.at) {
			t.Fatalf("record %d: a claim won after the outcome in record %d", j.offset, b.offset)
		}
		w, ok := b.event.(journal.Claim)
		if ok && b.Verdict == Won && w.Key == c.Key && w.ID != c.ID {
			checkSuccessor(t, before[i:], b, w, j, c)
		}
	}
}

// checkSuccessor checks two claims that won the same key: w won with record b, and c
// later with record j. between holds the records from b on, up to j.
func checkSuccessor(t *rapid.T, between []decidedRecord, b decidedRecord, w journal.Claim, j decidedRecord, c journal.Claim) {
	settles := c.Supersedes != journal.ClaimID{}
	switch {
	case w.Digest != c.Digest:
		if inWindow(w.Head, j.at) && inWindow(w.Head, b.at) {
			t.Fatalf("records %d and %d: two requests own a key", b.offset, j.offset)
		}
		return
	case !settles && w.Supersedes == journal.ClaimID{} && c.Attempt < w.Attempt:
		t.Fatalf("records %d and %d: attempt %d won after attempt %d", b.offset, j.offset, c.Attempt, w.Attempt)
	case c.Supersedes == w.ID:
		return
	}
	for _, r := range between {
		x, ok := r.event.(journal.Claim)
		superseded := ok && r.Verdict == Won && x.Supersedes == w.ID
		if superseded || endsClaim(r.record, w) {
			return
		}
	}
	t.Fatalf("records %d and %d: a claim won though the one before had not ended", b.offset, j.offset)
}

// TestOneOwnerAtATime checks that, whatever the order of records, a claim wins a key
// only when no other claim owns it, and only in the window.
func TestOneOwnerAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := apply(New(false), drawStream(t))
		seen := map[ident.CallKey]bool{}
		for i, j := range all {
			c, ok := j.event.(journal.Claim)
			if !ok {
				seen[keyOf(j.event)] = true
				continue
			}
			first := !seen[c.Key] && inWindow(c.Head, j.at) && c.Supersedes == journal.ClaimID{}
			if first && j.Verdict != Won {
				t.Fatalf("record %d: the first claim of a key got verdict %d", j.offset, j.Verdict)
			}
			if j.Verdict == Won {
				checkWinner(t, all[:i], j, c)
			}
			seen[c.Key] = true
		}
	})
}

func keyOf(e journal.Event) ident.CallKey {
	switch e := e.(type) {
	case journal.Release:
		return e.Key
	case journal.Outcome:
		return e.Key
	}
	return ident.CallKey{}
}

// TestLateReadersAgree checks that a reader that begins later, because records
// expired, reaches the same verdicts on every key for which its fold is complete.
func TestLateReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		cut := rapid.IntRange(0, len(stream)-1).Draw(t, "expired")
		whole := apply(New(false), stream)[cut:]
		late := New(true)
		for i, r := range stream[cut:] {
			j := apply(late, []record{r})[0]
			c, ok := j.event.(journal.Claim)
			if ok && late.CompleteFor(c.IssuedAt) && j.Verdict != whole[i].Verdict {
				t.Fatalf("record %d: verdict %d, but %d by all records", j.offset, j.Verdict, whole[i].Verdict)
			}
		}
	})
}

// TestForgetsExpiredKeys checks that the window bounds the number of keys in memory.
func TestForgetsExpiredKeys(t *testing.T) {
	f := New(false)
	at := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	for i := range 100 {
		c := journal.Claim{Head: journal.Head{ID: journal.NewClaimID(), IssuedAt: at}, Attempt: 1}
		c.Key.Key = ident.Key(fmt.Sprint(i))
		f.Apply(ident.Offset(i), at, at, c)
		at = at.Add(journal.Window / 10)
	}
	if f.Len() > 11 {
		t.Fatalf("%d keys are held, want those of one window", f.Len())
	}
}
