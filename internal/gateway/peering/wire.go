// Package peering connects a gateway's calls and token streams to the peer protocol: it
// converts their values to messages and back, and finds the gateways to send them to.
package peering

import (
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/calls"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// callKey returns an idempotency key with its service and client account.
func callKey(service, account, key string) ident.CallKey {
	return ident.CallKey{
		Service: ident.Service(service),
		Account: ident.ClientAccount(account),
		Key:     ident.Key(key),
	}
}

// parseHead checks and returns the fields that identify the claim of a message.
func parseHead(key ident.CallKey, claimID string, digest []byte, issuedAt *timestamppb.Timestamp) (journal.Head, error) {
	id, err := uuid.Parse(claimID)
	if err != nil {
		return journal.Head{}, errcode.Wrap(errcode.InvalidArgument, err, "claim_id")
	}
	if len(digest) != len(journal.Digest{}) {
		return journal.Head{}, errcode.Errorf(errcode.InvalidArgument, "request_digest has %d bytes", len(digest))
	}
	if err := issuedAt.CheckValid(); err != nil {
		return journal.Head{}, errcode.Wrap(errcode.InvalidArgument, err, "issued_at")
	}
	return journal.Head{Key: key, ID: id, Digest: journal.Digest(digest), IssuedAt: issuedAt.AsTime()}, nil
}

func outcomeToWire(o calls.KeyedOutcome) *peerv1.KeyedOutcome {
	return &peerv1.KeyedOutcome{
		Service:       string(o.Key.Service),
		ClientAccount: string(o.Key.Account),
		Key:           string(o.Key.Key),
		Kind:          int32(o.Kind),
		Payload:       o.Payload,
		IssuedAt:      timestamppb.New(o.IssuedAt),
		ClaimId:       o.ID.String(),
		RequestDigest: o.Digest[:],
	}
}

func outcomeFromWire(w *peerv1.KeyedOutcome) (calls.KeyedOutcome, error) {
	key := callKey(w.GetService(), w.GetClientAccount(), w.GetKey())
	h, err := parseHead(key, w.GetClaimId(), w.GetRequestDigest(), w.GetIssuedAt())
	if err != nil {
		return calls.KeyedOutcome{}, err
	}
	kind := outcome.Kind(w.GetKind())
	if !kind.Final() {
		return calls.KeyedOutcome{}, errcode.Errorf(errcode.InvalidArgument, "kind %v is not final", kind)
	}
	return calls.KeyedOutcome{Head: h, Kind: kind, Payload: w.GetPayload()}, nil
}

func callToWire(c calls.HandedCall) *peerv1.HandedCall {
	return &peerv1.HandedCall{
		Service:       string(c.Key.Service),
		Method:        string(c.Method),
		ClientAccount: string(c.Key.Account),
		Key:           string(c.Key.Key),
		ClaimId:       c.Claim.String(),
		Payload:       c.Payload,
		IssuedAt:      timestamppb.New(c.IssuedAt),
		Remaining:     durationpb.New(c.Remaining),
		RequestDigest: c.Digest[:],
		Attempt:       c.Attempt,
	}
}

func callFromWire(w *peerv1.HandedCall) (calls.HandedCall, error) {
	key := callKey(w.GetService(), w.GetClientAccount(), w.GetKey())
	h, err := parseHead(key, w.GetClaimId(), w.GetRequestDigest(), w.GetIssuedAt())
	if err != nil {
		return calls.HandedCall{}, err
	}
	return calls.HandedCall{
		Call: calls.Call{
			Key:      key,
			Method:   ident.Method(w.GetMethod()),
			Payload:  w.GetPayload(),
			IssuedAt: h.IssuedAt,
			Attempt:  w.GetAttempt(),
			Request:  ident.NewRequest(),
		},
		Claim:     h.ID,
		Digest:    h.Digest,
		Remaining: w.GetRemaining().AsDuration(),
	}, nil
}

func streamToWire(s streaming.HandedStream) *peerv1.HandedStream {
	w := &peerv1.HandedStream{
		Service:       string(s.Params.Service),
		ClientAccount: string(s.Key.Account),
		RequestId:     string(s.Key.Request),
		Class:         string(s.Params.Class),
		Prompt:        s.Params.Prompt,
		MaxTokens:     s.Params.MaxTokens,
		Delivered:     s.Delivered,
		Attempt:       s.LastAttempt,
		Upstream:      string(s.LastInstance),
		Priority:      s.Priority,
	}
	if s.Remaining > 0 {
		w.Remaining = durationpb.New(s.Remaining)
	}
	return w
}

func streamFromWire(w *peerv1.HandedStream) streaming.HandedStream {
	var remaining time.Duration
	if w.GetRemaining().IsValid() {
		remaining = w.GetRemaining().AsDuration()
	}
	return streaming.HandedStream{
		Key: streaming.Key{Account: ident.ClientAccount(w.GetClientAccount()), Request: ident.Request(w.GetRequestId())},
		Params: streaming.Params{
			Service:   ident.Service(w.GetService()),
			Class:     ident.Class(w.GetClass()),
			Prompt:    w.GetPrompt(),
			MaxTokens: w.GetMaxTokens(),
		},
		Priority:     w.GetPriority(),
		Remaining:    remaining,
		Delivered:    w.GetDelivered(),
		LastAttempt:  w.GetAttempt(),
		LastInstance: ident.Instance(w.GetUpstream()),
	}
}
