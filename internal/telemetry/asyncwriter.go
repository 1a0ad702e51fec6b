package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxPendingBytes bounds the buffered log lines. During overload, the lines about
// refused requests amount to some 200 KiB a second.
const maxPendingBytes = 512 << 10

// AsyncWriter is an io.Writer for log lines that never blocks. It buffers up to
// maxPendingBytes, and one goroutine writes them to the output. While the output is
// stuck and the buffer is full, lines are dropped and counted. It is safe for
// concurrent use.
type AsyncWriter struct {
	output   io.Writer
	dropped  atomic.Int64
	accepted atomic.Int64

	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	idle    *sync.Cond
	writing bool
}

// NewAsyncWriter returns a writer of log lines to output. Its goroutine never ends.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{output: output, wake: make(chan struct{}, 1)}
	w.idle = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write implements io.Writer. Each call must hold one whole line. It never returns an
// error, not even for a line that is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	w.accepted.Add(1)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	var buffer []byte
	for range w.wake {
		w.mu.Lock()
		buffer, w.pending = w.pending, buffer[:0]
		w.writing = true
		w.mu.Unlock()
		// An error is ignored: there is no other place to report it.
		_, _ = w.output.Write(buffer)
		w.mu.Lock()
		w.writing = false
		w.idle.Broadcast()
		w.mu.Unlock()
	}
}

// Flush waits until all buffered lines are written. It never returns while the output
// is stuck, so call it only where the process ends anyway.
func (w *AsyncWriter) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) > 0 || w.writing {
		w.idle.Wait()
	}
}

// Counts returns how many lines were accepted and how many were dropped.
func (w *AsyncWriter) Counts() (accepted, dropped int64) { return w.accepted.Load(), w.dropped.Load() }
