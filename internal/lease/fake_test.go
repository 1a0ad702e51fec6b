package lease_test

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// fault is what happens to the next append of a process.
type fault int

const (
	noFault fault = iota
	// answerLost: the append takes effect, the answer does not come.
	answerLost
	// appendLate: the answer is lost and the append takes effect later.
	appendLate
	// appendSlow: effect and answer both come late.
	appendSlow
	// answerSlow: the append takes effect, the answer comes late.
	answerSlow
)

// fakeLog is one stream that forgets records after a while.
type fakeLog struct {
	mu      sync.Mutex
	records []platform.Record
	first   ident.Offset
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

// expire forgets what is older than the least time that the leases ask for.
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

// logLink is one process's way to the log, with the process's own faults. While
// frozen, every call waits before it leaves and before it returns, as a
// stopped process does.
type logLink struct {
	log        *fakeLog
	processCtx context.Context

	mu     sync.Mutex
	thawed chan struct{}
	fault  fault
	delay  time.Duration
	cut    bool
}

func newLink(log *fakeLog, dead context.Context) *logLink {
	thawed := make(chan struct{})
	close(thawed)
	return &logLink{log: log, processCtx: dead, thawed: thawed}
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

// waitWhileFrozen waits while the process is frozen and reports whether it waited.
func (l *logLink) waitWhileFrozen() bool {
	l.mu.Lock()
	thawed, waits := l.thawed, !l.isThawed()
	l.mu.Unlock()
	<-thawed
	return waits
}

// setCut cuts this process alone off from the log.
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
