// Package handover carries token streams from a leaving gateway to a peer in
// the messages of the peers' protocol.
package handover

import (
	"context"

	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// Sender sends a hand-over to the peer at an address; see peer.Pool.
type Sender interface {
	HandOver(ctx context.Context, address string, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error)
}

// Peer is one peer. It implements streaming.Peer.
type Peer struct {
	Sender  Sender
	Address string
	// From is this gateway.
	From ident.Instance
}

var _ streaming.Peer = Peer{}

// HandOver implements streaming.Peer.
func (p Peer) HandOver(ctx context.Context, streams []streaming.Handed) ([]streaming.Key, error) {
	req := &peerv1.HandOverRequest{From: string(p.From)}
	keys := make(map[string]streaming.Key, len(streams))
	for _, s := range streams {
		req.Streams = append(req.Streams, toProto(s))
		keys[s.Key.String()] = s.Key
	}
	resp, err := p.Sender.HandOver(ctx, p.Address, req)
	if err != nil {
		return nil, err
	}
	var accepted []streaming.Key
	for _, name := range resp.GetAccepted() {
		if key, ok := keys[name]; ok {
			accepted = append(accepted, key)
		}
	}
	return accepted, nil
}

// Accept takes the streams of a message over and returns their names for the
// answer.
func Accept(registry *streaming.Registry, streams []*peerv1.HandedStream) []string {
	handed := make([]streaming.Handed, len(streams))
	for i, s := range streams {
		handed[i] = fromProto(s)
	}
	var names []string
	for _, key := range registry.Accept(handed) {
		names = append(names, key.String())
	}
	return names
}

func toProto(s streaming.Handed) *peerv1.HandedStream {
	message := &peerv1.HandedStream{
		Service:       string(s.Ask.Service),
		ClientAccount: string(s.Key.Account),
		RequestId:     string(s.Key.Request),
		Class:         string(s.Ask.Class),
		Prompt:        s.Ask.Prompt,
		MaxTokens:     s.Ask.MaxTokens,
		Delivered:     s.Delivered,
		Attempt:       s.Attempt,
		Upstream:      string(s.Served),
		Priority:      s.Priority,
	}
	if s.Remaining > 0 {
		message.Remaining = durationpb.New(s.Remaining)
	}
	return message
}

func fromProto(m *peerv1.HandedStream) streaming.Handed {
	return streaming.Handed{
		Key: streaming.Key{
			Account: ident.ClientAccount(m.GetClientAccount()),
			Request: ident.Request(m.GetRequestId()),
		},
		Ask: streaming.Ask{
			Service:   ident.Service(m.GetService()),
			Class:     ident.Class(m.GetClass()),
			Prompt:    m.GetPrompt(),
			MaxTokens: m.GetMaxTokens(),
		},
		Priority:  m.GetPriority(),
		Remaining: m.GetRemaining().AsDuration(),
		Delivered: m.GetDelivered(),
		Attempt:   m.GetAttempt(),
		Served:    ident.Instance(m.GetUpstream()),
	}
}
