package lease_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/lease"
)

// FuzzDecode checks that any data gives a usable record or an error, and that a
// record is the same after it is encoded and decoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"a","kind":"claim","name":{"service":"s"},"holder":{"process":"p"},"length_ms":10000}`))
	f.Add([]byte(`{"id":"a","kind":"renewal","name":{"service":"s","failure_domain":"d"},"holder":{"process":"p"},"length_ms":1,"supersedes":7,"fence":3}`))
	f.Add([]byte(`{"length_ms":-1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := lease.Decode(data)
		if err != nil {
			return
		}
		encoded, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := lease.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(record, again); diff != "" {
			t.Error(diff)
		}
	})
}
