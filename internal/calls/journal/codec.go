package journal

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	journalv1 "github.com/goldcrestspool/goldcrestspool/api/journal/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Encode returns the encoded record of an event.
func Encode(e Event) ([]byte, error) {
	data, err := proto.Marshal(toProto(e))
	return data, errcode.Wrap(errcode.InvalidArgument, err, "encode journal record")
}

func toProto(e Event) *journalv1.Record {
	switch e := e.(type) {
	case Claim:
		return &journalv1.Record{Event: &journalv1.Record_Claim{Claim: claimToProto(e)}}
	case Release:
		release := &journalv1.Release{Head: headToProto(e.Head)}
		return &journalv1.Record{Event: &journalv1.Record_Release{Release: release}}
	case Outcome:
		return &journalv1.Record{Event: &journalv1.Record_Outcome{Outcome: outcomeToProto(e)}}
	default:
		return &journalv1.Record{Event: &journalv1.Record_Mark{Mark: &journalv1.Mark{}}}
	}
}

func headToProto(h Head) *journalv1.Head {
	return &journalv1.Head{
		Service:       string(h.Key.Service),
		ClientAccount: string(h.Key.Account),
		Key:           string(h.Key.Key),
		ClaimId:       h.ID[:],
		RequestDigest: h.Digest[:],
		IssuedAt:      timestamppb.New(h.IssuedAt),
	}
}

func claimToProto(c Claim) *journalv1.Claim {
	p := &journalv1.Claim{
		Head:              headToProto(c.Head),
		Holder:            string(c.Holder),
		HolderIncarnation: uint64(c.HolderIncarnation),
		Attempt:           c.Attempt,
		Target: &journalv1.Target{
			InstanceId:  string(c.Target.Instance),
			Incarnation: uint64(c.Target.Incarnation),
			Address:     c.Target.Address,
		},
	}
	if c.Supersedes != (ClaimID{}) {
		p.Supersedes = c.Supersedes[:]
	}
	return p
}

func outcomeToProto(o Outcome) *journalv1.Outcome {
	return &journalv1.Outcome{
		Head:           headToProto(o.Head),
		Kind:           int32(o.Kind),
		Reason:         string(o.Reason),
		Payload:        o.Payload,
		PayloadOmitted: o.PayloadOmitted,
	}
}

// Decode returns the event of a record. It rejects everything that Encode does
// not write, so that all readers ignore the same malformed records.
func Decode(data []byte) (Event, error) {
	var r journalv1.Record
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, errcode.Wrap(errcode.InvalidArgument, err, "decode journal record")
	}
	switch e := r.GetEvent().(type) {
	case *journalv1.Record_Claim:
		return claimFromProto(e.Claim)
	case *journalv1.Record_Release:
		head, err := headFromProto(e.Release.GetHead())
		if err != nil {
			return nil, err
		}
		return Release{Head: head}, nil
	case *journalv1.Record_Outcome:
		return outcomeFromProto(e.Outcome)
	case *journalv1.Record_Mark:
		return Mark{}, nil
	}
	return nil, errcode.New(errcode.InvalidArgument, "journal record has no known event")
}

func headFromProto(p *journalv1.Head) (Head, error) {
	id, err := claimIDFromBytes(p.GetClaimId())
	if err != nil {
		return Head{}, err
	}
	digest, err := DigestFromBytes(p.GetRequestDigest())
	if err != nil {
		return Head{}, err
	}
	if err := p.GetIssuedAt().CheckValid(); err != nil {
		return Head{}, errcode.Wrap(errcode.InvalidArgument, err, "issued_at")
	}
	if p.GetKey() == "" {
		return Head{}, errcode.New(errcode.InvalidArgument, "key is empty")
	}
	return Head{
		Key: ident.CallKey{
			Service: ident.Service(p.GetService()),
			Account: ident.ClientAccount(p.GetClientAccount()),
			Key:     ident.Key(p.GetKey()),
		},
		ID:       id,
		Digest:   digest,
		IssuedAt: p.GetIssuedAt().AsTime(),
	}, nil
}

func claimFromProto(p *journalv1.Claim) (Event, error) {
	head, err := headFromProto(p.GetHead())
	if err != nil {
		return nil, err
	}
	c := Claim{
		Head:              head,
		Holder:            ident.Instance(p.GetHolder()),
		HolderIncarnation: ident.Incarnation(p.GetHolderIncarnation()),
		Attempt:           p.GetAttempt(),
		Target: Target{
			Instance:    ident.Instance(p.GetTarget().GetInstanceId()),
			Incarnation: ident.Incarnation(p.GetTarget().GetIncarnation()),
			Address:     p.GetTarget().GetAddress(),
		},
	}
	if len(p.GetSupersedes()) == 0 {
		return c, nil
	}
	c.Supersedes, err = claimIDFromBytes(p.GetSupersedes())
	if err != nil {
		return nil, err
	}
	return c, nil
}

func outcomeFromProto(p *journalv1.Outcome) (Event, error) {
	head, err := headFromProto(p.GetHead())
	if err != nil {
		return nil, err
	}
	kind := outcome.Kind(p.GetKind())
	switch kind {
	case outcome.Completed, outcome.Failed, outcome.NotRun, outcome.Unknown:
	default:
		return nil, errcode.Errorf(errcode.InvalidArgument, "outcome kind %d does not end a claim", kind)
	}
	return Outcome{
		Head:           head,
		Kind:           kind,
		Reason:         outcome.Reason(p.GetReason()),
		Payload:        p.GetPayload(),
		PayloadOmitted: p.GetPayloadOmitted(),
	}, nil
}

// DigestFromBytes converts the bytes of an encoded digest. It returns an error if
// their number is wrong.
func DigestFromBytes(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, errcode.Errorf(errcode.InvalidArgument, "request digest has %d bytes, want %d", len(b), len(d))
	}
	copy(d[:], b)
	return d, nil
}

// claimIDFromBytes converts the bytes of an encoded claim ID. It returns an error
// if their number is wrong or the ID is zero.
func claimIDFromBytes(b []byte) (ClaimID, error) {
	var id ClaimID
	if len(b) != len(id) {
		return id, errcode.Errorf(errcode.InvalidArgument, "claim ID has %d bytes, want %d", len(b), len(id))
	}
	copy(id[:], b)
	if id == (ClaimID{}) {
		return id, errcode.New(errcode.InvalidArgument, "claim ID is zero")
	}
	return id, nil
}

// Expired reports whether a key issued at issuedAt can no longer be claimed
// when the log's clock shows logTime.
func Expired(issuedAt, logTime time.Time) bool {
	return logTime.Sub(issuedAt) > Window
}

// IssuedInFuture reports whether a key issued at issuedAt cannot be claimed yet
// when the log's clock shows logTime, because the caller's clock is more than
// MaxSkew ahead.
func IssuedInFuture(issuedAt, logTime time.Time) bool {
	return issuedAt.Sub(logTime) > MaxSkew
}
