package forward

import (
	"fmt"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Different requests must have different content hashes, and the same request the same
// hash under another ID.
func TestContent(t *testing.T) {
	base := Call{ID: "1", Account: "a", Method: "POST", Host: "h", URI: "/p?q=1", Body: []byte("body")}
	seen := map[ident.ContentHash]string{base.Content(): "base"}
	for name, change := range map[string]func(*Call){
		"account": func(c *Call) { c.Account = "b" }, "method": func(c *Call) { c.Method = "GET" }, "host": func(c *Call) { c.Host = "i" },
		"path": func(c *Call) { c.URI = "/r?q=1" }, "query": func(c *Call) { c.URI = "/p?q=2" }, "body": func(c *Call) { c.Body = []byte("other") },
		"split": func(c *Call) { c.Host, c.URI = "h/p", "?q=1" }, "no body": func(c *Call) { c.Body = nil },
	} {
		next := base
		next.outline, next.content = 0, 0
		change(&next)
		if same, known := seen[next.Content()]; known {
			t.Errorf("another %s has the content of %s", name, same)
		}
		seen[next.Content()] = name
	}
	again := base
	again.outline, again.content, again.ID, again.LastEventID = 0, 0, "2", "7"
	if again.Content() != base.Content() {
		t.Error("another ID changed the content")
	}
	if ident.ContentMark(base.Content(), "1").Feature != base.Content().Feature() {
		t.Error("a mark is not of its content")
	}
}

func BenchmarkContent(b *testing.B) {
	for _, size := range []int{1 << 10, 200 << 10} {
		b.Run(fmt.Sprint(size>>10, "KiB"), func(b *testing.B) {
			call := Call{Account: "a", Method: "POST", Host: "h", URI: "/p", Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				call.outline, call.content = 0, 0
				call.Content()
			}
		})
		b.Run(fmt.Sprint("outline of ", size>>10, "KiB"), func(b *testing.B) {
			call := Call{Account: "a", Method: "POST", Host: "h", URI: "/p", Body: make([]byte, size)}
			for b.Loop() {
				call.outline = 0
				call.Outline()
			}
		})
	}
}
