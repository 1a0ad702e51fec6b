package testkit

import "sync"

// maxParallelRuns bounds the runs that go on at the same time.
const maxParallelRuns = 4

// RunSeeds calls run with each seed from 1 to n, up to maxParallelRuns of them at a time, and
// returns the results in the order of the seeds.
func RunSeeds[R any](n int, run func(seed uint64) R) []R {
	results := make([]R, n)
	slots := make(chan struct{}, maxParallelRuns)
	var running sync.WaitGroup
	for i := range results {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			results[i] = run(uint64(i) + 1)
		})
	}
	running.Wait()
	return results
}
