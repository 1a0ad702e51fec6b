package loadgen

import (
	"maps"
	"sync"
	"time"
)

// Progress is the state of a run so far.
type Progress struct {
	// Elapsed is 0 before the run starts.
	Elapsed time.Duration
	// Started and Ended count requests.
	Started int
	Ended   int
	// Verdicts counts the ended requests by verdict.
	Verdicts map[Verdict]int
}

// finishedRequest is one request that has ended. Its completion counts from the
// time at which it was due.
type finishedRequest struct {
	arrival    Arrival
	requestID  string
	assessment *assessment
	completion time.Duration
	times      streamTimes
	tries      int
	cuts       int
	resumes    int
}

// recorder collects the requests of a run. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	start    time.Time
	started  int
	finished []*finishedRequest
	verdicts map[Verdict]int
}

func newRecorder() *recorder { return &recorder{verdicts: make(map[Verdict]int)} }

func (r *recorder) setStart(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = start
}

func (r *recorder) recordStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
}

func (r *recorder) recordEnd(e *finishedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = append(r.finished, e)
	r.verdicts[e.assessment.verdict]++
}

func (r *recorder) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := Progress{
		Started:  r.started,
		Ended:    len(r.finished),
		Verdicts: maps.Clone(r.verdicts),
	}
	if !r.start.IsZero() {
		progress.Elapsed = time.Since(r.start)
	}
	return progress
}
