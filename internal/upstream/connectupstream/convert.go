package connectupstream

import (
	"google.golang.org/protobuf/types/known/durationpb"

	upstreamv1 "github.com/goldcrestspool/goldcrestspool/api/upstream/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func frameFromProto(p *upstreamv1.GenerateResponse) upstream.Frame {
	return upstream.Frame{
		Attempt:         p.GetAttempt(),
		Index:           p.GetIndex(),
		Tokens:          p.GetTokens(),
		Done:            p.GetDone(),
		PrefilledTokens: p.GetPrefilled(),
		Heartbeat:       p.GetHeartbeat(),
	}
}

func frameToProto(f upstream.Frame) *upstreamv1.GenerateResponse {
	return &upstreamv1.GenerateResponse{
		Attempt:   f.Attempt,
		Index:     f.Index,
		Tokens:    f.Tokens,
		Done:      f.Done,
		Prefilled: f.PrefilledTokens,
		Heartbeat: f.Heartbeat,
	}
}

func reportFromProto(p *upstreamv1.GetReportResponse) upstream.Report {
	return upstream.Report{
		Instance:            ident.Instance(p.GetInstanceId()),
		Incarnation:         ident.Incarnation(p.GetIncarnation()),
		Leaving:             p.GetLeaving(),
		Running:             int(p.GetRunning()),
		Queued:              int(p.GetQueued()),
		QueuedPrefillTokens: int(p.GetQueuedPrefillTokens()),
		BatchTokens:         int(p.GetBatchTokens()),
		Model:               p.GetModel(),
		Version:             p.GetVersion(),
		Age:                 p.GetAge().AsDuration(),
		PrefillRate:         p.GetPrefillTokensPerSecond(),
		Step:                p.GetStep().AsDuration(),
		AppliedFence:        ident.Fence(p.GetAppliedFence()),
	}
}

func reportToProto(r upstream.Report) *upstreamv1.GetReportResponse {
	return &upstreamv1.GetReportResponse{
		InstanceId:             string(r.Instance),
		Incarnation:            uint64(r.Incarnation),
		Leaving:                r.Leaving,
		Running:                uint32(r.Running),
		Queued:                 uint32(r.Queued),
		QueuedPrefillTokens:    uint32(r.QueuedPrefillTokens),
		BatchTokens:            uint32(r.BatchTokens),
		Model:                  r.Model,
		Version:                r.Version,
		Age:                    durationpb.New(r.Age),
		PrefillTokensPerSecond: r.PrefillRate,
		Step:                   durationpb.New(r.Step),
		AppliedFence:           uint64(r.AppliedFence),
	}
}
