package completion

import "testing"

// Guards against a broken-off answer that is taken for complete, and a complete one that is taken for
// broken off, for each way in which an answer can end.
func TestVerdictOfEachEnd(t *testing.T) {
	framings := []Framing{NoAnswer, ByLength, ByChunks, ByClose}
	endings := []Ending{NotEnded, AtFrame, Closed, Reset, Malformed, Abandoned}
	positions := []Position{NotAStream, BeforeEvents, AfterEvent, InsideEvent, Undelimited}
	processes := []Process{NotKnown, EndedAsAnnounced, EndedUnexpectedly}
	// An unexpected end of the process changes only the verdict on answers that end by a close.
	want := map[End]Verdict{
		{ByLength, AtFrame, NotAStream, EndedUnexpectedly}:   Complete,
		{ByLength, AtFrame, BeforeEvents, EndedUnexpectedly}: Complete,
		{ByLength, AtFrame, AfterEvent, EndedUnexpectedly}:   Complete,
		{ByChunks, AtFrame, NotAStream, EndedUnexpectedly}:   Complete,
		{ByChunks, AtFrame, BeforeEvents, EndedUnexpectedly}: Complete,
		{ByChunks, AtFrame, AfterEvent, EndedUnexpectedly}:   Complete,
		{ByClose, Closed, BeforeEvents, EndedUnexpectedly}:   Unknown,
		{ByLength, AtFrame, Undelimited, EndedUnexpectedly}:  Complete,
		{ByChunks, AtFrame, Undelimited, EndedUnexpectedly}:  Complete,
		{ByClose, Closed, Undelimited, EndedUnexpectedly}:    Unknown,
	}
	for _, process := range []Process{NotKnown, EndedAsAnnounced} {
		for end, verdict := range map[End]Verdict{
			{ByLength, AtFrame, NotAStream, process}:   Complete,
			{ByLength, AtFrame, BeforeEvents, process}: Complete,
			{ByLength, AtFrame, AfterEvent, process}:   Complete,
			{ByChunks, AtFrame, NotAStream, process}:   Complete,
			{ByChunks, AtFrame, BeforeEvents, process}: Complete,
			{ByChunks, AtFrame, AfterEvent, process}:   Complete,
			{ByClose, Closed, NotAStream, process}:     Complete,
			{ByClose, Closed, AfterEvent, process}:     Complete,
			{ByClose, Closed, BeforeEvents, process}:   Unknown,
			{ByLength, AtFrame, Undelimited, process}:  Complete,
			{ByChunks, AtFrame, Undelimited, process}:  Complete,
			{ByClose, Closed, Undelimited, process}:    Unknown,
		} {
			want[end] = verdict
		}
	}
	for _, framing := range framings {
		for _, ending := range endings {
			for _, position := range positions {
				if ending == AtFrame && (framing == NoAnswer || framing == ByClose) {
					continue // there is no such mark
				}
				for _, process := range processes {
					end := End{framing, ending, position, process}
					wanted, listed := want[end]
					if !listed {
						wanted = Incomplete
					}
					if got := end.Verdict(); got != wanted {
						t.Errorf("framing %s, ending %s, position %s, process %s: %s, want %s", framing, ending, position, process, got, wanted)
					}
					open := framing == ByClose && ending == Closed && (position == NotAStream || position == AfterEvent) && process != EndedUnexpectedly
					if got := end.DependsOnProcess(); got != open {
						t.Errorf("framing %s, ending %s, position %s, process %s: depends on the process %v", framing, ending, position, process, got)
					}
				}
			}
		}
	}
}
