package eventstream

import (
	"regexp"
	"strings"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
)

var (
	lineEnd = regexp.MustCompile("\r\n|\n|\r")
	bareCR  = regexp.MustCompile("\r[^\n]")
)

// split is what a stream's text is made of.
type split struct {
	// whole is the length of the part up to the last whole event, with the comments and empty lines
	// before and between events; 0 if there is no event.
	whole           int
	position        completion.Position
	events, afterID int
	lastID          string
}

// splitSlowly splits a whole text by the standard for server-sent events, without any state between
// its bytes. A CR at the very end ends a line only if a CR before it did so without an LF, or
// if nothing but one comment or nothing precedes it.
func splitSlowly(text string) split {
	undecided := ""
	lines := text
	if strings.HasSuffix(text, "\r") && !bareCR.MatchString(text) {
		undecided, lines = "\r", strings.TrimSuffix(text, "\r")
	}
	var s split
	var fields []string
	at := 0
	for _, end := range lineEnd.FindAllStringIndex(lines, -1) {
		line := lines[at:end[0]]
		if at == 0 {
			line = strings.TrimPrefix(line, "\ufeff")
		}
		at = end[1]
		switch {
		case line == "":
			s.addEvent(fields)
			fields = nil
			if s.events > 0 {
				s.whole = at
			}
		case line[0] != ':':
			fields = append(fields, line)
		}
	}
	unfinished := lines[at:]
	if at == 0 {
		unfinished = strings.TrimPrefix(unfinished, "\ufeff")
		if undecided != "" && (unfinished == "" || unfinished[0] == ':') {
			unfinished, undecided = "", ""
		}
	}
	switch {
	case len(fields) > 0 || unfinished != "" || undecided != "":
		s.position = completion.InsideEvent
	case s.events > 0:
		s.position = completion.AfterEvent
	default:
		s.position = completion.BeforeEvents
	}
	return s
}

// addEvent adds an event with the given lines, if there are any.
func (s *split) addEvent(fields []string) {
	if len(fields) == 0 {
		return
	}
	s.events++
	s.afterID++
	id := ""
	for _, field := range fields {
		name, value, _ := strings.Cut(field, ":")
		if name == "id" && !strings.Contains(value, "\x00") {
			id = strings.TrimSpace(value)
		}
	}
	if id != "" {
		s.lastID, s.afterID = id, 0
	}
}

// Guards against a scanner whose state between the bytes leads it astray: whatever the bytes are, and
// wherever they are cut, it must find what a splitter of the whole text finds.
func FuzzScanner(f *testing.F) {
	for _, text := range []string{
		"", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r", "\ufeffid: 1\n\n", "\ufeff\r", ": ping\r", "data: a\r\r\n",
		"data: a\r\n\r", "id\n\n", "id: 1\x00\n\n", "id: 1\nid: 2\n\ndata: x\n\n", "\n\n\r\r\n\r\n", "id: 1\n: c\n\n: d\n\nda",
	} {
		f.Add([]byte(text), []byte{1})
		f.Add([]byte(text), []byte{2, 1, 3})
		f.Add([]byte(text), []byte{255})
	}
	f.Fuzz(func(t *testing.T, text, sizes []byte) {
		var s Scanner
		var whole strings.Builder
		for i, rest := 0, text; len(rest) > 0; i++ {
			size := len(rest)
			if len(sizes) > 0 {
				size = min(size, int(sizes[i%len(sizes)])+1)
			}
			whole.Write(s.Add(rest[:size]))
			rest = rest[size:]
		}
		want := splitSlowly(string(text))
		if whole.String() != string(text[:want.whole]) || whole.String()+string(s.Rest()) != string(text) {
			t.Errorf("whole %q, rest %q; want the first %d bytes of %q", whole.String(), s.Rest(), want.whole, text)
		}
		got := split{whole: whole.Len(), position: s.Position(), events: s.Events(), afterID: s.EventsAfterID(), lastID: s.LastID()}
		if got != want {
			t.Errorf("got %+v, want %+v of %q", got, want, text)
		}
	})
}
