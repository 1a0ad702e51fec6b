package forward

import "bytes"

// eventScanner splits a stream of server-sent events into whole events, so that
// only whole ones are delivered: an upstream may stop in the middle of one. The zero
// value is ready to use.
type eventScanner struct {
	// pending holds the bytes that were added and not yet discarded.
	pending []byte
}

// add appends data and returns all whole events that are pending. The result is valid
// until the next call of add or discard.
func (s *eventScanner) add(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := lastEventEnd(s.pending)
	return s.pending[:end]
}

// discard removes the first n pending bytes, which the last add returned.
func (s *eventScanner) discard(n int) {
	rest := copy(s.pending, s.pending[n:])
	s.pending = s.pending[:rest]
}

// lastEventEnd returns the length of all whole events at the start of data. An event
// ends with an empty line.
func lastEventEnd(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}

// lastID returns the ID of the last event that has one, or "".
func lastID(events []byte) string {
	const field = "id:"
	for len(events) > 0 {
		start := bytes.LastIndex(events, []byte(field))
		if start < 0 {
			return ""
		}
		if start == 0 || events[start-1] == '\n' {
			line := events[start+len(field):]
			if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
				line = line[:end]
			}
			return string(bytes.TrimSpace(line))
		}
		events = events[:start]
	}
	return ""
}

// countEvents returns the number of whole events whose lines end with "\n".
func countEvents(events []byte) int { return bytes.Count(events, []byte("\n\n")) }
