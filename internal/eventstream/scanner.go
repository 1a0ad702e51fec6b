// Package eventstream splits a stream of server-sent events (text/event-stream) at the ends
// of its events. Lines end with CR LF, LF or CR, and an event ends with an empty line.
package eventstream

import (
	"bytes"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
)

// byteOrderMark may precede the first line.
const byteOrderMark = "\ufeff"

// TrimMark returns the beginning of a stream without its byte order mark. Where it follows the
// first part of another stream, the mark would be a part of the next line.
func TrimMark(beginning []byte) []byte { return bytes.TrimPrefix(beginning, []byte(byteOrderMark)) }

// keptBytes is how large a buffer stays after a long event.
const keptBytes = 16 << 10

// Scanner finds the ends of the events in a stream that is added piece by piece. The zero
// value is ready to use. It is not safe for concurrent use.
type Scanner struct {
	// pending holds the bytes that Add has not returned yet. The first scanned bytes were
	// examined, and the last line begins at lineStart.
	pending            []byte
	scanned, lineStart int
	// returned is how many of the pending bytes the last Add returned.
	returned int

	// openCR: the last examined byte is a CR, and only the next byte shows whether the line
	// ends with it or with a CR LF.
	openCR bool
	// bareCR: a line has ended with a CR alone. From then on a CR ends its line at once, and
	// endedByCR is true right after it.
	bareCR, endedByCR bool
	// anyLine: a line has ended, so that no byte order mark can follow.
	anyLine bool

	// event is what is known of the event that has not ended yet.
	event unfinishedEvent

	events, eventsAfterID int
	lastID                []byte
}

// unfinishedEvent is an event of which the end was not found yet.
type unfinishedEvent struct {
	// hasFields: it has a line that is no comment.
	hasFields bool
	id        []byte
	hasID     bool
}

// Add adds data and returns all whole events that Add has not returned before, byte for byte
// with the comments and empty lines between them, and with those before the first event only once
// it has ended. The result is valid until the next call.
func (s *Scanner) Add(data []byte) []byte {
	s.drop()
	s.pending = append(s.pending, data...)
	for {
		s.skipText()
		if s.scanned == len(s.pending) {
			break
		}
		s.examine(s.pending[s.scanned])
		s.scanned++
	}
	return s.pending[:s.returned]
}

// skipText skips the bytes that neither end a line nor follow a CR.
func (s *Scanner) skipText() {
	if s.openCR || s.endedByCR {
		return
	}
	text := s.pending[s.scanned:]
	if i := bytes.IndexByte(text, '\n'); i >= 0 {
		text = text[:i]
	}
	if i := bytes.IndexByte(text, '\r'); i >= 0 {
		text = text[:i]
	}
	s.scanned += len(text)
}

// drop removes the bytes that the last Add returned.
func (s *Scanner) drop() {
	if s.returned == 0 {
		return
	}
	rest := s.pending[s.returned:]
	if cap(s.pending) > keptBytes && len(rest) <= keptBytes {
		s.pending = append(make([]byte, 0, keptBytes), rest...)
	} else {
		s.pending = s.pending[:copy(s.pending, rest)]
	}
	s.scanned -= s.returned
	s.lineStart -= s.returned
	s.returned = 0
}

// examine examines the byte at s.scanned.
func (s *Scanner) examine(b byte) {
	switch {
	case s.openCR && b == '\n':
		s.openCR = false
		s.endLine(s.scanned-1, s.scanned+1)
		return
	case s.openCR:
		s.openCR, s.bareCR = false, true
		s.endLine(s.scanned-1, s.scanned)
	case s.endedByCR && b == '\n':
		s.endedByCR = false
		s.extendLineEnd()
		return
	}
	s.endedByCR = false
	switch {
	case b == '\n':
		s.endLine(s.scanned, s.scanned+1)
	case b == '\r' && s.bareCR:
		s.endedByCR = true
		s.endLine(s.scanned, s.scanned+1)
	case b == '\r':
		s.openCR = true
	}
}

// extendLineEnd makes the LF at s.scanned a part of the line end before it.
func (s *Scanner) extendLineEnd() {
	s.lineStart = s.scanned + 1
	if s.returned == s.scanned {
		s.returned = s.lineStart
	}
}

// endLine ends the line that begins at s.lineStart and whose text ends before end; the next
// line begins at next.
func (s *Scanner) endLine(end, next int) {
	line := s.pending[s.lineStart:end]
	if !s.anyLine {
		s.anyLine = true
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
	}
	s.lineStart = next
	if len(line) > 0 {
		s.addLine(line)
		return
	}
	s.endEvent()
	if s.events > 0 {
		s.returned = next
	}
}

// addLine adds a line that is not empty to the unfinished event.
func (s *Scanner) addLine(line []byte) {
	if line[0] == ':' {
		return // a comment
	}
	s.event.hasFields = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) == "id" && !bytes.ContainsRune(value, 0) { // by the standard, an ID with a NUL is ignored
		s.event.hasID, s.event.id = true, append(s.event.id[:0], bytes.TrimSpace(value)...)
	}
}

// endEvent ends the unfinished event. Without fields it is no event.
func (s *Scanner) endEvent() {
	event := s.event
	s.event = unfinishedEvent{id: event.id[:0]}
	if !event.hasFields {
		return
	}
	s.events++
	s.eventsAfterID++
	if event.hasID && len(event.id) > 0 {
		s.event.id, s.lastID = s.lastID[:0], event.id // each memory is used again
		s.eventsAfterID = 0
	}
}

// Held returns how many bytes the scanner's buffer takes.
func (s *Scanner) Held() int { return cap(s.pending) }

// Rest returns the bytes after the last whole event.
func (s *Scanner) Rest() []byte { return s.pending[s.returned:] }

// Position returns where in the stream its content has ended, if nothing is added any more.
// Whole lines of comments do not belong to an event.
func (s *Scanner) Position() completion.Position {
	switch {
	case s.event.hasFields || s.insideLine():
		return completion.InsideEvent
	case s.events > 0:
		return completion.AfterEvent
	}
	return completion.BeforeEvents
}

// insideLine reports whether the content ends inside a line. A byte order mark is no part of a line.
// A CR at the end may be half of a CR LF, and thus inside a line, unless all that was added is one
// line without a field: no line before it shows that lines end otherwise.
func (s *Scanner) insideLine() bool {
	line := s.pending[s.lineStart:]
	if s.anyLine {
		return len(line) > 0
	}
	line = bytes.TrimPrefix(line, []byte(byteOrderMark))
	if s.openCR && (len(line) == 1 || line[0] == ':') {
		return false
	}
	return len(line) > 0
}

// Events returns the number of whole events.
func (s *Scanner) Events() int { return s.events }

// LastID returns the ID of the last whole event that has one, or "".
func (s *Scanner) LastID() string { return string(s.lastID) }

// EventsAfterID returns the number of whole events after the last one that has an ID.
func (s *Scanner) EventsAfterID() int { return s.eventsAfterID }
