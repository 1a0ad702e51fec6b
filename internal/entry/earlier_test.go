package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// readHistory reads a history with a record for each letter of keys, which names its upstream; a capital letter
// drops the entry. Each record counts on, as upstreams' renewals do; a repeat mark makes the last write again.
func readHistory(keys string) *earlierReader {
	reader := newEarlierReader()
	decode := func(_, _ string, _ []byte) (directory.Upstream, finding.List) {
		return directory.Upstream{Service: "svc", SoftwareVersion: "v1"}, nil
	}
	var last platform.KeyedRecord
	for i, key := range keys {
		if key == repeatMark {
			reader.add(&last, decode)
			continue
		}
		record := platform.KeyedRecord{Key: string(key), Value: fmt.Append(nil, i)}
		if key < 'a' {
			record = platform.KeyedRecord{Key: string(key - 'A' + 'a')}
		}
		reader.add(&record, decode)
		last = record
	}
	return reader
}

// repeatMark stands for the same write once more.
const repeatMark = '='

// Guards against a history of the entries that is taken to reach further back than it does, and against
// versions in it that are overlooked because their entries are gone.
func TestHowFarAHistoryReachesBack(t *testing.T) {
	const renewal, within = time.Second, time.Minute
	for _, c := range []struct {
		name string
		// keys are those of the history's records, as readHistory gets them.
		keys  string
		whole bool
		want  time.Duration
	}{
		{"nothing", "", false, 0},
		{"the whole history", "a", true, within},
		{"one upstream, three renewals", "aaaa", false, 2400 * time.Millisecond},
		{"two upstreams, renewed in turn", "abababab", false, 2400 * time.Millisecond},
		{"one upstream that repeats its write", "a===============", false, 0},
		{"one renewal, and repeats", "a===a====", false, 800 * time.Millisecond},
		{"many upstreams, none renewed", "abcdefgh", false, 0},
		{"one that comes and goes", "aAaAaAa", false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := readHistory(c.keys).result(c.whole, renewal, within)
			if got.For != c.want {
				t.Errorf("it reaches back for %v, want %v", got.For, c.want)
			}
			if want := len(c.keys) > 0; slices.Contains(got.Listed, origin.Origin{Service: "svc", SoftwareVersion: "v1"}) != want {
				t.Errorf("listed %v", got.Listed)
			}
		})
	}
}

// Guards against a stream that goes on at another version after a start: the history is taken to reach back
// for as many renewals as the upstream has that wrote most, though it wrote several times within one
// (a write without an answer is made again), while the others show that the history is short.
func TestAnUpstreamThatWritesOftenDoesNotLengthenTheHistory(t *testing.T) {
	const renewal, within = time.Second, time.Minute
	if got := readHistory("abcaaaaaaaaaaaabc").result(false, renewal, within); got.For > renewal {
		t.Errorf("it reaches back for %v; two of three upstreams were renewed once, %v", got.For, renewal)
	}
}
