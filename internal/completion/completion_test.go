package completion

import "testing"

// Guards against a broken-off answer that is taken for complete, and a complete one that is taken for
// broken off, for each way in which an answer can end.
func TestVerdictOfEachEnd(t *testing.T) {
	framings := []Framing{NoAnswer, ByLength, ByChunks, ByClose}
	endings := []Ending{NotEnded, AtFrame, Closed, Reset, Malformed, Abandoned}
	positions := []Position{NotAStream, BeforeEvents, AfterEvent, InsideEvent}
	want := map[End]Verdict{
		{ByLength, AtFrame, NotAStream}:   Complete,
		{ByLength, AtFrame, BeforeEvents}: Complete,
		{ByLength, AtFrame, AfterEvent}:   Complete,
		{ByChunks, AtFrame, NotAStream}:   Complete,
		{ByChunks, AtFrame, BeforeEvents}: Complete,
		{ByChunks, AtFrame, AfterEvent}:   Complete,
		{ByClose, Closed, NotAStream}:     Complete,
		{ByClose, Closed, AfterEvent}:     Complete,
		{ByClose, Closed, BeforeEvents}:   Unknown,
	}
	for _, framing := range framings {
		for _, ending := range endings {
			for _, position := range positions {
				end := End{framing, ending, position}
				if ending == AtFrame && (framing == NoAnswer || framing == ByClose) {
					continue // there is no such mark
				}
				wanted, listed := want[end]
				if !listed {
					wanted = Incomplete
				}
				if got := end.Verdict(); got != wanted {
					t.Errorf("framing %s, ending %s, position %s: %s, want %s", framing, ending, position, got, wanted)
				}
			}
		}
	}
}
