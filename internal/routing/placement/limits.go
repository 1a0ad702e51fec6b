package placement

import (
	"cmp"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// applyLimits returns the best candidate, where some candidates have limits. best is
// the best of those without limits, if found is true. Of the candidates with limits
// that score no worse than best, applyLimits returns the first in the order of their
// scores whose limit admits the call; if there is no such candidate, it returns best.
//
// A limit is checked, which counts the call, only when the upstream is next in
// this order. So candidates with less work are still preferred to upstreams with
// limits, and prompt parts keep their homes.
func (s *search) applyLimits(best candidate, found bool) (candidate, bool) {
	if found {
		s.limitedCandidates = slices.DeleteFunc(s.limitedCandidates, func(x candidate) bool { return x.score > best.score })
	}
	slices.SortFunc(s.limitedCandidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for i := range s.limitedCandidates {
		next := s.limitedCandidates[i]
		if s.chooser.cfg.Limits.Admit(next.upstream.ID) {
			return next, true
		}
		if !slices.Contains(s.atLimit, next.upstream.ID) {
			s.atLimit = append(s.atLimit, next.upstream.ID)
		}
	}
	return best, found
}

// listMarks caches which upstreams of a list have some property, until the set of
// upstreams with the property changes. Looking up hundreds of upstreams for each
// request would cost more than the rest of the choice.
type listMarks struct {
	// version is that of the property as of which the marks are valid.
	version uint64
	// marks are by the address of the list's first upstream. It identifies the
	// list, because lists are replaced and never changed.
	marks map[*directory.Upstream][]bool
}

// maxMarkedLists bounds the number of cached lists; each new view of the upstreams
// has new lists.
const maxMarkedLists = 64

// marksOf returns for each upstream of a list whether it has the property. version
// changes whenever the set of upstreams with the property does.
func (m *listMarks) marksOf(all []directory.Upstream, version uint64, has func(ident.Instance) bool) []bool {
	if len(all) == 0 {
		return nil
	}
	if m.marks == nil || version != m.version || len(m.marks) >= maxMarkedLists {
		m.version, m.marks = version, make(map[*directory.Upstream][]bool)
	}
	marks, known := m.marks[&all[0]]
	if known && len(marks) == len(all) {
		return marks
	}
	marks = make([]bool, len(all))
	for i := range all {
		marks[i] = has(all[i].ID)
	}
	m.marks[&all[0]] = marks
	return marks
}

// limitedOf returns for each upstream of a list whether it has a limit, or nil if no
// upstream of any list has one.
func (c *Chooser) limitedOf(all []directory.Upstream) []bool {
	if !c.cfg.Limits.AnyLimited() {
		return nil
	}
	return c.limitedMarks.marksOf(all, c.cfg.Limits.Version(), c.cfg.Limits.Limited)
}
