package gossip

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestWindowsTravelUnchanged(t *testing.T) {
	for _, w := range []Windows{
		nil,
		{7: {"a": 1}},
		// Windows are far apart after a clock was set.
		{7: {"a": 1, "b": 2}, 8: {"b": 3}, 900_000: {"c": 1}},
	} {
		data, err := json.Marshal(Report{Began: w})
		if err != nil {
			t.Fatal(err)
		}
		var got Report
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(w, got.Began); diff != "" {
			t.Error(diff)
		}
	}
}

// Symptom: a gateway ends. Sequence: another one's report has too few counts. Cause:
// an index that the sender decides.
func TestWindowsWithTooFewCountsAreRefused(t *testing.T) {
	var w Windows
	if err := json.Unmarshal([]byte(`{"w":[1,2],"n":{"a":[1]}}`), &w); err == nil {
		t.Error("accepted", w)
	}
}
