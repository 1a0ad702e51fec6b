package journal

import "testing"

// Guards against the beginning of a record that counts as a whole one: a claim without its target, or
// an outcome without its payload.
func TestTheBeginningOfARecordIsNoRecord(t *testing.T) {
	for _, e := range examples() {
		data, err := Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		for cut := range data {
			if got, err := Decode(data[:cut]); err == nil {
				t.Errorf("%T cut after %d of %d bytes: %+v", e, cut, len(data), got)
			}
		}
	}
}
