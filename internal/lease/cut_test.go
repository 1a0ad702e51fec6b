package lease_test

import (
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/lease"
)

// Guards against the beginning of a record that counts as a whole one: a renewal without the record
// that it supersedes, or with the first digits of its fencing number.
func TestTheBeginningOfARecordIsNoRecord(t *testing.T) {
	whole := lease.Record{
		ID: "a", Kind: lease.Renewal, Name: lease.Name{Service: "s", FailureDomain: "d"}, Holder: lease.Holder{Instance: "i", Process: "p"},
		Length: 10_000, Supersedes: 7, Fence: 321,
	}
	data, err := whole.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := lease.Decode(data); err != nil || got != whole {
		t.Fatalf("whole: %+v, error %v", got, err)
	}
	for cut := range data {
		if got, err := lease.Decode(data[:cut]); err == nil {
			t.Errorf("cut after %d of %d bytes: %+v", cut, len(data), got)
		}
	}
}
