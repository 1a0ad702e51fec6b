package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	harmfulPart = 7
	soundPart   = 8
	routePart   = 9
)

// crashUnderParts records crashes of different upstreams, each under a new content with the parts.
func (tr *testTracker) crashUnderParts(n int, parts ...uint64) {
	for range n {
		var features []ident.Feature
		for _, p := range parts {
			features = append(features, part(p))
		}
		tr.crashUnder(fmt.Sprint("u", tr.lastID), testSoftware, content(1000+tr.lastID), features...)
		tr.advance(2 * time.Second)
	}
}

func (tr *testTracker) barsParts(parts ...uint64) bool {
	features := []ident.Feature{content(500)}
	for _, p := range parts {
		features = append(features, part(p))
	}
	return tr.isBarred(features...)
}

// Guards against a prompt part that is barred too early, too late or in place of the real cause, and
// against requests that are barred for a sound part.
func TestConvictionsOfParts(t *testing.T) {
	served := func(tr *testTracker, parts ...uint64) {
		for _, p := range parts {
			tr.Served([]ident.Feature{part(p)})
		}
	}
	for _, c := range []struct {
		name         string
		happen       func(tr *testTracker)
		barred, free [][]uint64
	}{
		{"four ends are not enough", func(tr *testTracker) {
			tr.crashUnderParts(4, harmfulPart)
		}, nil, [][]uint64{{harmfulPart}}},
		{"five ends under contents that are all different", func(tr *testTracker) {
			tr.crashUnderParts(5, harmfulPart)
		}, [][]uint64{{harmfulPart}, {routePart, harmfulPart}}, [][]uint64{{routePart}, {}}},
		{"the route's part is answered between the ends", func(tr *testTracker) {
			for range 5 {
				tr.crashUnderParts(1, routePart, harmfulPart)
				tr.answer(part(routePart))
			}
		}, [][]uint64{{harmfulPart}}, [][]uint64{{routePart}, {routePart, soundPart}}},
		{"two parts that came together", func(tr *testTracker) {
			tr.crashUnderParts(5, harmfulPart, soundPart)
		}, [][]uint64{{harmfulPart, soundPart}}, [][]uint64{{harmfulPart}, {soundPart}}},
		{"two parts that came together, and one is answered", func(tr *testTracker) {
			tr.crashUnderParts(5, harmfulPart, soundPart)
			tr.answer(part(soundPart))
			tr.advance(0)
		}, [][]uint64{{harmfulPart}, {harmfulPart, soundPart}}, [][]uint64{{soundPart}}},
		{"two parts that came together, and one ends an upstream alone", func(tr *testTracker) {
			tr.crashUnderParts(5, harmfulPart, soundPart)
			tr.crashUnderParts(1, harmfulPart)
		}, [][]uint64{{harmfulPart}, {harmfulPart, soundPart}}, [][]uint64{{soundPart}}},
		{"two parts that came together, and each ends an upstream alone", func(tr *testTracker) {
			tr.crashUnderParts(5, harmfulPart, soundPart)
			tr.crashUnderParts(1, harmfulPart)
			tr.crashUnderParts(1, soundPart)
		}, [][]uint64{{harmfulPart}, {soundPart}}, [][]uint64{{routePart}}},
		{"two parts that came together, and one ends an upstream with a third", func(tr *testTracker) {
			tr.crashUnderParts(5, harmfulPart, routePart)
			tr.crashUnderParts(1, soundPart, routePart)
		}, [][]uint64{{harmfulPart, routePart}}, [][]uint64{{routePart}, {soundPart}, {harmfulPart}}},
		{"one request that its gateway and its caller sent on", func(tr *testTracker) {
			for i := range 6 {
				tr.crashUnderRequest(fmt.Sprint("u", i), testSoftware, fmt.Sprint(i/3), content(i/3+1), part(soundPart))
				tr.advance(2 * time.Second)
			}
		}, nil, [][]uint64{{soundPart}}},
		{"a content ends upstreams, not its parts", func(tr *testTracker) {
			for i := range 6 {
				tr.crashUnder(fmt.Sprint("u", i), testSoftware, content(1), part(soundPart))
			}
			tr.advance(settleTime)
		}, nil, [][]uint64{{soundPart}}},
		{"a part that was served before needs more ends or more time", func(tr *testTracker) {
			served(tr, soundPart)
			for i := range 7 {
				tr.crashUnder(fmt.Sprint("u", i), testSoftware, content(1000+i), part(soundPart))
				tr.advance(400 * time.Millisecond)
			}
			tr.advance(settleTime)
		}, nil, [][]uint64{{soundPart}}},
		{"a popular part, of which nobody knows yet whether it is sound", func(tr *testTracker) {
			for i := range 6 {
				for range 4 {
					tr.crashUnder(fmt.Sprint("u", i), testSoftware, content(1000+tr.lastID), part(soundPart))
				}
				tr.advance(400 * time.Millisecond)
			}
		}, nil, [][]uint64{{soundPart}}},
		{"a part whose crashes two contents explain", func(tr *testTracker) {
			for i := range 5 {
				tr.crashUnder(fmt.Sprint("u", i), testSoftware, content(1+i%2), part(soundPart))
				tr.advance(10 * time.Millisecond)
			}
			tr.advance(3 * settleTime)
		}, nil, [][]uint64{{soundPart}}},
		{"five ends that follow each other faster than answers come", func(tr *testTracker) {
			for i := range 5 {
				tr.crashUnder(fmt.Sprint("u", i), testSoftware, content(1000+i), part(harmfulPart))
			}
			tr.advance(settleTime)
		}, nil, [][]uint64{{harmfulPart}}},
		{"a part that was served for long begins to end upstreams", func(tr *testTracker) {
			served(tr, harmfulPart)
			tr.crashUnderParts(8, harmfulPart)
		}, [][]uint64{{harmfulPart}}, nil},
		{"an answer of a request that was sent before the ends", func(tr *testTracker) {
			sent := tr.now.Add(-time.Second)
			tr.crashUnderParts(4, harmfulPart)
			tr.Completed(&Completion{Features: []ident.Feature{part(harmfulPart)}, Software: testSoftware, Sent: sent, Success: true})
			tr.crashUnderParts(1, harmfulPart)
		}, [][]uint64{{harmfulPart}}, nil},
		{"a failure shows nothing of the parts", func(tr *testTracker) {
			for range 5 {
				tr.crashUnderParts(1, harmfulPart)
				tr.Completed(&Completion{Features: []ident.Feature{part(harmfulPart)}, Software: testSoftware, Sent: tr.now})
			}
		}, [][]uint64{{harmfulPart}}, nil},
		{"answers of other software, which need not read prompts", func(tr *testTracker) {
			for range 5 {
				tr.crashUnderParts(1, harmfulPart)
				tr.Completed(&Completion{Features: []ident.Feature{part(harmfulPart)}, Software: testSoftware + 1, Sent: tr.now, Success: true})
			}
			tr.crashUnderParts(3, harmfulPart)
		}, [][]uint64{{harmfulPart}}, nil},
	} {
		tr := newTestTracker()
		c.happen(tr)
		for _, parts := range c.barred {
			if !tr.barsParts(parts...) {
				t.Errorf("%s: a request with parts %v is not barred", c.name, parts)
			}
		}
		for _, parts := range c.free {
			if tr.barsParts(parts...) {
				t.Errorf("%s: a request with parts %v is barred", c.name, parts)
			}
		}
	}
}

// Guards against a crash that counts twice: in the record that a gateway reads at its start, and in what
// the others tell it.
func TestStoredSuspicionsCountOnce(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	a.crashUnder("u1", testSoftware, content(1), part(harmfulPart))
	a.crashUnder("u2", testSoftware, content(2), part(harmfulPart))
	a.crashUnder("u3", testSoftware, content(3), part(harmfulPart))
	b.now = a.now
	b.Restore(a.Snapshot())
	b.advance(100*time.Millisecond, a.Report())
	if n := b.crashesAgainst(part(harmfulPart), b.now); n != 3 {
		t.Errorf("%d crashes counted, want 3", n)
	}
	b.advance(10 * time.Second)
	b.lastID = 100
	b.crashUnderParts(2, harmfulPart)
	if !b.barsParts(harmfulPart) {
		t.Error("not barred after three crashes before the restart and two after it")
	}
}

// Guards against parts that crash as many upstreams again after all gateways have restarted.
func TestStoredParts(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	a.crashUnderParts(5, harmfulPart)
	b.now = a.now
	b.Restore(a.Snapshot())
	if !b.barsParts(harmfulPart) {
		t.Error("a stored part is not barred")
	}
	c, d := newTestTracker(), newTestTracker()
	c.crashUnderParts(5, harmfulPart, soundPart)
	d.now = c.now
	d.Restore(c.Snapshot())
	if !d.barsParts(harmfulPart, soundPart) || d.barsParts(harmfulPart) || d.barsParts(soundPart) {
		t.Error("stored parts that were convicted together are not barred together, and together only")
	}
	e, f := newTestTracker(), newTestTracker()
	e.crashUnderParts(3, harmfulPart)
	f.now, f.lastID = e.now, 100
	f.Restore(e.Snapshot())
	f.crashUnderParts(2, harmfulPart)
	if !f.barsParts(harmfulPart) {
		t.Error("not barred after three crashes before the restart and two after it")
	}
}

// Guards against a popular part that a gateway convicts because only the other gateways have seen it served.
func TestServedPartsAreReported(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	a.Served([]ident.Feature{part(routePart)})
	for i := range 5 {
		for _, tr := range []*testTracker{a, b} {
			tr.lastID = i
			tr.crashUnder(fmt.Sprint("u", i), testSoftware, content(1000+i), part(routePart))
		}
		a.advance(200 * time.Millisecond)
		b.advance(200*time.Millisecond, a.Report())
	}
	a.advance(settleTime)
	b.advance(settleTime, a.Report())
	if a.barsParts(routePart) || b.barsParts(routePart) {
		t.Error("a part that was served before is barred after five crashes within 2 s")
	}
}

// Guards against a gateway that hangs over parts that were in each other's requests, but never all in one.
func TestPartsThatWereNeverAllTogether(t *testing.T) {
	tr := newTestTracker()
	for i := range 12 {
		upstream := fmt.Sprint("u", i)
		for k := range 6 {
			tr.crashUnder(upstream, testSoftware, content(2000+tr.lastID), part(uint64(10+k)), part(uint64(10+(k+1)%6)))
		}
		tr.advance(time.Second)
	}
	if tr.barsParts(10) || tr.barsParts(13) {
		t.Error("a part is barred alone that was never alone")
	}
}

// Guards against a suspicion that a later reading of the lease's record brings back after an answer.
func TestAStoredSuspicionIsOlderThanAnAnswer(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	a.crashUnderParts(3, soundPart)
	record := a.Snapshot()
	b.now = a.now
	b.Restore(record)
	b.advance(time.Second)
	b.answer(part(soundPart))
	b.advance(time.Second)
	b.Restore(record)
	b.lastID = 100
	b.crashUnderParts(2, soundPart)
	if b.barsParts(soundPart) {
		t.Error("barred after two crashes since an answer")
	}
}

// Guards against a harmful part that hides behind the contents of requests that are sent several times.
func TestAPartInRepeatedRequests(t *testing.T) {
	tr := newTestTracker()
	for i := range 4 {
		for k := range 3 {
			tr.crashUnder(fmt.Sprint("u", i, k), testSoftware, content(i+1), part(harmfulPart))
			tr.advance(time.Second)
		}
	}
	if !tr.barsParts(harmfulPart) {
		t.Error("not barred after four requests that each crashed three upstreams")
	}
}

// Guards against a harmful part that is not barred because the gateway has seen an answer to one that was
// convicted with it.
func TestReportedConvictionsOfSeveralParts(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	a.crashUnderParts(5, harmfulPart, soundPart)
	b.now = a.now
	b.advance(0, a.Report())
	b.now = b.now.Add(time.Second)
	b.answer(part(soundPart))
	a.now = b.now
	b.advance(0, a.Report())
	if !b.barsParts(harmfulPart) || b.barsParts(soundPart) {
		t.Error("want the harmful part barred, and the answered one not")
	}
	c := newTestTracker()
	c.now = a.now.Add(-2 * time.Second)
	c.crashUnder("u", testSoftware, content(1), part(soundPart))
	c.now = a.now
	c.answer(part(soundPart))
	c.advance(0, a.Report())
	if !c.barsParts(harmfulPart) || c.barsParts(soundPart) {
		t.Error("want the harmful part barred, and the one that was answered before not")
	}
}
