package loadgen

import (
	"maps"
	"sync"
	"time"
)

// Progress is the state of a run so far.
type Progress struct {
	Elapsed  time.Duration
	Started  int
	Ended    int
	Verdicts map[Verdict]int
}

// ended is one request at its end.
type ended struct {
	arrival    Arrival
	request    string
	finding    *finding
	completion time.Duration
	times      streamTimes
	tries      int
	cuts       int
	resumes    int
}

// recorder collects the requests of a run.
type recorder struct {
	mu       sync.Mutex
	start    time.Time
	started  int
	ended    []*ended
	verdicts map[Verdict]int
}

func newRecorder() *recorder { return &recorder{verdicts: make(map[Verdict]int)} }

func (r *recorder) setStart(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = start
}

func (r *recorder) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
}

func (r *recorder) end(e *ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, e)
	r.verdicts[e.finding.verdict]++
}

func (r *recorder) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := Progress{
		Started:  r.started,
		Ended:    len(r.ended),
		Verdicts: maps.Clone(r.verdicts),
	}
	if !r.start.IsZero() {
		progress.Elapsed = time.Since(r.start)
	}
	return progress
}
