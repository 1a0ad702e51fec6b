package streaming_test

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/procstat"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/zerodelay"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

func benchRequest(i int, maxTokens uint32) streaming.Request {
	return streaming.Request{
		Key:    streaming.Key{Account: "weber", Request: ident.Request(strconv.Itoa(i))},
		Params: streaming.Params{Service: "spool-llm", Prompt: "Dossier", MaxTokens: maxTokens},
	}
}

// BenchmarkToken measures the cost of one token on its way from engine to
// caller.
func BenchmarkToken(b *testing.B) {
	const count = 256
	for _, streams := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			g := zerodelay.NewRegistry(zerodelay.Engine{StopAt: count + 1})
			defer g.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			round := 0
			for b.Loop() {
				var all sync.WaitGroup
				for i := range streams {
					all.Go(func() {
						sink := &zerodelay.Sink{TokensLeft: count, OnDone: func() {}}
						_, _ = g.Generate(b.Context(), benchRequest(round*streams+i, count), sink)
					})
				}
				all.Wait()
				round++
			}
			runtime.ReadMemStats(&after)
			total := float64(b.N * streams * count)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/token")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/token")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/total, "B/token")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkOpenStreamMemory measures the memory of a stream that waits for its
// next token while a caller follows it.
func BenchmarkOpenStreamMemory(b *testing.B) {
	const streams = 1000
	for _, count := range []uint32{1, 64, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("tokens=%d", count), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(openStreamBytes(b, streams, count), "B/stream")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// openStreamBytes returns the bytes of heap and stack that each open stream
// takes.
func openStreamBytes(b *testing.B, streams int, count uint32) float64 {
	g := zerodelay.NewRegistry(zerodelay.Engine{StopAt: count})
	defer g.Close()
	ctx, cancel := context.WithCancel(b.Context())
	var received, callers sync.WaitGroup
	before := memoryInUse()
	for i := range streams {
		received.Add(1)
		callers.Go(func() {
			sink := &zerodelay.Sink{TokensLeft: int(count), OnDone: received.Done}
			_, _ = g.Generate(ctx, benchRequest(i, count+1), sink)
		})
	}
	received.Wait()
	used := memoryInUse() - before
	cancel()
	callers.Wait()
	return float64(used) / float64(streams)
}

func memoryInUse() int64 {
	heap, stacks := procstat.Memory()
	return heap + stacks
}
