package testkit

import "sync"

// maxParallelRuns bounds the plays that run beside each other.
const maxParallelRuns = 4

// Plays plays something with the seeds from 1 to n, some at once, and returns the results in
// the order of the seeds.
func Plays[R any](n int, play func(seed uint64) R) []R {
	results := make([]R, n)
	slots := make(chan struct{}, maxParallelRuns)
	var work sync.WaitGroup
	for i := range results {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			results[i] = play(uint64(i) + 1)
		})
	}
	work.Wait()
	return results
}
