package testkit

import (
	"container/heap"
	"time"
)

// Timeline plays events in the order of their times, without waiting. Events of one time
// are played in the order in which they were added.
type Timeline struct {
	now    time.Duration
	added  int
	events timedEvents
}

type timedEvent struct {
	at    time.Duration
	order int
	do    func()
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

// Now is the time since the start.
func (t *Timeline) Now() time.Duration { return t.now }

// In adds an event.
func (t *Timeline) In(after time.Duration, do func()) {
	t.added++
	heap.Push(&t.events, timedEvent{at: t.now + after, order: t.added, do: do})
}

// Play plays all events up to a time.
func (t *Timeline) Play(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(timedEvent)
		t.now = e.at
		e.do()
	}
	t.now = until
}
