package testkit

import (
	"container/heap"
	"time"
)

// Timeline runs events in virtual time, in the order of their times and without waiting.
// Events with the same time run in the order in which they were added. The zero value is
// empty and at time 0. It is not safe for concurrent use.
type Timeline struct {
	now    time.Duration
	added  int
	events timedEvents
}

type timedEvent struct {
	at    time.Duration
	order int
	run   func()
}

type timedEvents []timedEvent

func (e timedEvents) Len() int { return len(e) }
func (e timedEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e timedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *timedEvents) Push(x any)   { *e = append(*e, x.(timedEvent)) }
func (e *timedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Now returns the virtual time since the start.
func (t *Timeline) Now() time.Duration { return t.now }

// In adds an event that runs after a time from now.
func (t *Timeline) In(after time.Duration, run func()) {
	t.added++
	heap.Push(&t.events, timedEvent{at: t.now + after, order: t.added, run: run})
}

// RunUntil runs all events up to a virtual time, and sets the virtual time to it.
func (t *Timeline) RunUntil(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(timedEvent)
		t.now = e.at
		e.run()
	}
	t.now = until
}
