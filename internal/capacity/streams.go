package capacity

import (
	"context"
	"strconv"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/tokens"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// answerTokens is the mean answer: 1.5 million tokens and 4,200 requests a
// second.
const answerTokens = 357

func streamRequest(i int, most uint32) streaming.Request {
	return streaming.Request{
		Key: streaming.Key{Account: "registrar", Request: ident.Request(strconv.Itoa(i))},
		Ask: streaming.Ask{Service: service, Prompt: "dossier", MaxTokens: most},
	}
}

// tokensCost is one whole stream with a number of tokens, from the engine's
// frames to the caller's sink, among as many as a gateway has at once.
func tokensCost(count int) (float64, error) {
	const streams = 200
	g := tokens.NewRegistry(tokens.Engine{StopAt: uint32(count) + 1})
	defer g.Close()
	round := 0
	used := microsPerCall(func() {
		var all sync.WaitGroup
		for i := range streams {
			all.Go(func() {
				_, _ = g.Generate(context.Background(), streamRequest(round*streams+i, uint32(count)), &tokens.Sink{Left: count, Done: func() {}})
			})
		}
		all.Wait()
		round++
	})
	return used / streams, nil
}

// streamsMemory is what open streams hold that wait for their next token half
// way through the answer.
func streamsMemory(streams int) (float64, error) {
	const half = answerTokens / 2
	g := tokens.NewRegistry(tokens.Engine{StopAt: half})
	defer g.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var here, callers sync.WaitGroup
	used := memoryHeldBy(func() any {
		for i := range streams {
			here.Add(1)
			callers.Go(func() {
				_, _ = g.Generate(ctx, streamRequest(i, half+1), &tokens.Sink{Left: half, Done: here.Done})
			})
		}
		here.Wait()
		return g
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
