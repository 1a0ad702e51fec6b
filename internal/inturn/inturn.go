// Package inturn selects the part of a long list that fits into a message, another part in each turn.
package inturn

// Select returns at most maxCount of the items, whose order must be the same in each turn. If there are
// more, each turn selects the next ones, so that all are selected in some turns.
func Select[T any](items []T, maxCount, turn int) []T {
	if len(items) <= maxCount {
		return items
	}
	out := make([]T, maxCount)
	for i := range out {
		out[i] = items[(turn*maxCount+i)%len(items)]
	}
	return out
}
