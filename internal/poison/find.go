package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// minCrashesIfTied many ends in a row say that a content is a cause also where another one was at
// the same ends, so that nothing tells them apart.
const minCrashesIfTied = minCrashes + 2

// tally is how often a content was at an end since it was last answered, and how many
// requests with it an end broke off: one that a gateway sent on after each end is one.
type tally struct{ crashes, arrivals int }

// compare compares how much speaks for a cause: its ends, and then that each arrival made
// one. What was sent on by its gateway alone has fewer arrivals than ends, and what many
// callers send at a time, and had been in progress for a while, has more.
func (a tally) compare(b tally) int {
	return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(b.imbalance(), a.imbalance()))
}

func (a tally) imbalance() int { return max(a.arrivals-a.crashes, a.crashes-a.arrivals) }

// suspect is a content that was at ends.
type suspect struct {
	content ident.Content
	// convicted and cleared are what is known of it already, and since when ends count.
	convicted, cleared bool
	clearedAt          time.Time
	// allCrashes are the ends since it was last answered, and crashes those of them that count
	// against it.
	allCrashes, unexplained []*crash
	tally         tally
}

// rebuildSuspects works out anew what counts against which content, if anything has changed.
//
// An end where a found content was says nothing against the others there, but for one that
// was at as many ends as the found one, and never answered: then the found one may only
// have run beside it.
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

// addSuspectsOf notes the contents that were at an end.
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

// tallyOf counts a content's ends and requests.
func tallyOf(content ident.Content, crashes []*crash) tally {
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

// convictCauses looks for causes until what is left is explained or may still change.
func (t *Tracker) convictCauses(now time.Time) {
	for {
		t.rebuildSuspects(now)
		likely := t.candidates(now)
		best, found := likeliestCause(likely)
		if !found {
			return
		}
		ages := make([]int64, 0, len(best.unexplained))
		for _, c := range best.unexplained {
			ages = append(ages, now.Sub(c.at).Milliseconds())
		}
		t.verdicts[best.content] = &verdict{at: now, lastSeen: now, shared: true}
		t.counts.Found++
		t.limitVerdicts()
		t.dirty = true
		t.cfg.Log.Warn("request found to end upstreams", "content", best.content, "ends", best.tally.crashes, "arrivals", best.tally.arrivals,
			"ends_age_ms", ages, "suspects", len(likely))
	}
}

// candidates returns the contents that were at enough ends in a row of which all gateways have
// told, the likeliest cause first. A request that came once is no cause, because only its
// own gateway sent it on, and one that came twice must have been at one end more: its
// caller alone brought it back.
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

// onlySettled returns the suspect with those ends of which all gateways have told.
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

// likeliestCause returns the likeliest cause, unless another content was seen alike.
func likeliestCause(likely []*suspect) (*suspect, bool) {
	for i, s := range likely {
		outdone := slices.ContainsFunc(likely[:i], s.sharesCrash)
		alike := slices.ContainsFunc(likely[i+1:], func(o *suspect) bool {
			return o.tally.compare(s.tally) == 0 && s.sharesCrash(o)
		})
		if len(s.unexplained) >= minCrashesIfTied || !outdone && !alike {
			return s, true
		}
	}
	return nil, false
}

// sharesCrash reports whether an end counts against both.
func (s *suspect) sharesCrash(o *suspect) bool {
	return slices.ContainsFunc(s.unexplained, func(c *crash) bool { return slices.Contains(o.unexplained, c) })
}
