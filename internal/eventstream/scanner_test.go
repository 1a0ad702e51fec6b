package eventstream

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// Guards against a whole event that is held back, half of one that is given out, and an end inside an
// event that is taken for one after it, for each way of ending lines.
func TestWholeEventsForEachLineEnd(t *testing.T) {
	const (
		before = completion.BeforeEvents
		after  = completion.AfterEvent
		inside = completion.InsideEvent
	)
	for _, c := range []struct {
		name, text, whole string
		position          completion.Position
		events            int
		lastID            string
		afterID           int
	}{
		{"nothing", "", "", before, 0, "", 0},
		{"LF", "id: 1\ndata: a\n\nid: 2\n\n", "id: 1\ndata: a\n\nid: 2\n\n", after, 2, "2", 0},
		{"CR LF", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", after, 1, "1", 0},
		{"CR", "id: 1\rdata: a\r\r", "id: 1\rdata: a\r\r", after, 1, "1", 0},
		{"mixed", "id: 1\r\ndata: a\n\r\nid: 2\n\n", "id: 1\r\ndata: a\n\r\nid: 2\n\n", after, 2, "2", 0},
		{"LF after a CR that ended an event", "data: a\r\rdata: b\r\r\n", "data: a\r\rdata: b\r\r\n", after, 2, "", 2},
		{"half of a CR LF", "data: a\r\n\r", "", inside, 0, "", 0},
		{"a line without its end", "data: a\n\ndata: b", "data: a\n\n", inside, 1, "", 1},
		{"no empty line", "data: a\n\ndata: b\n", "data: a\n\n", inside, 1, "", 1},
		{"several lines", "data: a\ndata: b\nevent: x\n\n", "data: a\ndata: b\nevent: x\n\n", after, 1, "", 1},
		{"a comment between events", "data: a\n\n: ping\n\ndata: b\n\n", "data: a\n\n: ping\n\ndata: b\n\n", after, 2, "", 2},
		{"whole comments at the end", "data: a\n\n: done\n", "data: a\n\n", after, 1, "", 1},
		{"half of a comment at the end", "data: a\n\n: do", "data: a\n\n", inside, 1, "", 1},
		{"a CR after lines that end with LF", "data: a\n\n: done\r", "data: a\n\n", inside, 1, "", 1},
		{"half of a CR LF after an event", "data: a\r\n\r\n\r", "data: a\r\n\r\n", inside, 1, "", 1},
		{"only a comment that ends with a CR", ": done\r", "", before, 0, "", 0},
		{"only a byte order mark and a comment that ends with a CR", "\ufeff: done\r", "", before, 0, "", 0},
		{"only an empty line that ends with a CR", "\r", "", before, 0, "", 0},
		{"only a byte order mark", "\ufeff", "", before, 0, "", 0},
		{"half of a byte order mark", "\xef\xbb", "", inside, 0, "", 0},
		{"only a field that ends with a CR", "data: a\r", "", inside, 0, "", 0},
		{"half of a comment after one that ends with a CR", ": a\r: do", "", inside, 0, "", 0},
		{"only comments", ": ping\n\n", "", before, 0, "", 0},
		{"a comment before the first event", ": ping\n\ndata: a\n\n", ": ping\n\ndata: a\n\n", after, 1, "", 1},
		{"a comment before half of the first event", ": ping\n\ndata: a\n", "", inside, 0, "", 0},
		{"a further empty line", "data: a\n\n\n", "data: a\n\n\n", after, 1, "", 1},
		{"an event without an ID after one with", "id: 7\ndata: a\n\ndata: b\n\n", "id: 7\ndata: a\n\ndata: b\n\n", after, 2, "7", 1},
		{"an ID within another word", "data: id: 3\n\n", "data: id: 3\n\n", after, 1, "", 1},
		{"an ID of an event that has not ended", "id: 1\n\nid: 2\nda", "id: 1\n\n", inside, 1, "1", 0},
		{"an ID with a NUL", "id: 1\ndata: a\n\nid: 2\x00\n\n", "id: 1\ndata: a\n\nid: 2\x00\n\n", after, 2, "1", 1},
		{"a byte order mark", "\ufeffid: 1\ndata: a\n\n", "\ufeffid: 1\ndata: a\n\n", after, 1, "1", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, len(c.text) + 1} {
				var s Scanner
				var whole strings.Builder
				for at := 0; at < len(c.text); at += size {
					whole.Write(s.Add([]byte(c.text[at:min(at+size, len(c.text))])))
				}
				if whole.String() != c.whole || s.Position() != c.position || whole.String()+string(s.Rest()) != c.text {
					t.Errorf("pieces of %d: whole %q, rest %q, position %s", size, whole.String(), s.Rest(), s.Position())
				}
				if s.Events() != c.events || s.LastID() != c.lastID || s.EventsAfterID() != c.afterID {
					t.Errorf("pieces of %d: %d events, last ID %q, %d after it", size, s.Events(), s.LastID(), s.EventsAfterID())
				}
			}
		})
	}
}

// However the bytes of a stream are split into reads, only whole events may reach the
// caller, and IDs must be read correctly. Guards against a scanner that looks at each read
// by itself.
func TestEventsAreWholeWhereverTheBytesAreCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "events")
		whole := ""
		for id := 1; id <= n; id++ {
			whole += fmt.Sprintf("id: %d\ndata: id: 99\n\n", id)
		}
		rest := rapid.SampledFrom([]string{"", "id: 7", "id: 7\ndata: x\n"}).Draw(t, "rest")
		data := []byte(whole + rest)
		var scanner Scanner
		got, id := "", ""
		for len(data) > 0 {
			size := rapid.IntRange(1, len(data)).Draw(t, "size")
			got += string(scanner.Add(data[:size]))
			id = scanner.LastID()
			data = data[size:]
		}
		if got != whole || string(scanner.Rest()) != rest {
			t.Fatalf("whole events %q, rest %q", got, scanner.Rest())
		}
		if n > 0 && id != fmt.Sprint(n) {
			t.Fatalf("last ID %q, want %d", id, n)
		}
	})
}

// Guards against a buffer that stays as large as the longest event of its stream was.
func TestTheBufferOfALongEventIsGivenBack(t *testing.T) {
	var s Scanner
	const piece = 4 << 10
	for range 256 {
		s.Add(append([]byte("data: "), bytes.Repeat([]byte("x"), piece)...))
	}
	if s.Held() < 256*piece {
		t.Errorf("%d bytes are held of an event of %d", s.Held(), 256*piece)
	}
	if got := s.Add([]byte("\n\ndata: n")); len(got) < 256*piece {
		t.Errorf("%d bytes of the event were returned", len(got))
	}
	if got := s.Add([]byte("ext\n\n")); string(got) != "data: next\n\n" || s.Held() > keptBytes {
		t.Errorf("the next event is %q, and %d bytes are held", got, s.Held())
	}
}
