package gateway

import (
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// instanceIncarnation is one life of an instance.
type instanceIncarnation struct {
	id          ident.Instance
	incarnation ident.Incarnation
}

// noticeBoard tells streams that their upstream is to be reclaimed. Notices
// are rare and watches are one for each attempt, so one lock serves all.
type noticeBoard struct {
	mu      sync.Mutex
	endTimes    map[instanceIncarnation]time.Time
	watches map[instanceIncarnation]map[chan streaming.Notice]struct{}
}

func newNoticeBoard() *noticeBoard {
	return &noticeBoard{
		endTimes:    map[instanceIncarnation]time.Time{},
		watches: map[instanceIncarnation]map[chan streaming.Notice]struct{}{},
	}
}

// Record records that an instance ends at a time and tells its watches.
func (n *noticeBoard) Record(id ident.Instance, incarnation ident.Incarnation, end time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := instanceIncarnation{id, incarnation}
	n.dropExpired(time.Now())
	if known, ok := n.endTimes[key]; ok && !end.Before(known) {
		return
	}
	n.endTimes[key] = end
	for watch := range n.watches[key] {
		sendNotice(watch, end)
	}
}

// sendNotice leaves at most one notice in a channel, which its stream reads once.
func sendNotice(watch chan streaming.Notice, end time.Time) {
	select {
	case watch <- streaming.Notice{Deadline: end}:
	default:
	}
}

// noticeRetention is how long a notice is kept after the instance's end, for
// attempts that were on their way to it.
const noticeRetention = time.Minute

// dropExpired drops the notices of instances that ended long ago. The lock is held.
func (n *noticeBoard) dropExpired(now time.Time) {
	for key, end := range n.endTimes {
		if now.Sub(end) > noticeRetention {
			delete(n.endTimes, key)
		}
	}
}

// Watch implements notices.
func (n *noticeBoard) Watch(id ident.Instance, incarnation ident.Incarnation) (<-chan streaming.Notice, func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := instanceIncarnation{id, incarnation}
	watch := make(chan streaming.Notice, 1)
	if end, ok := n.endTimes[key]; ok {
		sendNotice(watch, end)
	}
	if n.watches[key] == nil {
		n.watches[key] = map[chan streaming.Notice]struct{}{}
	}
	n.watches[key][watch] = struct{}{}
	return watch, func() { n.unwatch(key, watch) }
}

func (n *noticeBoard) unwatch(key instanceIncarnation, watch chan streaming.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.watches[key], watch)
	if len(n.watches[key]) == 0 {
		delete(n.watches, key)
	}
}
