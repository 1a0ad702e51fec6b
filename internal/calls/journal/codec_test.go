package journal

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// examples returns an event of each type, and variants of claims and outcomes.
func examples() []Event {
	head := Head{
		Key:      ident.CallKey{Service: "auktion-app", Account: "agentur-nord", Key: "bid-7"},
		ID:       ClaimID{1, 2, 3},
		Digest:   Digest{4, 5, 6},
		IssuedAt: time.Date(2026, 12, 2, 20, 0, 0, 7, time.UTC),
	}
	target := Target{Instance: "app-hall-a", Incarnation: 3, Address: "127.0.0.1:4711"}
	return []Event{
		Claim{Head: head, Holder: "entry-1", HolderIncarnation: 2, Attempt: 1, Target: target},
		Claim{Head: head, Holder: "entry-2", Attempt: 2, Supersedes: ClaimID{9}},
		Release{Head: head},
		Outcome{Head: head, Kind: outcome.Completed, Payload: []byte("sold")},
		Outcome{Head: head, Kind: outcome.NotRun, Reason: outcome.ReasonDeadline},
		Outcome{Head: head, Kind: outcome.Failed, Reason: outcome.ReasonApplication, PayloadOmitted: true},
		Mark{},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, want := range examples() {
		data, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("record changed (-want +got):\n%s", diff)
		}
	}
}

// TestDigestKeepsFieldsApart guards against two accounts or two requests that have the
// same digest. That happens if bytes can move from one field of a request to the
// next without a change of the digest.
func TestDigestKeepsFieldsApart(t *testing.T) {
	at := time.Unix(0, 0)
	key := ident.CallKey{Service: "s", Account: "ab", Key: "c"}
	digests := map[Digest]string{}
	for name, d := range map[string]Digest{
		"a request":            NewDigest(key, "m", at, []byte("p")),
		"account and key":      NewDigest(ident.CallKey{Service: "s", Account: "a", Key: "bc"}, "m", at, []byte("p")),
		"key and method":       NewDigest(ident.CallKey{Service: "s", Account: "ab"}, "cm", at, []byte("p")),
		"another payload":      NewDigest(key, "m", at, []byte("q")),
		"issued at other time": NewDigest(key, "m", at.Add(1), []byte("p")),
	} {
		if other, ok := digests[d]; ok {
			t.Errorf("%q and %q have the same digest", name, other)
		}
		digests[d] = name
	}
}

// FuzzDecode checks that no bytes in the log make a reader panic, and that an event
// that was decoded is decoded alike after it has been encoded again.
func FuzzDecode(f *testing.F) {
	for _, e := range examples() {
		data, err := Encode(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(bytes.Repeat(data, 2))
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		event, err := Decode(data)
		if err != nil {
			if event != nil {
				t.Fatalf("an event and the error %v", err)
			}
			return
		}
		again, err := Encode(event)
		if err != nil {
			t.Fatal(err)
		}
		second, err := Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(event, second); diff != "" {
			t.Fatalf("record changed (-first +second):\n%s", diff)
		}
	})
}
