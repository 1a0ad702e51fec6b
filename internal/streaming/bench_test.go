package streaming

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// instantEngine answers without delay, up to a token from which it is silent.
type instantEngine struct {
	upstream.Engine
	stopAt uint32
}

type instantStream struct {
	ctx    context.Context
	req    upstream.GenerateRequest
	next   uint32
	stopAt uint32
}

func (e instantEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	return &instantStream{ctx: ctx, req: req, next: uint32(len(req.Delivered)), stopAt: e.stopAt}, nil
}

// Next makes each token a string of its own, as a decoder of messages does.
func (s *instantStream) Next() (upstream.Frame, error) {
	if s.next == s.stopAt {
		<-s.ctx.Done()
		return upstream.Frame{}, errors.New("closed")
	}
	if s.next == s.req.MaxTokens {
		return upstream.Frame{}, io.EOF
	}
	f := upstream.Frame{Attempt: s.req.Attempt, Index: s.next, Tokens: []string{strconv.Itoa(100_000 + int(s.next))}}
	s.next++
	return f, nil
}

func (s *instantStream) Close() error { return nil }

// Pick implements Picker.
func (e instantEngine) Pick(context.Context, PickRequest) (Target, error) {
	return Target{Instance: "a", Engine: e}, nil
}

// countingSink counts tokens and tells when the first n have come.
type countingSink struct {
	left int
	done func()
}

func (s *countingSink) Tokens(_ uint32, tokens []string) error {
	s.left -= len(tokens)
	if s.left == 0 {
		s.done()
	}
	return nil
}

func (s *countingSink) Heartbeat() error { return nil }

func benchRegistry(e instantEngine) *Registry {
	config := DefaultConfig()
	config.IdleStreams = 1
	return NewRegistry(config, NewRunner(config, e, nil, nil))
}

func benchRequest(i int, tokens uint32) Request {
	return Request{
		Key: Key{Account: "weber", Request: ident.Request(strconv.Itoa(i))},
		Ask: Ask{Service: "spool-llm", Prompt: "Dossier", MaxTokens: tokens},
	}
}

// BenchmarkToken is the cost of one token from engine to caller.
func BenchmarkToken(b *testing.B) {
	const tokens = 256
	for _, streams := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			g := benchRegistry(instantEngine{stopAt: tokens + 1})
			defer g.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			round := 0
			for b.Loop() {
				var all sync.WaitGroup
				for i := range streams {
					all.Go(func() {
						sink := &countingSink{left: tokens, done: func() {}}
						_, _ = g.Generate(b.Context(), benchRequest(round*streams+i, tokens), sink)
					})
				}
				all.Wait()
				round++
			}
			runtime.ReadMemStats(&after)
			total := float64(b.N * streams * tokens)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/token")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/token")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/total, "B/token")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkOpenStreamMemory is the memory of a stream that waits for its next
// token, with a caller that follows it.
func BenchmarkOpenStreamMemory(b *testing.B) {
	const streams = 1000
	for _, tokens := range []uint32{1, 64, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(openStreams(b, streams, tokens), "B/stream")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// openStreams returns the bytes of heap and stack that each open stream takes.
func openStreams(b *testing.B, streams int, tokens uint32) float64 {
	g := benchRegistry(instantEngine{stopAt: tokens})
	defer g.Close()
	ctx, cancel := context.WithCancel(b.Context())
	var here, callers sync.WaitGroup
	before := memoryInUse()
	for i := range streams {
		here.Add(1)
		callers.Go(func() {
			sink := &countingSink{left: int(tokens), done: here.Done}
			_, _ = g.Generate(ctx, benchRequest(i, tokens+1), sink)
		})
	}
	here.Wait()
	used := memoryInUse() - before
	cancel()
	callers.Wait()
	return float64(used) / float64(streams)
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
