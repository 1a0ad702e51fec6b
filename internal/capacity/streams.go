package capacity

import (
	"context"
	"strconv"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/zerodelay"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// answerTokens is the mean length of an answer: 1.5 million tokens per second for 4,200
// requests per second.
const answerTokens = 357

func streamRequest(i int, maxTokens uint32) streaming.Request {
	return streaming.Request{
		Key:    streaming.Key{Account: "registrar", Request: ident.Request(strconv.Itoa(i))},
		Params: streaming.Params{Service: modelService, Prompt: "dossier", MaxTokens: maxTokens},
	}
}

// tokensCost returns the cost of one whole stream with a number of tokens, from the engine's
// frames to the caller's sink. It runs as many streams at once as a gateway does.
func tokensCost(count int) (float64, error) {
	const streams = 200
	registry := zerodelay.NewRegistry(zerodelay.Engine{StopAt: uint32(count) + 1})
	defer registry.Close()
	round := 0
	used := microsPerCall(func() {
		var all sync.WaitGroup
		for i := range streams {
			all.Go(func() {
				_, _ = registry.Generate(context.Background(), streamRequest(round*streams+i, uint32(count)), &zerodelay.Sink{TokensLeft: count, OnDone: func() {}})
			})
		}
		all.Wait()
		round++
	})
	return used / streams, nil
}

// streamsMemory returns the memory of a number of open streams that wait for their next token
// in the middle of the answer.
func streamsMemory(streams int) (float64, error) {
	const half = answerTokens / 2
	registry := zerodelay.NewRegistry(zerodelay.Engine{StopAt: half})
	defer registry.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var halfDone, callers sync.WaitGroup
	used := memoryHeldBy(func() any {
		for i := range streams {
			halfDone.Add(1)
			callers.Go(func() {
				_, _ = registry.Generate(ctx, streamRequest(i, half+1), &zerodelay.Sink{TokensLeft: half, OnDone: halfDone.Done})
			})
		}
		halfDone.Wait()
		return registry
	})
	cancel()
	callers.Wait()
	return used, nil
}

// The series of token streams.
const (
	StreamCost   ID = "streaming.cpu"
	StreamMemory ID = "streaming.memory"
)

func streamSeries() []Series {
	return []Series{
		{ID: StreamCost, Description: "one whole stream among 200, without the network", Package: "streaming", SizeUnit: "tokens", Unit: Microseconds,
			Sizes: []int{64, 128, answerTokens, 1024}, Measure: tokensCost},
		{ID: StreamMemory, Description: "open streams at token 178, without buffers of the network", Package: "streaming", SizeUnit: "streams", Unit: Bytes,
			Sizes: []int{50, 200, 800, 2000}, Measure: streamsMemory},
	}
}
