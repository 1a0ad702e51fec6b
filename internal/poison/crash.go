package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// crash is the end of an upstream's process while requests were in progress there.
type crash struct {
	upstream uint32
	software Software
	at       time.Time
	// settledFrom is when the crash became known, if that was long after it, and otherwise at: settleTime counts
	// from it.
	settledFrom time.Time
	// marks identify the features of the interrupted requests, ownMarks those of this gateway's
	// requests. Both are sorted.
	marks, ownMarks []ident.Mark
	// lastOwnAt is when the latest own mark was added; reportCrashFor counts from it.
	lastOwnAt time.Time
	// topConvicted is the likeliest conviction that explains the crash; nil if there is none.
	topConvicted *convicted
}

// marksOfKind returns the marks of a kind in a sorted list.
func marksOfKind(marks []ident.Mark, kind ident.FeatureKind) []ident.Mark {
	compare := func(m ident.Mark, k ident.FeatureKind) int { return cmp.Compare(m.Feature.Kind, k) }
	from, _ := slices.BinarySearchFunc(marks, kind, compare)
	to, _ := slices.BinarySearchFunc(marks, kind+1, compare)
	return marks[from:to]
}

// marksOf returns the crash's marks of one feature.
func (c *crash) marksOf(f ident.Feature) []ident.Mark {
	from, _ := slices.BinarySearchFunc(c.marks, f, func(m ident.Mark, f ident.Feature) int { return m.Feature.Compare(f) })
	to := from
	for to < len(c.marks) && c.marks[to].Feature == f {
		to++
	}
	return c.marks[from:to]
}

// hadTogether reports whether one of the interrupted requests had all the features.
func (c *crash) hadTogether(features ...ident.Feature) bool {
	return slices.ContainsFunc(c.contentTagsOf(features[0]), func(tag uint8) bool {
		return !slices.ContainsFunc(features[1:], func(f ident.Feature) bool { return !slices.Contains(c.contentTagsOf(f), tag) })
	})
}

// contentTagsOf returns the tags of the contents of the interrupted requests that had a feature.
func (c *crash) contentTagsOf(f ident.Feature) []uint8 {
	marks := c.marksOf(f)
	if f.Kind == ident.ContentFeature && len(marks) > 0 {
		return []uint8{ident.ContentHash(f.Value).Tag()}
	}
	tags := make([]uint8, len(marks))
	for i, mark := range marks {
		tags[i] = mark.Tag
	}
	return tags
}

// insertSorted inserts a mark into a sorted list and reports whether the mark is new.
func insertSorted(list []ident.Mark, mark ident.Mark) ([]ident.Mark, bool) {
	i, found := slices.BinarySearchFunc(list, mark, ident.Mark.Compare)
	if found {
		return list, false
	}
	return slices.Insert(list, i, mark), true
}
