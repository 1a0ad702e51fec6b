package document

import (
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// FuzzFold applies records with any data, as some other program may write them into
// the stream.
func FuzzFold(f *testing.F) {
	publication, err := EncodePublication(Publication{Service: "auktion-app", PublishID: "p1", Schema: 1, Document: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	state, _ := Fold(State{}, []platform.Record{{Data: publication}})
	snapshot, err := EncodeSnapshot(state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(publication)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		after, decisions := Fold(state, []platform.Record{{Offset: 1, Data: data}})
		if after.Next() != 2 || len(decisions) != 1 {
			t.Fatalf("next %d, decisions %v", after.Next(), decisions)
		}
		checkSnapshot(t, after)
		checkSearch(t, data)
	})
}

// checkSnapshot checks that a state is the same after it is encoded as a snapshot
// and decoded.
func checkSnapshot(t *testing.T, s State) {
	record, err := EncodeSnapshot(s)
	if err != nil {
		return // A string is not UTF-8; such a publication is never accepted.
	}
	d, err := decode(record)
	if err != nil {
		t.Fatal(err)
	}
	if back := d.snapshot.state(); !equalRecords(back.recordsAbove(0), s.recordsAbove(0)) || back.Next() != s.Next() {
		t.Fatalf("got %+v, want %+v", back, s)
	}
}

// checkSearch checks that a reader that looks for a snapshot takes none that does
// not cover the expired records, or that claims to cover records after itself.
func checkSearch(t *testing.T, data []byte) {
	var r Reader
	r.HandleExpired(5)
	r.ApplyBatch(platform.Batch{Records: []platform.Record{{Offset: 6, Data: data}}, Head: 7, First: 5})
	if !r.Searching() && (r.State().Next() < 5 || r.State().Next() > 6) {
		t.Fatalf("took a snapshot that covers %d", r.State().Next())
	}
}
