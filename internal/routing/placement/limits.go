package placement

import (
	"cmp"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// applyLimits returns the best candidate where some have limits: the first of those that are
// better than all others and take the call within their limit, else the best of the others.
// An upstream is asked only where no other is better, so that others with less to do go on
// being compared with it, and its prompt parts keep their home.
func (s *search) applyLimits(best candidate, found bool) (candidate, bool) {
	if found {
		s.limitedCandidates = slices.DeleteFunc(s.limitedCandidates, func(x candidate) bool { return x.score > best.score })
	}
	slices.SortFunc(s.limitedCandidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for i := range s.limitedCandidates {
		next := s.limitedCandidates[i]
		if s.chooser.cfg.Limits.Take(next.upstream.ID) {
			return next, true
		}
		if !slices.Contains(s.atLimit, next.upstream.ID) {
			s.atLimit = append(s.atLimit, next.upstream.ID)
		}
	}
	return best, found
}

// limitedMarks remembers which upstreams of a list have limits, as long as these do not
// change: looking each of hundreds up for each request would cost more than the choice.
type limitedMarks struct {
	version uint64
	// marks are by the list's first upstream: lists are replaced whole.
	marks map[*directory.Upstream][]bool
}

// maxMarkedLists bounds the lists that are remembered; each new view of the upstreams has others.
const maxMarkedLists = 64

// marksOf returns which of a list have limits; nil where none has.
func (m *limitedMarks) marksOf(all []directory.Upstream, limits Limits) []bool {
	if len(all) == 0 || !limits.Some() {
		return nil
	}
	if version := limits.Version(); m.marks == nil || version != m.version || len(m.marks) >= maxMarkedLists {
		m.version, m.marks = version, make(map[*directory.Upstream][]bool)
	}
	marks, known := m.marks[&all[0]]
	if known && len(marks) == len(all) {
		return marks
	}
	marks = make([]bool, len(all))
	for i := range all {
		marks[i] = limits.Limited(all[i].ID)
	}
	m.marks[&all[0]] = marks
	return marks
}

// readyIfAllLimited returns a service's upstreams that take work, if all of them have limits.
func (c *Chooser) readyIfAllLimited(service ident.Service) []ident.Instance {
	if !c.cfg.Limits.Some() {
		return nil
	}
	var ids []ident.Instance
	for _, u := range c.refreshView().Of(service) {
		if u.State != directory.Ready {
			continue
		}
		if !c.cfg.Limits.Limited(u.ID) {
			return nil
		}
		ids = append(ids, u.ID)
	}
	return ids
}
