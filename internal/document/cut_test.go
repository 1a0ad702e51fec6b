package document

import (
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Guards against the beginning of a record that counts as a whole one: a snapshot without its last
// documents would take them out of force.
func TestTheBeginningOfARecordIsNoRecord(t *testing.T) {
	publication, err := EncodePublication(Publication{Service: "auktion-app", PublishID: "p", Schema: 1, Document: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	state, _ := Fold(State{}, []platform.Record{{Data: publication}})
	snapshot, err := EncodeSnapshot(state)
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"publication": publication, "snapshot": snapshot} {
		if _, err := decode(data); err != nil {
			t.Errorf("whole %s: %v", name, err)
		}
		for cut := range data {
			if d, err := decode(data[:cut]); err == nil {
				t.Errorf("%s cut after %d of %d bytes: %+v", name, cut, len(data), d)
			}
		}
	}
}
