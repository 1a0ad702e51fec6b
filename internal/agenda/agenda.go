// Package agenda runs actions in virtual time, in the order of their moments, and those
// of one moment in the order in which they were added.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is a list of actions that are due. The zero value is an empty one at time 0.
// It is not safe for concurrent use.
type Agenda struct {
	now     time.Duration
	seq     int
	pending actions
}

// action happens at a moment; seq orders those of the same moment.
type action struct {
	at  time.Duration
	seq int
	run func()
}

type actions []action

// Now is the present.
func (a *Agenda) Now() time.Duration { return a.now }

// Clock is the present as decision code sees it.
func (a *Agenda) Clock() time.Time { return time.Unix(0, int64(a.now)) }

// At adds an action.
func (a *Agenda) At(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.pending, action{at: t, seq: a.seq, run: do})
}

// Step runs the next action, if there is one.
func (a *Agenda) Step() bool {
	if len(a.pending) == 0 {
		return false
	}
	next := heap.Pop(&a.pending).(action)
	a.now = next.at
	next.run()
	return true
}

// Len implements heap.Interface.
func (a actions) Len() int { return len(a) }

// Swap implements heap.Interface.
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Less implements heap.Interface.
func (a actions) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

// Push implements heap.Interface.
func (a *actions) Push(x any) { *a = append(*a, x.(action)) }

// Pop implements heap.Interface.
func (a *actions) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}
