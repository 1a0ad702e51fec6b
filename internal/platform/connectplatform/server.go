package connectplatform

import (
	"context"
	"errors"
	"net/http"

	"google.golang.org/protobuf/types/known/durationpb"

	platformv1 "github.com/goldcrestspool/goldcrestspool/api/platform/v1"
	"github.com/goldcrestspool/goldcrestspool/api/platform/v1/platformv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Services are the implementations that Mount serves.
type Services struct {
	Log       platform.Log
	Instances platform.Instances
	Cloud     platform.Cloud
	Weights   platform.Weights
}

// Mount adds the handlers of all services to a mux.
func Mount(mux *http.ServeMux, services Services) {
	mux.Handle(platformv1connect.NewLogServiceHandler(logHandler{services.Log}))
	mux.Handle(platformv1connect.NewInstanceServiceHandler(instanceHandler{services.Instances}))
	mux.Handle(platformv1connect.NewCloudServiceHandler(cloudHandler{services.Cloud}))
	mux.Handle(platformv1connect.NewWeightServiceHandler(weightHandler{services.Weights}))
}

type logHandler struct{ log platform.Log }

func (h logHandler) Append(ctx context.Context, req *platformv1.AppendRequest) (*platformv1.AppendResponse, error) {
	first, err := h.log.Append(ctx, req.GetStream(), req.GetRecords())
	if err != nil {
		return nil, toWire(err)
	}
	return &platformv1.AppendResponse{FirstOffset: uint64(first)}, nil
}

func (h logHandler) Read(ctx context.Context, req *platformv1.ReadRequest) (*platformv1.ReadResponse, error) {
	from := ident.Offset(req.GetFromOffset())
	batch, err := h.log.Read(ctx, req.GetStream(), from, int(req.GetMaxRecords()), req.GetWait().AsDuration())
	if errors.Is(err, platform.ErrExpired) {
		return nil, expiredError(batch, err)
	}
	if err != nil {
		return nil, toWire(err)
	}
	return batchToProto(batch), nil
}

type instanceHandler struct{ instances platform.Instances }

func (h instanceHandler) ListInstances(
	ctx context.Context, _ *platformv1.ListInstancesRequest,
) (*platformv1.ListInstancesResponse, error) {
	list, err := h.instances.List(ctx)
	if err != nil {
		return nil, toWire(err)
	}
	response := &platformv1.ListInstancesResponse{}
	for _, instance := range list {
		response.Instances = append(response.Instances, InstanceToProto(instance))
	}
	return response, nil
}

type cloudHandler struct{ cloud platform.Cloud }

func (h cloudHandler) Start(ctx context.Context, req *platformv1.StartRequest) (*platformv1.StartResponse, error) {
	id, err := h.cloud.Start(ctx, platform.StartRequest{
		StartID:       req.GetStartId(),
		Service:       ident.Service(req.GetService()),
		Role:          platform.Role(req.GetRole()),
		FailureDomain: ident.FailureDomain(req.GetFailureDomain()),
		Class:         ident.MachineClass(req.GetMachineClass()),
		Reclaimable:   req.GetReclaimable(),
		Fence:         ident.Fence(req.GetFence()),
	})
	if err != nil {
		return nil, toWire(err)
	}
	return &platformv1.StartResponse{InstanceId: string(id)}, nil
}

func (h cloudHandler) Stop(ctx context.Context, req *platformv1.StopRequest) (*platformv1.StopResponse, error) {
	err := h.cloud.Stop(ctx, ident.Instance(req.GetInstanceId()), ident.Fence(req.GetFence()))
	if err != nil {
		return nil, toWire(err)
	}
	return &platformv1.StopResponse{}, nil
}

func (h cloudHandler) ListNotices(
	ctx context.Context, req *platformv1.ListNoticesRequest,
) (*platformv1.ListNoticesResponse, error) {
	notices, err := h.cloud.Notices(ctx, req.GetAfter())
	if err != nil {
		return nil, toWire(err)
	}
	response := &platformv1.ListNoticesResponse{}
	for _, notice := range notices {
		response.Notices = append(response.Notices, noticeToProto(notice))
	}
	return response, nil
}

type weightHandler struct{ weights platform.Weights }

func (h weightHandler) Reserve(
	ctx context.Context, req *platformv1.ReserveRequest,
) (*platformv1.ReserveResponse, error) {
	transfer, err := h.weights.Reserve(ctx, req.GetModel(), req.GetVersion())
	if err != nil {
		return nil, toWire(err)
	}
	return &platformv1.ReserveResponse{
		Bytes:    transfer.Bytes,
		Duration: durationpb.New(transfer.Duration),
	}, nil
}
