package gateway

import (
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// life is one life of an instance.
type life struct {
	id          ident.Instance
	incarnation ident.Incarnation
}

// noticeBoard tells streams that their upstream is to be reclaimed. Notices
// are rare and watches are one for each attempt, so one lock serves all.
type noticeBoard struct {
	mu      sync.Mutex
	ends    map[life]time.Time
	watches map[life]map[chan streaming.Notice]struct{}
}

func newNoticeBoard() *noticeBoard {
	return &noticeBoard{
		ends:    map[life]time.Time{},
		watches: map[life]map[chan streaming.Notice]struct{}{},
	}
}

// Note records that an instance ends at a time and tells its watches.
func (n *noticeBoard) Note(id ident.Instance, incarnation ident.Incarnation, end time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := life{id, incarnation}
	n.forget(time.Now())
	if known, ok := n.ends[key]; ok && !end.Before(known) {
		return
	}
	n.ends[key] = end
	for watch := range n.watches[key] {
		tell(watch, end)
	}
}

// tell leaves at most one notice in a channel, which its stream reads once.
func tell(watch chan streaming.Notice, end time.Time) {
	select {
	case watch <- streaming.Notice{Deadline: end}:
	default:
	}
}

// keepNotice is how long a notice is kept after the instance's end, for
// attempts that were on their way to it.
const keepNotice = time.Minute

// forget drops the notices of instances that ended long ago. The lock is held.
func (n *noticeBoard) forget(now time.Time) {
	for key, end := range n.ends {
		if now.Sub(end) > keepNotice {
			delete(n.ends, key)
		}
	}
}

// Watch implements notices.
func (n *noticeBoard) Watch(id ident.Instance, incarnation ident.Incarnation) (<-chan streaming.Notice, func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := life{id, incarnation}
	watch := make(chan streaming.Notice, 1)
	if end, ok := n.ends[key]; ok {
		tell(watch, end)
	}
	if n.watches[key] == nil {
		n.watches[key] = map[chan streaming.Notice]struct{}{}
	}
	n.watches[key][watch] = struct{}{}
	return watch, func() { n.unwatch(key, watch) }
}

func (n *noticeBoard) unwatch(key life, watch chan streaming.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.watches[key], watch)
	if len(n.watches[key]) == 0 {
		delete(n.watches, key)
	}
}
