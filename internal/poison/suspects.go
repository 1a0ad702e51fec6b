package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// minCrashesIfTied is how many crashes in a row convict a content even if another content was
// running in the same crashes, so that the two cannot be told apart.
const minCrashesIfTied = minCrashes + 2

// tally counts the crashes in which a content was running since it was last answered, and
// the distinct requests with it that the crashes interrupted. A request that its gateway
// resent after each crash counts once.
type tally struct{ crashes, arrivals int }

// compare orders tallies by how likely they belong to a cause: more crashes first, then
// those with nearly one arrival per crash. A request that only its own gateway resent has
// fewer arrivals than crashes; content that many callers have in progress at a time has more.
func (a tally) compare(b tally) int {
	return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(b.imbalance(), a.imbalance()))
}

// imbalance is how far the arrivals differ from one per crash.
func (a tally) imbalance() int { return max(a.arrivals-a.crashes, a.crashes-a.arrivals) }

// suspect is a content that was running in at least one crash.
type suspect struct {
	content ident.ContentHash
	// convicted and cleared give the content's verdict. Only crashes after clearedAt count.
	convicted, cleared bool
	clearedAt          time.Time
	// allCrashes are the crashes since the content was last answered; unexplained are those of
	// them that count against it, because no convicted content explains them.
	allCrashes, unexplained []*crash
	tally                   tally
}

// rebuildSuspects recomputes which crashes count against which content, if anything has
// changed.
//
// A crash in which a convicted content was running does not count against the other contents
// there. The exception is a content that was in as many crashes as the convicted one and was
// never answered: then the convicted one may only have run beside it.
func (t *Tracker) rebuildSuspects(now time.Time) {
	if !t.dirty {
		return
	}
	t.dirty = false
	clear(t.suspects)
	for _, c := range t.crashes {
		c.topConvicted = tally{}
		t.addSuspectsOf(c, now)
	}
	for _, s := range t.suspects {
		s.tally = tallyOf(s.content, s.allCrashes)
		for _, c := range s.allCrashes {
			if s.convicted && c.topConvicted.compare(s.tally) < 0 {
				c.topConvicted = s.tally
			}
		}
	}
	for _, s := range t.suspects {
		for _, c := range s.allCrashes {
			explained := c.topConvicted.crashes > 0 && (s.cleared || s.tally.compare(c.topConvicted) < 0)
			if !s.convicted && !explained {
				s.unexplained = append(s.unexplained, c)
			}
		}
	}
}

// addSuspectsOf adds a crash to each content that was running in it.
func (t *Tracker) addSuspectsOf(c *crash, now time.Time) {
	for i, mark := range c.marks {
		content := mark.Content()
		if i > 0 && c.marks[i-1].Content() == content {
			continue
		}
		s := t.suspects[content]
		if s == nil {
			s = &suspect{content: content, convicted: t.isConvicted(content, now), clearedAt: t.clearedAt(content)}
			s.cleared = !s.clearedAt.IsZero()
			t.suspects[content] = s
		}
		if c.at.After(s.clearedAt) {
			s.allCrashes = append(s.allCrashes, c)
		}
	}
}

// tallyOf counts the given crashes and a content's distinct requests in them.
func tallyOf(content ident.ContentHash, crashes []*crash) tally {
	var arrived []ident.Mark
	for _, c := range crashes {
		first, _ := slices.BinarySearch(c.marks, ident.Mark(content))
		for _, mark := range c.marks[first:] {
			if mark.Content() != content {
				break
			}
			arrived, _ = insertSorted(arrived, mark)
		}
	}
	return tally{crashes: len(crashes), arrivals: len(arrived)}
}

// convictCauses convicts one cause after another until the remaining crashes are explained or
// the evidence about them is still incomplete.
func (t *Tracker) convictCauses(now time.Time) {
	for {
		t.rebuildSuspects(now)
		candidates := t.candidates(now)
		best, found := likeliestCause(candidates)
		if !found {
			return
		}
		ages := make([]int64, 0, len(best.unexplained))
		for _, c := range best.unexplained {
			ages = append(ages, now.Sub(c.at).Milliseconds())
		}
		t.verdicts[best.content] = &verdict{at: now, lastSeen: now, shared: true}
		t.counts.Convicted++
		t.limitVerdicts()
		t.dirty = true
		t.cfg.Log.Warn("poison request detected", "content", best.content, "ends", best.tally.crashes, "arrivals", best.tally.arrivals,
			"ends_age_ms", ages, "suspects", len(candidates))
	}
}

// candidates returns the contents with enough settled crashes, the likeliest cause first. A
// content that arrived once is no candidate, because only its own gateway resent it. One that
// arrived twice needs one crash more, because it may be only its caller's retry.
func (t *Tracker) candidates(now time.Time) []*suspect {
	var out []*suspect
	for _, s := range t.suspects {
		if len(s.unexplained) < minCrashes {
			continue
		}
		if settled := s.onlySettled(now); settled.tally.arrivals >= 2 && settled.tally.crashes >= minCrashes && settled.tally.crashes+settled.tally.arrivals >= 2*minCrashes {
			out = append(out, settled)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int {
		return cmp.Or(b.tally.compare(a.tally), cmp.Compare(a.content, b.content))
	})
	return out
}

// onlySettled returns the suspect with only those crashes that all gateways have reported by
// now.
func (s *suspect) onlySettled(now time.Time) *suspect {
	out := &suspect{content: s.content}
	for _, c := range s.unexplained {
		if now.Sub(c.at) >= settleTime {
			out.unexplained = append(out.unexplained, c)
		}
	}
	out.tally = tallyOf(s.content, out.unexplained)
	return out
}

// likeliestCause returns the first candidate that no likelier or equally likely candidate
// shares a crash with. A candidate with minCrashesIfTied crashes needs no such distinction.
func likeliestCause(candidates []*suspect) (*suspect, bool) {
	for i, s := range candidates {
		outranked := slices.ContainsFunc(candidates[:i], s.sharesCrash)
		tied := slices.ContainsFunc(candidates[i+1:], func(o *suspect) bool {
			return o.tally.compare(s.tally) == 0 && s.sharesCrash(o)
		})
		if len(s.unexplained) >= minCrashesIfTied || !outranked && !tied {
			return s, true
		}
	}
	return nil, false
}

// sharesCrash reports whether a crash counts against both suspects.
func (s *suspect) sharesCrash(o *suspect) bool {
	return slices.ContainsFunc(s.unexplained, func(c *crash) bool { return slices.Contains(o.unexplained, c) })
}
