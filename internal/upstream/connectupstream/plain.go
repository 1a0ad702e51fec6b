package connectupstream

import (
	"context"

	upstreamv1 "github.com/goldcrestspool/goldcrestspool/api/upstream/v1"
	"github.com/goldcrestspool/goldcrestspool/api/upstream/v1/upstreamv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Plain is the plain service behind one base URL.
type Plain struct {
	pooled upstreamv1connect.PlainServiceClient
	fresh  upstreamv1connect.PlainServiceClient
}

var _ upstream.Plain = (*Plain)(nil)

// NewPlain returns a client of the plain service at a base URL.
func NewPlain(clients *Clients, baseURL string) *Plain {
	return &Plain{
		pooled: upstreamv1connect.NewPlainServiceClient(clients.pooled, baseURL, noCompression),
		fresh:  upstreamv1connect.NewPlainServiceClient(clients.fresh, baseURL, noCompression),
	}
}

// Invoke implements upstream.Plain. Only a call without a key, which may be
// repeated, uses a kept connection.
func (p *Plain) Invoke(ctx context.Context, req upstream.InvokeRequest) (upstream.Answer, error) {
	client := p.pooled
	if req.Key != "" {
		client = p.fresh
	}
	ctx, attempt := transport.Observe(ctx)
	response, err := client.Invoke(ctx, &upstreamv1.InvokeRequest{
		Method:  string(req.Method),
		Key:     req.Key,
		Fence:   uint64(req.Fence),
		Payload: req.Payload,

		Incarnation: uint64(req.Incarnation),
	})
	if err != nil {
		return upstream.Answer{}, fromWire(err, attempt, "invoke "+string(req.Method))
	}
	return upstream.Answer{Payload: response.GetPayload(), Failed: response.GetFailed()}, nil
}

// Find implements upstream.Plain.
func (p *Plain) Find(ctx context.Context, key string, fence ident.Fence) (upstream.FindResult, error) {
	ctx, attempt := transport.Observe(ctx)
	response, err := p.fresh.Find(ctx, &upstreamv1.FindRequest{Key: key, Fence: uint64(fence)})
	if err != nil {
		return upstream.FindResult{}, fromWire(err, attempt, "find outcome")
	}
	return upstream.FindResult{
		State:  upstream.FindState(response.GetState()),
		Answer: upstream.Answer{Payload: response.GetPayload(), Failed: response.GetFailed()},
		Fenced: response.GetFenced(),

		Incarnation: ident.Incarnation(response.GetIncarnation()),
	}, nil
}

// Health implements upstream.Plain.
func (p *Plain) Health(ctx context.Context) (upstream.Health, error) {
	ctx, attempt := transport.Observe(ctx)
	response, err := p.fresh.GetHealth(ctx, &upstreamv1.GetHealthRequest{})
	if err != nil {
		return upstream.Health{}, fromWire(err, attempt, "get health")
	}
	return upstream.Health{
		Instance:    ident.Instance(response.GetInstanceId()),
		Incarnation: ident.Incarnation(response.GetIncarnation()),
		Leaving:     response.GetLeaving(),
		Running:     int(response.GetRunning()),
	}, nil
}
