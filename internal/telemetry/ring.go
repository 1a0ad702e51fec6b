package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxPendingBytes bounds the log lines that wait to be written. A second of a flood of
// refusals is some 200 KiB.
const maxPendingBytes = 512 << 10

// Ring takes log lines without ever blocking. One goroutine writes them on; when
// its writer is stuck and the ring is full, lines are dropped and counted.
type Ring struct {
	output   io.Writer
	dropped  atomic.Int64
	accepted atomic.Int64

	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	idle    *sync.Cond
	writing bool
}

// NewRing returns a ring that writes to next.
func NewRing(next io.Writer) *Ring {
	r := &Ring{output: next, wake: make(chan struct{}, 1)}
	r.idle = sync.NewCond(&r.mu)
	go r.run()
	return r
}

// Write implements io.Writer for a whole line.
func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	if len(r.pending)+len(line) > maxPendingBytes {
		r.mu.Unlock()
		r.dropped.Add(1)
		return len(line), nil
	}
	r.pending = append(r.pending, line...)
	r.mu.Unlock()
	r.accepted.Add(1)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (r *Ring) run() {
	var buffer []byte
	for range r.wake {
		r.mu.Lock()
		buffer, r.pending = r.pending, buffer[:0]
		r.writing = true
		r.mu.Unlock()
		// There is no other place to tell of a standard output that fails.
		_, _ = r.output.Write(buffer)
		r.mu.Lock()
		r.writing = false
		r.idle.Broadcast()
		r.mu.Unlock()
	}
}

// Flush waits until all lines were written. It waits for ever on a writer that
// is stuck, so call it where the process ends anyway.
func (r *Ring) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 || r.writing {
		r.idle.Wait()
	}
}

// Counts returns how many lines were taken and how many dropped.
func (r *Ring) Counts() (taken, dropped int64) { return r.accepted.Load(), r.dropped.Load() }
