// Package admin serves the stand-ins' administrative API, with which scripts set
// them up, inject faults and count what was executed.
package admin

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	platformv1 "github.com/goldcrestspool/goldcrestspool/api/platform/v1"
	standinv1 "github.com/goldcrestspool/goldcrestspool/api/standin/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/cloud"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/instances"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/weights"
)

// Platform serves PlatformAdminService for the stand-ins of one process.
type Platform struct {
	Log       *logstore.Log
	Instances *instances.List
	Cloud     *cloud.Cloud
	Weights   *weights.Store
}

// Register adds an instance, or a new incarnation of it, to the list.
func (p *Platform) Register(
	_ context.Context, req *standinv1.RegisterRequest,
) (*standinv1.RegisterResponse, error) {
	if req.GetInstance().GetId() == "" {
		return nil, invalid("instance.id is empty")
	}
	if req.GetInstance().GetRole() == platformv1.Role_ROLE_UNSPECIFIED {
		return nil, invalid("instance.role is not set")
	}
	incarnation := p.Instances.Register(connectplatform.InstanceFromProto(req.GetInstance()))
	return &standinv1.RegisterResponse{Incarnation: uint64(incarnation)}, nil
}

// SetState changes an instance's state in the list.
func (p *Platform) SetState(
	_ context.Context, req *standinv1.SetStateRequest,
) (*standinv1.SetStateResponse, error) {
	id := ident.Instance(req.GetInstanceId())
	state := platform.InstanceState(req.GetState())
	if !p.Instances.SetState(id, ident.Incarnation(req.GetIncarnation()), state) {
		return nil, unknownInstance(id)
	}
	return &standinv1.SetStateResponse{}, nil
}

// Announce issues a reclaim notice for the current incarnation of an instance.
func (p *Platform) Announce(
	_ context.Context, req *standinv1.AnnounceRequest,
) (*standinv1.AnnounceResponse, error) {
	id := ident.Instance(req.GetInstanceId())
	instance, ok := p.Instances.Find(id)
	if !ok {
		return nil, unknownInstance(id)
	}
	notice := p.Cloud.Announce(id, instance.Incarnation, req.GetEndsIn().AsDuration())
	return &standinv1.AnnounceResponse{Sequence: notice.Sequence}, nil
}

// SetFaults sets the outage and the delay of one part.
func (p *Platform) SetFaults(
	_ context.Context, req *standinv1.SetFaultsRequest,
) (*standinv1.SetFaultsResponse, error) {
	injector, err := p.injector(req.GetPart())
	if err != nil {
		return nil, err
	}
	injector.SetOutage(req.GetOutage())
	injector.SetDelay(req.GetDelay().AsDuration())
	return &standinv1.SetFaultsResponse{}, nil
}

// LoseNext makes one part lose the next request that has an effect, or its answer.
func (p *Platform) LoseNext(
	_ context.Context, req *standinv1.LoseNextRequest,
) (*standinv1.LoseNextResponse, error) {
	injector, err := p.injector(req.GetPart())
	if err != nil {
		return nil, err
	}
	injector.SetLateness(req.GetLateBy().AsDuration())
	injector.LoseNext(fault.Loss(req.GetLoss()))
	return &standinv1.LoseNextResponse{}, nil
}

// SetCapacity sets whether instances of a class can be started in a failure
// domain.
func (p *Platform) SetCapacity(
	_ context.Context, req *standinv1.SetCapacityRequest,
) (*standinv1.SetCapacityResponse, error) {
	domain := ident.FailureDomain(req.GetFailureDomain())
	p.Cloud.SetCapacity(domain, ident.MachineClass(req.GetMachineClass()), req.GetAvailable())
	return &standinv1.SetCapacityResponse{}, nil
}

// GetStats returns the number of appends that took effect at the log.
func (p *Platform) GetStats(
	context.Context, *standinv1.GetStatsRequest,
) (*standinv1.GetStatsResponse, error) {
	return &standinv1.GetStatsResponse{Appends: uint64(p.Log.Appends())}, nil
}

func (p *Platform) injector(part standinv1.Part) (*fault.Injector, error) {
	switch part {
	case standinv1.Part_PART_LOG:
		return &p.Log.Injector, nil
	case standinv1.Part_PART_INSTANCES:
		return &p.Instances.Injector, nil
	case standinv1.Part_PART_CLOUD:
		return &p.Cloud.Injector, nil
	case standinv1.Part_PART_WEIGHTS:
		return &p.Weights.Injector, nil
	}
	return nil, invalid("part is not set")
}

func invalid(problem string) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.New(problem))
}

func unknownInstance(id ident.Instance) error {
	return connect.NewError(connect.CodeNotFound, errors.Errorf("no instance %q", id))
}
