// Package completion decides whether an HTTP answer that has ended is complete.
//
// A reader describes the end of an answer as an End, and takes the answer for complete only if
// the End's Verdict is Complete. Unknown is told apart from Incomplete for the log alone.
package completion

// Framing is what marks the end of an answer's body.
type Framing int

// The framings.
const (
	// NoAnswer: no header of an answer was received.
	NoAnswer Framing = iota
	// ByLength: the header states the body's length, or the status or the method allows no body.
	ByLength
	// ByChunks: the last chunk of a chunked body.
	ByChunks
	// ByClose: neither; the body ends with its connection.
	ByClose
)

// Valid reports whether the framing is one of those above.
func (f Framing) Valid() bool { return f >= NoAnswer && f <= ByClose }

// Ending is how the reading of an answer's body ended.
type Ending int

// The endings.
const (
	// NotEnded: the body was not read to its end.
	NotEnded Ending = iota
	// AtFrame: the framing's mark was reached: the length, or the last chunk.
	AtFrame
	// Closed: the upstream closed the connection in an orderly way.
	Closed
	// Reset: the connection was reset, or failed in another way.
	Reset
	// Malformed: the body's framing was not valid.
	Malformed
	// Abandoned: this gateway ended the exchange: time was over, the upstream was silent, or the
	// caller had gone.
	Abandoned
)

// Valid reports whether the ending is one of those above.
func (e Ending) Valid() bool { return e >= NotEnded && e <= Abandoned }

// Position is where in its content an answer ended.
type Position int

// The positions.
const (
	// NotAStream: the content is no stream of events.
	NotAStream Position = iota
	// BeforeEvents: a stream without any content.
	BeforeEvents
	// AfterEvent: right after a whole event.
	AfterEvent
	// InsideEvent: after a part of an event.
	InsideEvent
	// Undelimited: the content is valid wherever it is cut, or in many places, like a protocol
	// buffer, so that only the framing can tell its end.
	Undelimited
)

// Process is what is known of the upstream's process at the end of its answer.
type Process int

// What is known of a process.
const (
	// NotKnown: nothing shows that the process has ended.
	NotKnown Process = iota
	// EndedAsAnnounced: the process has ended, as it had announced.
	EndedAsAnnounced
	// EndedUnexpectedly: the process has ended without having announced it. The operating system
	// then closes its connections in an orderly way, wherever its answers were.
	EndedUnexpectedly
)

// End is what was observed of the end of an answer.
type End struct {
	Framing  Framing
	Ending   Ending
	Position Position
	Process  Process
}

// Verdict is what is known about an answer that has ended.
type Verdict int

// The verdicts.
const (
	// Unknown: nothing tells whether its upstream completed it.
	Unknown Verdict = iota
	// Complete: its upstream completed it.
	Complete
	// Incomplete: it was broken off.
	Incomplete
)

// Verdict returns what an answer's end tells about it. An orderly close ends an answer that
// has neither a length nor chunks (RFC 9112, section 6.3), but an upstream that breaks off
// before the first event closes in the same way.
func (e End) Verdict() Verdict {
	switch {
	case !e.reachedItsMark(), e.Position == InsideEvent:
		return Incomplete
	case e.Framing == ByClose && (e.Position == BeforeEvents || e.Position == Undelimited):
		return Unknown
	case e.Framing == ByClose && e.Process == EndedUnexpectedly:
		return Incomplete
	}
	return Complete
}

// DependsOnProcess reports whether the answer counts as complete only as long as nothing is known
// of an unexpected end of its upstream's process.
func (e End) DependsOnProcess() bool {
	ended := e
	ended.Process = EndedUnexpectedly
	return e.Verdict() == Complete && ended.Verdict() != Complete
}

// reachedItsMark reports whether what ends the body, by its framing, was received.
func (e End) reachedItsMark() bool {
	return e.Ending == AtFrame || e.Ending == Closed && e.Framing == ByClose
}

var (
	verdictNames  = [...]string{"unknown", "complete", "incomplete"}
	framingNames  = [...]string{"none", "length", "chunks", "close"}
	endingNames   = [...]string{"not_ended", "frame", "close", "reset", "malformed", "abandoned"}
	positionNames = [...]string{"no_stream", "before_events", "after_event", "inside_event", "undelimited"}
	processNames  = [...]string{"not_known", "ended_as_announced", "ended_unexpectedly"}
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// String returns the framing's name in logs and metrics.
func (f Framing) String() string { return framingNames[f] }

// String returns the ending's name in logs and metrics.
func (e Ending) String() string { return endingNames[e] }

// String returns the position's name in logs and metrics.
func (p Position) String() string { return positionNames[p] }

// String returns the name in logs and metrics of what is known of the process.
func (p Process) String() string { return processNames[p] }
