package placement

import (
	"cmp"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// withLimits returns the best candidate where some have limits: the first of those that are
// better than all others and take the call within their limit, else the best of the others.
// An upstream is asked only where no other is better, so that others with less to do go on
// being compared with it, and its prompt parts keep their home.
func (s *search) withLimits(best candidate, found bool) (candidate, bool) {
	if found {
		s.held = slices.DeleteFunc(s.held, func(x candidate) bool { return x.score > best.score })
	}
	slices.SortFunc(s.held, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for i := range s.held {
		next := s.held[i]
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

// mostMarked bounds the lists that are remembered; each new view of the upstreams has others.
const mostMarked = 64

// of returns which of a list have limits; nil where none has.
func (m *limitedMarks) of(all []directory.Upstream, limits Limits) []bool {
	if len(all) == 0 || !limits.Some() {
		return nil
	}
	if version := limits.Version(); m.marks == nil || version != m.version || len(m.marks) >= mostMarked {
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

// limitedOf returns a service's upstreams that take work, if all of them have limits.
func (c *Chooser) limitedOf(service ident.Service) []ident.Instance {
	if !c.cfg.Limits.Some() {
		return nil
	}
	var ids []ident.Instance
	for _, u := range c.refresh().Of(service) {
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
