// Package connectplatform implements the platform's protocol over Connect: clients that
// implement the interfaces of package platform, and handlers that serve any
// implementation of these interfaces.
package connectplatform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	platformv1 "github.com/goldcrestspool/goldcrestspool/api/platform/v1"
	"github.com/goldcrestspool/goldcrestspool/api/platform/v1/platformv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

const (
	// requestTimeout bounds requests whose caller sets no deadline or a later one: on a
	// connection that went silent no answer ever comes.
	requestTimeout = 10 * time.Second
	// readGrace is how much longer than its wait a read may take. A log that is slower
	// than this cannot be read; with a shorter grace a slow log would be taken for a
	// silent connection.
	readGrace = 5 * time.Second
)

// Client is a client of the platform at one base URL.
type Client struct {
	log       platformv1connect.LogServiceClient
	instances platformv1connect.InstanceServiceClient
	cloud     platformv1connect.CloudServiceClient
	weights   platformv1connect.WeightServiceClient
	// timeout and readGrace are the constants above, except in tests.
	timeout, readGrace time.Duration
}

var (
	_ platform.Log       = (*Client)(nil)
	_ platform.Instances = (*Client)(nil)
	_ platform.Cloud     = (*Client)(nil)
	_ platform.Weights   = (*Client)(nil)
)

// NewClient returns a client. The HTTP client must come from transport.NewClient, which
// repeats no request: a repeated append would be in the log twice. It should dial a
// connection for each request (transport.Options.FreshConnections), so that a
// connection that goes silent costs one request at most.
func NewClient(client *http.Client, baseURL string, options ...connect.ClientOption) *Client {
	return &Client{
		log:       platformv1connect.NewLogServiceClient(client, baseURL, options...),
		instances: platformv1connect.NewInstanceServiceClient(client, baseURL, options...),
		cloud:     platformv1connect.NewCloudServiceClient(client, baseURL, options...),
		weights:   platformv1connect.NewWeightServiceClient(client, baseURL, options...),
		timeout:   requestTimeout,
		readGrace: readGrace,
	}
}

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, attempt := transport.Observe(ctx)
	response, err := c.log.Append(ctx, &platformv1.AppendRequest{Stream: stream, Records: records})
	if err != nil {
		return 0, fromWire(err, uncertainKind(attempt), "append to stream "+stream)
	}
	return ident.Offset(response.GetFirstOffset()), nil
}

// Read implements platform.Log. It asks for fewer records if there is no room in the memory for as many.
func (c *Client) Read(
	ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration,
) (platform.Batch, error) {
	for ; ; limit /= 2 {
		batch, err := c.readOnce(ctx, stream, from, limit, wait)
		if limit <= 1 || !errors.Is(err, answerbudget.ErrNoRoom) {
			return batch, err
		}
	}
}

func (c *Client) readOnce(
	ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration,
) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.readGrace)
	defer cancel()
	response, err := c.log.Read(ctx, &platformv1.ReadRequest{
		Stream:     stream,
		FromOffset: uint64(from),
		MaxRecords: uint32(limit),
		Wait:       durationpb.New(wait),
	})
	if err != nil {
		return c.failedRead(stream, err)
	}
	return batchFromProto(response), nil
}

func (c *Client) failedRead(stream string, err error) (platform.Batch, error) {
	operation := "read stream " + stream
	kind := fromWire(err, platform.ErrUnavailable, operation)
	if !errors.Is(kind, platform.ErrExpired) {
		return platform.Batch{}, kind
	}
	batch, malformed := expiredBatch(err)
	if malformed != nil {
		return platform.Batch{}, wrapKind(platform.ErrUnavailable, malformed, operation)
	}
	return batch, kind
}

// List implements platform.Instances.
func (c *Client) List(ctx context.Context) ([]platform.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.instances.ListInstances(ctx, &platformv1.ListInstancesRequest{})
	if err != nil {
		return nil, fromWire(err, platform.ErrUnavailable, "list instances")
	}
	list := make([]platform.Instance, 0, len(response.GetInstances()))
	for _, instance := range response.GetInstances() {
		list = append(list, InstanceFromProto(instance))
	}
	return list, nil
}

// Start implements platform.Cloud.
func (c *Client) Start(ctx context.Context, req platform.StartRequest) (ident.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, attempt := transport.Observe(ctx)
	response, err := c.cloud.Start(ctx, &platformv1.StartRequest{
		StartId:       req.StartID,
		Service:       string(req.Service),
		Role:          platformv1.Role(req.Role),
		FailureDomain: string(req.FailureDomain),
		MachineClass:  string(req.Class),
		Reclaimable:   req.Reclaimable,
		Fence:         uint64(req.Fence),
	})
	if err != nil {
		return "", fromWire(err, uncertainKind(attempt), "start instance")
	}
	return ident.Instance(response.GetInstanceId()), nil
}

// Stop implements platform.Cloud.
func (c *Client) Stop(ctx context.Context, id ident.Instance, fence ident.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, attempt := transport.Observe(ctx)
	_, err := c.cloud.Stop(ctx, &platformv1.StopRequest{InstanceId: string(id), Fence: uint64(fence)})
	if err != nil {
		return fromWire(err, uncertainKind(attempt), "stop instance "+string(id))
	}
	return nil
}

// Notices implements platform.Cloud.
func (c *Client) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.cloud.ListNotices(ctx, &platformv1.ListNoticesRequest{After: after})
	if err != nil {
		return nil, fromWire(err, platform.ErrUnavailable, "list notices")
	}
	notices := make([]platform.Notice, 0, len(response.GetNotices()))
	for _, notice := range response.GetNotices() {
		notices = append(notices, noticeFromProto(notice))
	}
	return notices, nil
}

// Reserve implements platform.Weights.
func (c *Client) Reserve(ctx context.Context, model, version string) (platform.Transfer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.weights.Reserve(ctx, &platformv1.ReserveRequest{Model: model, Version: version})
	if err != nil {
		return platform.Transfer{}, fromWire(err, platform.ErrUnavailable, "reserve weights of "+model)
	}
	return platform.Transfer{
		Bytes:    response.GetBytes(),
		Duration: response.GetDuration().AsDuration(),
	}, nil
}

// uncertainKind returns the kind of error for a request that has an effect and failed
// without a reason from the server: ErrUnavailable if it was not sent, and
// ErrAnswerLost otherwise.
func uncertainKind(attempt *transport.Attempt) error {
	if attempt.NotSent() {
		return platform.ErrUnavailable
	}
	return platform.ErrAnswerLost
}
