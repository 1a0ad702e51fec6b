package peering

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

func TestHandedStreamRoundTrip(t *testing.T) {
	want := streaming.HandedStream{
		Key:          streaming.Key{Account: "weber", Request: "r-1"},
		Params:       streaming.Params{Service: "spool-llm", Class: "long", Prompt: "lot 7", MaxTokens: 9},
		Priority:     3,
		Remaining:    1500 * time.Millisecond,
		Delivered:    []string{"a", "b"},
		LastAttempt:  4,
		LastInstance: "hall-a-1",
	}
	wire, err := proto.Marshal(streamToWire(want))
	if err != nil {
		t.Fatal(err)
	}
	var message peerv1.HandedStream
	if err := proto.Unmarshal(wire, &message); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, streamFromWire(&message)); diff != "" {
		t.Error(diff)
	}
}
