package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxPendingBytes bounds the log lines that wait to be written. During overload, the
// lines about refused requests are some 200 KiB a second.
const maxPendingBytes = 512 << 10

// Ring is an io.Writer for log lines that never blocks. It buffers up to
// maxPendingBytes, and one goroutine writes them to the output. While the output is
// stuck and the buffer is full, lines are dropped and counted. It is safe for
// concurrent use.
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

// NewRing returns a Ring that writes to output. Its goroutine never ends.
func NewRing(output io.Writer) *Ring {
	r := &Ring{output: output, wake: make(chan struct{}, 1)}
	r.idle = sync.NewCond(&r.mu)
	go r.run()
	return r
}

// Write implements io.Writer. Each call must hold one whole line. It never returns an
// error, not even for a line that is dropped.
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
		// An error is ignored: there is no other place to report it.
		_, _ = r.output.Write(buffer)
		r.mu.Lock()
		r.writing = false
		r.idle.Broadcast()
		r.mu.Unlock()
	}
}

// Flush waits until all buffered lines are written. It never returns while the output
// is stuck, so call it only where the process ends anyway.
func (r *Ring) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 || r.writing {
		r.idle.Wait()
	}
}

// Counts returns how many lines were accepted and how many were dropped.
func (r *Ring) Counts() (accepted, dropped int64) { return r.accepted.Load(), r.dropped.Load() }
