package connectupstream

import (
	"context"
	"io"
	"sync"

	"connectrpc.com/connect"

	upstreamv1 "github.com/goldcrestspool/goldcrestspool/api/upstream/v1"
	"github.com/goldcrestspool/goldcrestspool/api/upstream/v1/upstreamv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Engine is the model engine behind one base URL.
type Engine struct {
	client upstreamv1connect.EngineServiceClient
}

var _ upstream.Engine = (*Engine)(nil)

// NewEngine returns a client of the engine at a base URL.
func NewEngine(clients *Clients, baseURL string) *Engine {
	return &Engine{client: upstreamv1connect.NewEngineServiceClient(clients.fresh, baseURL, noCompression)}
}

// Generate implements upstream.Engine. It returns once the engine has sent its
// first frame, which may be a heartbeat, or has refused.
func (e *Engine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	ctx, attempt := transport.Observe(ctx)
	ctx, cancel := context.WithCancel(ctx)
	frames, err := e.client.Generate(ctx, &upstreamv1.GenerateRequest{
		RequestId: string(req.Request),
		Attempt:   req.Attempt,
		Prompt:    req.Prompt,
		Delivered: req.Delivered,
		MaxTokens: req.MaxTokens,
		Priority:  req.Priority,
	})
	if err != nil {
		cancel()
		return nil, fromWire(err, attempt, "generate")
	}
	stream := &tokenStream{frames: frames, cancel: cancel}
	if !frames.Receive() {
		_ = stream.Close()
		return nil, fromWire(orUnexpectedEOF(frames.Err()), attempt, "generate")
	}
	first := frameFromProto(frames.Msg())
	stream.first = &first
	return stream, nil
}

// Report implements upstream.Engine.
func (e *Engine) Report(ctx context.Context) (upstream.Report, error) {
	ctx, attempt := transport.Observe(ctx)
	response, err := e.client.GetReport(ctx, &upstreamv1.GetReportRequest{})
	if err != nil {
		return upstream.Report{}, fromWire(err, attempt, "get report")
	}
	return reportFromProto(response), nil
}

// CacheEvents implements upstream.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]upstream.CacheEvent, error) {
	ctx, attempt := transport.Observe(ctx)
	response, err := e.client.ListCacheEvents(ctx, &upstreamv1.ListCacheEventsRequest{After: after})
	if err != nil {
		return nil, fromWire(err, attempt, "list cache events")
	}
	events := make([]upstream.CacheEvent, 0, len(response.GetEvents()))
	for _, event := range response.GetEvents() {
		events = append(events, upstream.CacheEvent{
			Sequence: event.GetSequence(),
			Stored:   event.GetStored(),
			Block:    event.GetBlock(),
		})
	}
	return events, nil
}

// ExportCache implements upstream.Engine.
func (e *Engine) ExportCache(ctx context.Context, id ident.Request) ([]byte, error) {
	ctx, attempt := transport.Observe(ctx)
	response, err := e.client.ExportCache(ctx, &upstreamv1.ExportCacheRequest{RequestId: string(id)})
	if err != nil {
		return nil, fromWire(err, attempt, "export cache")
	}
	return response.GetCache(), nil
}

// ImportCache implements upstream.Engine.
func (e *Engine) ImportCache(ctx context.Context, id ident.Request, cache []byte) (int, error) {
	ctx, attempt := transport.Observe(ctx)
	response, err := e.client.ImportCache(ctx, &upstreamv1.ImportCacheRequest{RequestId: string(id), Cache: cache})
	if err != nil {
		return 0, fromWire(err, attempt, "import cache")
	}
	return int(response.GetTokens()), nil
}

// Apply implements upstream.Engine.
func (e *Engine) Apply(ctx context.Context, order upstream.Order) error {
	ctx, attempt := transport.Observe(ctx)
	_, err := e.client.Apply(ctx, &upstreamv1.ApplyRequest{
		Fence:    uint64(order.Fence),
		Model:    order.Model,
		Version:  order.Version,
		Adapters: order.Adapters,
		Role:     order.Role,
	})
	if err != nil {
		return fromWire(err, attempt, "apply order")
	}
	return nil
}

// tokenStream is one attempt at a remote engine. Next may be called by one goroutine
// only; Close may be called by another one.
type tokenStream struct {
	frames    *connect.ServerStreamForClient[upstreamv1.GenerateResponse]
	cancel    context.CancelFunc
	first     *upstream.Frame
	done      bool
	closeOnce sync.Once
}

// Next implements upstream.TokenStream.
func (s *tokenStream) Next() (upstream.Frame, error) {
	if s.done {
		return upstream.Frame{}, io.EOF
	}
	frame, err := s.receive()
	s.done = frame.Done
	return frame, err
}

func (s *tokenStream) receive() (upstream.Frame, error) {
	if s.first != nil {
		frame := *s.first
		s.first = nil
		return frame, nil
	}
	if !s.frames.Receive() {
		return upstream.Frame{}, wrapUncertain(orUnexpectedEOF(s.frames.Err()), "receive tokens")
	}
	return frameFromProto(s.frames.Msg()), nil
}

// Close implements upstream.TokenStream. Cancelling the context unblocks Next and
// closes the connection, from which the engine learns that the attempt is over.
func (s *tokenStream) Close() error {
	s.closeOnce.Do(s.cancel)
	return nil
}

// orUnexpectedEOF returns err, or io.ErrUnexpectedEOF for a stream that ended without
// an error before its last frame.
func orUnexpectedEOF(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}
