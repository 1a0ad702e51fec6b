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

// receive opens a stream and returns a channel of its frames, ended by an
// error. The channel belongs to this attempt alone, so that no frame of a
// given-up attempt reaches a later one. The goroutine ends when ctx does; a
// connection that ignores ctx keeps its goroutine, but nobody waits for it.
func receive(ctx context.Context, engine upstream.Engine, req upstream.GenerateRequest) <-chan frameOrError {
	frames := make(chan frameOrError)
	go func() {
		stream, err := engine.Generate(ctx, req)
		if err != nil {
			forward(ctx, frames, frameOrError{err: err})
			return
		}
		// Closing from here as well ends a Next that watches only the
		// stream, not the context.
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

// forward reports whether the receiver took r.
func forward(ctx context.Context, frames chan<- frameOrError, r frameOrError) bool {
	select {
	case frames <- r:
		return true
	case <-ctx.Done():
		return false
	}
}
