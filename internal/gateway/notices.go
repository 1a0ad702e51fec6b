package gateway

import (
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// instanceIncarnation is one incarnation of an instance.
type instanceIncarnation struct {
	id          ident.Instance
	incarnation ident.Incarnation
}

// noticeBoard passes reclaim notices on to the streams that use the instance. Notices
// are rare and each attempt has only one watch, so one lock for all is enough.
type noticeBoard struct {
	mu       sync.Mutex
	endTimes map[instanceIncarnation]time.Time
	watches  map[instanceIncarnation]map[chan streaming.Notice]struct{}
}

func newNoticeBoard() *noticeBoard {
	return &noticeBoard{
		endTimes: map[instanceIncarnation]time.Time{},
		watches:  map[instanceIncarnation]map[chan streaming.Notice]struct{}{},
	}
}

// Record stores the time at which an instance ends and notifies its watches. It ignores
// a time that is not earlier than the known one.
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

// sendNotice sends a notice to a watch, unless the watch already holds one: a stream
// reads only one notice.
func sendNotice(watch chan streaming.Notice, end time.Time) {
	select {
	case watch <- streaming.Notice{Deadline: end}:
	default:
	}
}

// noticeRetention is how long a notice is kept after the instance's end, for attempts
// that were just being sent to the instance.
const noticeRetention = time.Minute

// dropExpired drops the notices whose retention has ended. The caller holds the lock.
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
