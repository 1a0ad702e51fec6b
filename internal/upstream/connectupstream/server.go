package connectupstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	upstreamv1 "github.com/goldcrestspool/goldcrestspool/api/upstream/v1"
	"github.com/goldcrestspool/goldcrestspool/api/upstream/v1/upstreamv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// heartbeatInterval is the longest time without a frame in a served token stream.
const heartbeatInterval = 500 * time.Millisecond

// MountPlain adds the handler of a plain service to a mux.
func MountPlain(mux *http.ServeMux, plain upstream.Plain) {
	mux.Handle(upstreamv1connect.NewPlainServiceHandler(plainHandler{plain}))
}

// MountEngine adds the handler of an engine to a mux.
func MountEngine(mux *http.ServeMux, engine upstream.Engine) {
	mux.Handle(upstreamv1connect.NewEngineServiceHandler(engineHandler{engine}))
}

type plainHandler struct{ plain upstream.Plain }

func (h plainHandler) Invoke(ctx context.Context, req *upstreamv1.InvokeRequest) (*upstreamv1.InvokeResponse, error) {
	answer, err := h.plain.Invoke(ctx, upstream.InvokeRequest{
		Method:  ident.Method(req.GetMethod()),
		Key:     req.GetKey(),
		Fence:   ident.Fence(req.GetFence()),
		Payload: req.GetPayload(),

		Incarnation: ident.Incarnation(req.GetIncarnation()),
	})
	if err != nil {
		return nil, refusalToWire(ctx, err)
	}
	return &upstreamv1.InvokeResponse{Payload: answer.Payload, Failed: answer.Failed}, nil
}

func (h plainHandler) Find(ctx context.Context, req *upstreamv1.FindRequest) (*upstreamv1.FindResponse, error) {
	found, err := h.plain.Find(ctx, req.GetKey(), ident.Fence(req.GetFence()))
	if err != nil {
		return nil, refusalToWire(ctx, err)
	}
	return &upstreamv1.FindResponse{
		State:   upstreamv1.FindState(found.State),
		Payload: found.Answer.Payload,
		Failed:  found.Answer.Failed,
		Fenced:  found.Fenced,

		Incarnation: uint64(found.Incarnation),
	}, nil
}

func (h plainHandler) GetHealth(
	ctx context.Context, _ *upstreamv1.GetHealthRequest,
) (*upstreamv1.GetHealthResponse, error) {
	health, err := h.plain.Health(ctx)
	if err != nil {
		return nil, refusalToWire(ctx, err)
	}
	return &upstreamv1.GetHealthResponse{
		InstanceId:  string(health.Instance),
		Incarnation: uint64(health.Incarnation),
		Leaving:     health.Leaving,
		Running:     uint32(health.Running),
	}, nil
}

type engineHandler struct{ engine upstream.Engine }

// Generate sends a heartbeat as soon as the engine has accepted the request, and again
// whenever the engine sends nothing for heartbeatInterval.
func (h engineHandler) Generate(
	ctx context.Context, req *upstreamv1.GenerateRequest, out *connect.ServerStream[upstreamv1.GenerateResponse],
) error {
	stream, err := h.engine.Generate(ctx, upstream.GenerateRequest{
		Request:   ident.Request(req.GetRequestId()),
		Attempt:   req.GetAttempt(),
		Prompt:    req.GetPrompt(),
		Delivered: req.GetDelivered(),
		MaxTokens: req.GetMaxTokens(),
		Priority:  req.GetPriority(),
	})
	if err != nil {
		return refusalToWire(ctx, err)
	}
	defer func() { _ = stream.Close() }()
	heartbeat := frameToProto(upstream.Frame{Attempt: req.GetAttempt(), Heartbeat: true})
	if err := out.Send(heartbeat); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return forwardFrames(ctx, readFrames(ctx, stream), heartbeat, out)
}

// frameResult is what a stream's Next returned.
type frameResult struct {
	frame upstream.Frame
	err   error
}

// readFrames reads a stream to its end in a goroutine, which also ends with ctx.
func readFrames(ctx context.Context, stream upstream.TokenStream) <-chan frameResult {
	frames := make(chan frameResult)
	go func() {
		defer close(frames)
		for {
			frame, err := stream.Next()
			select {
			case frames <- frameResult{frame, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return frames
}

// forwardFrames sends frames to the client, and heartbeats while there are none.
func forwardFrames(
	ctx context.Context, frames <-chan frameResult, heartbeat *upstreamv1.GenerateResponse,
	out *connect.ServerStream[upstreamv1.GenerateResponse],
) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		message := heartbeat
		select {
		case r := <-frames:
			if errors.Is(r.err, io.EOF) {
				return nil
			}
			if r.err != nil {
				return connect.NewError(connect.CodeUnavailable, r.err)
			}
			message = frameToProto(r.frame)
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := out.Send(message); err != nil {
			return err
		}
	}
}

func (h engineHandler) GetReport(
	ctx context.Context, _ *upstreamv1.GetReportRequest,
) (*upstreamv1.GetReportResponse, error) {
	report, err := h.engine.Report(ctx)
	if err != nil {
		return nil, refusalToWire(ctx, err)
	}
	return reportToProto(report), nil
}

func (h engineHandler) ListCacheEvents(
	ctx context.Context, req *upstreamv1.ListCacheEventsRequest,
) (*upstreamv1.ListCacheEventsResponse, error) {
	events, err := h.engine.CacheEvents(ctx, req.GetAfter())
	if err != nil {
		return nil, refusalToWire(ctx, err)
	}
	response := &upstreamv1.ListCacheEventsResponse{LastSequence: req.GetAfter()}
	for _, event := range events {
		response.LastSequence = max(response.LastSequence, event.Sequence)
		response.Events = append(response.Events, &upstreamv1.CacheEvent{
			Sequence: event.Sequence,
			Stored:   event.Stored,
			Block:    event.Block,
		})
	}
	return response, nil
}

func (h engineHandler) ExportCache(
	ctx context.Context, req *upstreamv1.ExportCacheRequest,
) (*upstreamv1.ExportCacheResponse, error) {
	cache, err := h.engine.ExportCache(ctx, ident.Request(req.GetRequestId()))
	if err != nil {
		return nil, refusalToWire(ctx, err)
	}
	return &upstreamv1.ExportCacheResponse{Cache: cache}, nil
}

func (h engineHandler) ImportCache(
	ctx context.Context, req *upstreamv1.ImportCacheRequest,
) (*upstreamv1.ImportCacheResponse, error) {
	tokens, err := h.engine.ImportCache(ctx, ident.Request(req.GetRequestId()), req.GetCache())
	if err != nil {
		return nil, refusalToWire(ctx, err)
	}
	return &upstreamv1.ImportCacheResponse{Tokens: uint32(tokens)}, nil
}

func (h engineHandler) Apply(ctx context.Context, req *upstreamv1.ApplyRequest) (*upstreamv1.ApplyResponse, error) {
	err := h.engine.Apply(ctx, upstream.Order{
		Fence:    ident.Fence(req.GetFence()),
		Model:    req.GetModel(),
		Version:  req.GetVersion(),
		Adapters: req.GetAdapters(),
		Role:     req.GetRole(),
	})
	if err != nil {
		return nil, refusalToWire(ctx, err)
	}
	return &upstreamv1.ApplyResponse{}, nil
}
