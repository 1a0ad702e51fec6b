// Package eventqueue is the event queue of simulations: it runs actions in virtual time, in
// the order of their times. Actions with the same time run in the order in which they
// were added.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds pending actions and the virtual time. The zero value is empty and at
// time 0. It is not safe for concurrent use.
type Queue struct {
	now     time.Duration
	seq     int
	pending actions
}

// action is run at a time; seq orders actions with the same time.
type action struct {
	at  time.Duration
	seq int
	run func()
}

type actions []action

// Now returns the virtual time: that of the action that runs or ran last.
func (q *Queue) Now() time.Duration { return q.now }

// Clock returns the virtual time as a time.Time, for code that takes a clock.
func (q *Queue) Clock() time.Time { return time.Unix(0, int64(q.now)) }

// At adds an action that runs at virtual time t.
func (q *Queue) At(t time.Duration, run func()) {
	q.seq++
	heap.Push(&q.pending, action{at: t, seq: q.seq, run: run})
}

// Step advances the virtual time to that of the next action and runs it. It returns
// false if there is none.
func (q *Queue) Step() bool {
	if len(q.pending) == 0 {
		return false
	}
	next := heap.Pop(&q.pending).(action)
	q.now = next.at
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
