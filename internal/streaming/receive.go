package streaming

import (
	"context"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// frameOrError is a frame of an engine, or the error that ended its stream.
type frameOrError struct {
	frame upstream.Frame
	err   error
}

// receive opens a stream and returns a channel of its frames; the last value is
// an error. The channel belongs to this attempt alone, so that no frame of an
// abandoned attempt reaches a later one. The goroutine ends when ctx does; if
// the connection ignores ctx, the goroutine goes on, but nothing waits for it.
func receive(ctx context.Context, engine upstream.Engine, req upstream.GenerateRequest) <-chan frameOrError {
	frames := make(chan frameOrError)
	go func() {
		stream, err := engine.Generate(ctx, req)
		if err != nil {
			forward(ctx, frames, frameOrError{err: err})
			return
		}
		// Closing the stream when ctx ends unblocks a Next that does not watch
		// the context.
		stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
		defer stop()
		defer func() { _ = stream.Close() }()
		forwardFrames(ctx, stream, frames)
	}()
	return frames
}

// forwardFrames forwards frames until the stream or ctx ends.
func forwardFrames(ctx context.Context, stream upstream.TokenStream, frames chan<- frameOrError) {
	for {
		frame, err := stream.Next()
		if !forward(ctx, frames, frameOrError{frame: frame, err: err}) || err != nil {
			return
		}
	}
}

// forward sends r and reports whether it was received before ctx ended.
func forward(ctx context.Context, frames chan<- frameOrError, r frameOrError) bool {
	select {
	case frames <- r:
		return true
	case <-ctx.Done():
		return false
	}
}
