package lease_test

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// fault is a fault of the next append of a process.
type fault int

const (
	noFault fault = iota
	// answerLost: the append takes effect, but the answer is lost.
	answerLost
	// appendLate: the answer is lost and the append takes effect later.
	appendLate
	// appendSlow: the append takes effect late and is then answered.
	appendSlow
	// answerSlow: the append takes effect at once, but the answer comes late.
	answerSlow
)

// fakeLog is a log with one stream, whose records expire.
type fakeLog struct {
	mu      sync.Mutex
	records []platform.Record
	first   ident.Offset
	// down makes the log unreachable for all processes.
	down    bool
	appends int
}

func (l *fakeLog) appendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *fakeLog) add(data [][]byte) ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	offset := l.first + ident.Offset(len(l.records))
	for i, d := range data {
		l.records = append(l.records, platform.Record{Offset: offset + ident.Offset(i), Data: d, AppendedAt: time.Now()})
	}
	return offset
}

// expire drops the records that are older than the shortest time for which package
// lease allows a log to keep them.
func (l *fakeLog) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && time.Since(l.records[0].AppendedAt) > 2*lease.Horizon {
		l.records = l.records[1:]
		l.first++
	}
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *fakeLog) read(from ident.Offset, limit int) (platform.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := platform.Batch{Head: l.first + ident.Offset(len(l.records)), First: l.first}
	if from < l.first {
		return batch, platform.ErrExpired
	}
	rest := l.records[min(int(from-l.first), len(l.records)):]
	batch.Records = rest[:min(limit, len(rest))]
	return batch, nil
}

// logLink is one process's access to the log, with faults of its own. While the
// process is frozen, every call waits before it is sent and before it returns, as
// in a process that was suspended.
type logLink struct {
	log        *fakeLog
	processCtx context.Context

	mu sync.Mutex
	// thawed is closed while the process is not frozen.
	thawed chan struct{}
	fault  fault
	delay  time.Duration
	cut    bool
}

func newLink(log *fakeLog, processCtx context.Context) *logLink {
	thawed := make(chan struct{})
	close(thawed)
	return &logLink{log: log, processCtx: processCtx, thawed: thawed}
}

func (l *logLink) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isThawed() {
		l.thawed = make(chan struct{})
	}
}

func (l *logLink) thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isThawed() {
		close(l.thawed)
	}
}

func (l *logLink) isThawed() bool {
	select {
	case <-l.thawed:
		return true
	default:
		return false
	}
}

// waitWhileFrozen waits while the process is frozen and reports whether it was.
func (l *logLink) waitWhileFrozen() bool {
	l.mu.Lock()
	thawed, waits := l.thawed, !l.isThawed()
	l.mu.Unlock()
	<-thawed
	return waits
}

// setCut cuts only this process off from the log, or connects it again.
func (l *logLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *logLink) unreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut || l.processCtx.Err() != nil || l.log.isDown()
}

func (l *logLink) setFault(f fault, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.delay = f, delay
}

func (l *logLink) takeFault() (fault, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.fault
	l.fault = noFault
	return f, l.delay
}

func (l *logLink) Append(ctx context.Context, _ string, records [][]byte) (ident.Offset, error) {
	l.waitWhileFrozen()
	defer l.waitWhileFrozen()
	if l.unreachable() {
		return 0, platform.ErrUnavailable
	}
	f, delay := l.takeFault()
	switch f {
	case answerLost:
		l.log.add(records)
		return 0, platform.ErrAnswerLost
	case appendLate:
		time.AfterFunc(delay, func() { l.log.add(records) })
		return 0, platform.ErrAnswerLost
	case appendSlow:
		time.Sleep(delay)
		return l.log.add(records), nil
	case answerSlow:
		offset := l.log.add(records)
		time.Sleep(delay)
		return offset, nil
	}
	return l.log.add(records), nil
}

func (l *logLink) Read(ctx context.Context, _ string, from ident.Offset, limit int, _ time.Duration) (platform.Batch, error) {
	l.waitWhileFrozen()
	defer l.waitWhileFrozen()
	if l.unreachable() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return l.log.read(from, limit)
}
