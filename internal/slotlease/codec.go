package slotlease

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Errors of messages between gateways.
var (
	// errNotKeeper: the gateway that was asked keeps no slots.
	errNotKeeper = errors.New("the gateway keeps no slots")
	// errInvalid: no gateway of this build sends such a message.
	errInvalid = errors.New("the service, the gateway or the number is missing, or too many upstreams or slots are named")
)

const (
	// maxAvoid bounds the upstreams that an ask avoids.
	maxAvoid = 1 << 10
	// maxReturned bounds the slots that one message gives back.
	maxReturned = 1 << 10
)

// message is what a gateway sends to a keeper.
type message struct {
	part    partID
	gateway string
	// returned are the numbers of asks whose slots are given back, failed those at which the upstream failed or
	// refused the attempt, and unfinished those at which no request ran to its end, or that are withdrawn.
	returned, failed, unfinished []uint64
	// ask is nil if nothing is asked.
	ask *Ask
}

func (m message) encode() ([]byte, error) {
	out := &exchangev1.SlotMessage{Service: string(m.part.service), Part: uint32(m.part.number), Gateway: m.gateway, Returned: m.returned, Failed: m.failed, Unfinished: m.unfinished}
	if a := m.ask; a != nil {
		out.Ask = &exchangev1.SlotAsk{
			Number: a.ID.Number, Account: string(a.Account), Priority: int32(a.Priority), FailureDomain: string(a.Domain), WaitMs: toMillis(a.Wait), HoldMs: toMillis(a.Hold),
		}
		for _, id := range a.Avoid {
			out.Ask.Avoid = append(out.Ask.Avoid, string(id))
		}
	}
	data, err := proto.Marshal(out)
	return data, errors.Wrap(err, "encode a message about slots")
}

func decodeMessage(data []byte) (message, error) {
	var in exchangev1.SlotMessage
	if err := proto.Unmarshal(data, &in); err != nil {
		return message{}, errors.Wrap(err, "decode a message about slots")
	}
	if in.Service == "" || in.Gateway == "" || len(in.Returned)+len(in.Failed)+len(in.Unfinished) > maxReturned || in.Ask != nil && (in.Ask.Number == 0 || len(in.Ask.Avoid) > maxAvoid) {
		return message{}, errInvalid
	}
	m := message{part: partID{ident.Service(in.Service), int(in.Part)}, gateway: in.Gateway, returned: in.Returned, failed: in.Failed, unfinished: in.Unfinished}
	if a := in.Ask; a != nil {
		m.ask = &Ask{
			ID: LeaseID{in.Gateway, a.Number}, Account: ident.ClientAccount(a.Account), Priority: int(a.Priority), Domain: ident.FailureDomain(a.FailureDomain),
			Wait: millis(a.WaitMs), Hold: millis(a.HoldMs),
		}
		for _, id := range a.Avoid {
			m.ask.Avoid = append(m.ask.Avoid, ident.Instance(id))
		}
	}
	return m, nil
}

// encodeAnswer encodes an answer; with notKeeper, that this gateway keeps no slots.
func encodeAnswer(a Answer, notKeeper bool) ([]byte, error) {
	data, err := proto.Marshal(&exchangev1.SlotAnswer{NotKeeper: notKeeper, Upstream: string(a.Upstream), RetryAfterMs: toMillis(a.RetryAfter)})
	return data, errors.Wrap(err, "encode the answer to an ask for a slot")
}

// decodeAnswer decodes an answer. It returns errNotKeeper if the gateway keeps no slots.
func decodeAnswer(data []byte) (Answer, error) {
	var in exchangev1.SlotAnswer
	if err := proto.Unmarshal(data, &in); err != nil {
		return Answer{}, errors.Wrap(err, "decode the answer to an ask for a slot")
	}
	if in.NotKeeper {
		return Answer{}, errNotKeeper
	}
	return Answer{Upstream: ident.Instance(in.Upstream), RetryAfter: millis(in.RetryAfterMs)}, nil
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func toMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}
