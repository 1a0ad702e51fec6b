package membership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
)

// FuzzExchange sends malformed heartbeats, as a faulty peer may. They are
// rejected or merged, and the process must still answer the next valid one.
func FuzzExchange(f *testing.F) {
	strange := &peerv1.ExchangeRequest{
		From:     "p",
		Position: &peerv1.DigestPosition{Epoch: 1, Sequence: 1 << 63, AcknowledgedSequence: 1 << 63},
		Members:  []*peerv1.MemberEntry{{InstanceId: "u", State: 9, AgeMs: 1}, {AgeMs: 1}},
	}
	known := membership.Entry{ID: "i-00000000000000000", Incarnation: 1_700_000_000}
	uneven := &peerv1.ExchangeRequest{
		From:     "p",
		Position: &peerv1.DigestPosition{Epoch: 1},
		Figures:  &peerv1.Figures{Key: []uint64{1, membership.IncarnationKey(known)}, Running: []uint32{1}},
	}
	for _, request := range []*peerv1.ExchangeRequest{strange, uneven} {
		data, err := proto.Marshal(request)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		request := &peerv1.ExchangeRequest{}
		if proto.Unmarshal(data, request) != nil {
			return
		}
		n := newFleet(1, 2, 1, nil).nodes[0]
		_, _ = n.Exchange(t.Context(), request)
		next := &peerv1.ExchangeRequest{From: "q", Position: &peerv1.DigestPosition{Epoch: 2, NeedsFull: true}}
		if _, err := n.Exchange(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		for id, m := range n.board.Members.Value().ByID {
			if id == "" || m.State < 1 || m.State > 4 {
				t.Fatalf("member %q in state %v", id, m.State)
			}
		}
	})
}
