package worker

import (
	"net/http"
	"strconv"
	"time"
)

// LateArrival is a request that arrived although its sender had been told that the worker leaves,
// or had been asked for a pause that was not over.
type LateArrival struct {
	ID, Sender string
	// At is when it arrived, After the time since the sender was told.
	At    time.Time
	After time.Duration
	// Leaving: the sender had been told that the worker leaves. Otherwise it had been asked for a
	// pause.
	Leaving bool
}

// told is what the worker has told one sender.
type told struct {
	leavingAt, pauseAt, pausedUntil time.Time
}

// SetLeaving sets the text by which all answers announce that the worker leaves, valid or not;
// empty announces nothing.
func (w *Worker) SetLeaving(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = text
}

// SetSenderOf sets the function that tells who sent a request. Without it, all requests have the
// same sender.
func (w *Worker) SetSenderOf(senderOf func(*http.Request) string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.senderOf = senderOf
}

// LateArrivals returns the requests that arrived although their senders had been told not to send
// them, in order. They include the ones that were on their way at that moment.
func (w *Worker) LateArrivals() []LateArrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]LateArrival(nil), w.lateArrivals...)
}

// sender returns who sent a request. w.mu must be held.
func (w *Worker) sender(r *http.Request) string {
	if w.senderOf == nil {
		return ""
	}
	return w.senderOf(r)
}

// recordLateArrival records a request that its sender had been told not to send. w.mu must be
// held.
func (w *Worker) recordLateArrival(r *http.Request) {
	sender, now := w.sender(r), time.Now()
	t := w.told[sender]
	late := LateArrival{ID: r.Header.Get(RequestID), Sender: sender, At: now}
	switch {
	case t.leavingAt.IsZero() && !now.Before(t.pausedUntil):
		return
	case t.leavingAt.IsZero():
		late.After = now.Sub(t.pauseAt)
	default:
		late.After, late.Leaving = now.Sub(t.leavingAt), true
	}
	w.lateArrivals = append(w.lateArrivals, late)
}

// leavingHeader returns the header line that announces that the worker leaves, or "" if it does
// not, and records that the sender of the request was told.
func (w *Worker) leavingHeader(r *http.Request) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving == "" {
		return ""
	}
	if t := w.told[w.sender(r)]; w.leaving == "1" && t.leavingAt.IsZero() {
		t.leavingAt = time.Now()
		w.told[w.sender(r)] = t
	}
	return "Server-Leaving: " + w.leaving + "\r\n"
}

// AskForPause returns an act that turns the request away and asks its sender for a pause, by a
// text in seconds, valid or not.
func AskForPause(seconds string) Act {
	return func(w *Writer, r *http.Request) {
		w.worker.recordPause(r, seconds)
		w.Head(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\nRetry-After: "+seconds+"\r\nContent-Length: 0\r\n")
	}
}

// recordPause records that the sender of a request is asked for a pause.
func (w *Worker) recordPause(r *http.Request, text string) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t, now := w.told[w.sender(r)], time.Now()
	if until := now.Add(time.Duration(seconds * float64(time.Second))); until.After(t.pausedUntil) {
		t.pauseAt, t.pausedUntil = now, until
	}
	w.told[w.sender(r)] = t
}
