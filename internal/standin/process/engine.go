package process

import (
	"context"
	"io"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/inflight"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// EngineOptions are the settings of an engine stand-in.
type EngineOptions struct {
	UpstreamOptions
	// Config configures the engine; RunEngine fills in instance and incarnation.
	Config engine.Config
}

// RunEngine serves an engine stand-in until ctx ends or it is reclaimed.
func RunEngine(ctx context.Context, options EngineOptions, logger hclog.Logger, out io.Writer) error {
	options.Instance.Role = platform.RoleEngine
	var running *engine.Engine
	build := func(mux *http.ServeMux, incarnation ident.Incarnation) drainable {
		config := options.Config
		config.Instance = options.Instance.ID
		config.Incarnation = incarnation
		running = engine.New(config)
		counted := &countedEngine{Engine: running}
		connectupstream.MountEngine(mux, counted)
		return counted
	}
	err := runUpstream(ctx, "engine", options.UpstreamOptions, build, logger, out)
	if running != nil {
		running.Close()
	}
	return err
}

// countedEngine counts an engine's open streams.
type countedEngine struct {
	*engine.Engine
	streams inflight.Counter
}

// Generate implements upstream.Engine.
func (c *countedEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	c.streams.Begin()
	stream, err := c.Engine.Generate(ctx, req)
	if err != nil {
		c.streams.End()
		return nil, err
	}
	return &countedStream{TokenStream: stream, streams: &c.streams}, nil
}

// Wait returns nil once no stream is open, or the context's error.
func (c *countedEngine) Wait(ctx context.Context) error { return c.streams.Wait(ctx) }

// countedStream is an open stream. It must be closed exactly once.
type countedStream struct {
	upstream.TokenStream
	streams *inflight.Counter
}

// Close implements upstream.TokenStream.
func (c *countedStream) Close() error {
	defer c.streams.End()
	return c.TokenStream.Close()
}
