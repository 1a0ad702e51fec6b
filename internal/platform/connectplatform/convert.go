package connectplatform

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	platformv1 "github.com/goldcrestspool/goldcrestspool/api/platform/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// InstanceFromProto converts one entry of the instance list. Roles and states have the
// same numbers in both types.
func InstanceFromProto(p *platformv1.Instance) platform.Instance {
	return platform.Instance{
		ID:            ident.Instance(p.GetId()),
		Incarnation:   ident.Incarnation(p.GetIncarnation()),
		Role:          platform.Role(p.GetRole()),
		Service:       ident.Service(p.GetService()),
		Region:        ident.Region(p.GetRegion()),
		FailureDomain: ident.FailureDomain(p.GetFailureDomain()),
		Class:         ident.MachineClass(p.GetMachineClass()),
		Reclaimable:   p.GetReclaimable(),
		Address:       p.GetAddress(),
		PeerAddress:   p.GetPeerAddress(),
		State:         platform.InstanceState(p.GetState()),
	}
}

// InstanceToProto converts one entry of the instance list.
func InstanceToProto(i platform.Instance) *platformv1.Instance {
	return &platformv1.Instance{
		Id:            string(i.ID),
		Incarnation:   uint64(i.Incarnation),
		Role:          platformv1.Role(i.Role),
		Service:       string(i.Service),
		Region:        string(i.Region),
		FailureDomain: string(i.FailureDomain),
		MachineClass:  string(i.Class),
		Reclaimable:   i.Reclaimable,
		Address:       i.Address,
		PeerAddress:   i.PeerAddress,
		State:         platformv1.InstanceState(i.State),
	}
}

func batchFromProto(p *platformv1.ReadResponse) platform.Batch {
	batch := platform.Batch{
		Head:  ident.Offset(p.GetHeadOffset()),
		First: ident.Offset(p.GetFirstOffset()),
	}
	for _, r := range p.GetRecords() {
		batch.Records = append(batch.Records, platform.Record{
			Offset:     ident.Offset(r.GetOffset()),
			Data:       r.GetData(),
			AppendedAt: r.GetAppendedAt().AsTime(),
		})
	}
	return batch
}

func batchToProto(b platform.Batch) *platformv1.ReadResponse {
	p := &platformv1.ReadResponse{
		HeadOffset:  uint64(b.Head),
		FirstOffset: uint64(b.First),
	}
	for _, r := range b.Records {
		p.Records = append(p.Records, &platformv1.Record{
			Offset:     uint64(r.Offset),
			Data:       r.Data,
			AppendedAt: timestamppb.New(r.AppendedAt),
		})
	}
	return p
}

func noticeFromProto(p *platformv1.Notice) platform.Notice {
	return platform.Notice{
		Sequence:    p.GetSequence(),
		Instance:    ident.Instance(p.GetInstanceId()),
		Incarnation: ident.Incarnation(p.GetIncarnation()),
		EndsIn:      p.GetEndsIn().AsDuration(),
	}
}

func noticeToProto(n platform.Notice) *platformv1.Notice {
	return &platformv1.Notice{
		Sequence:    n.Sequence,
		InstanceId:  string(n.Instance),
		Incarnation: uint64(n.Incarnation),
		EndsAt:      timestamppb.New(time.Now().Add(n.EndsIn)),
		EndsIn:      durationpb.New(n.EndsIn),
	}
}
