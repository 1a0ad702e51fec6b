package membudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against heads whose many lines cost far more than their bytes, and against bodies that count as heads.
func TestTheCostOfHeads(t *testing.T) {
	const line = "a: b\r\n"
	ordinary := "GET / HTTP/1.1\r\n" + strings.Repeat(line, 20)
	many := strings.Repeat(line, 1000)
	for name, c := range map[string]struct {
		text string
		most int64
		want bool
	}{
		"ordinary":                  {text: ordinary + "\r\n"},
		"ordinary, with a body":     {text: ordinary + "\r\n" + strings.Repeat("\n", 50_000)},
		"ordinary, bare line feeds": {text: strings.ReplaceAll(ordinary+"\r\n", "\r", "") + many},
		"many lines":                {text: ordinary + many, want: true},
		"a long line":               {text: ordinary + strings.Repeat("x", 20<<10), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			var whole, parts headMeter
			cost := whole.add([]byte(c.text))
			var sum int64
			for _, b := range []byte(c.text) {
				sum += parts.add([]byte{b})
			}
			if sum != cost {
				t.Errorf("read by bytes it costs %d, at once %d", sum, cost)
			}
			if (cost > 0) != c.want {
				t.Errorf("costs %d beside its connection, want any: %v", cost, c.want)
			}
		})
	}
}

// Guards against bodies that are cut, lengthened, or taken for whole though they are not.
func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 300_000
	for name, c := range map[string]struct {
		sent   int
		length int64
		want   error
	}{
		"none":                         {sent: 0, length: 0},
		"short, with a length":         {sent: 5, length: 5},
		"long, with a length":          {sent: 200_000, length: 200_000},
		"the limit, with a length":     {sent: limit, length: limit},
		"above it, with a length":      {sent: 0, length: limit + 1, want: ErrTooLong},
		"short of its length":          {sent: 199_999, length: 200_000, want: io.ErrUnexpectedEOF},
		"none, in chunks":              {sent: 0, length: -1},
		"short, in chunks":             {sent: 5, length: -1},
		"long, in chunks":              {sent: 200_000, length: -1},
		"the limit, in chunks":         {sent: limit, length: -1},
		"above the limit, in chunks":   {sent: limit + 1, length: -1, want: ErrTooLong},
		"more than the budget's bytes": {sent: 0, length: 1 << 40, want: ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			text := bytes.Repeat([]byte("0123456789"), limit/10+1)[:c.sent]
			for reading, body := range map[string]io.Reader{
				"at once": bytes.NewReader(text), "by bytes": iotest.OneByteReader(bytes.NewReader(text)), "with the end": iotest.DataErrReader(bytes.NewReader(text)),
			} {
				b := newTestBudget(4<<20, 1)
				r, err := b.Begin(nil, 0, yieldFunc(func() {}))
				if err != nil {
					t.Fatal(err)
				}
				got, err := r.ReadBody(body, c.length, limit)
				if !errors.Is(err, c.want) || c.want == nil && !bytes.Equal(got, text) {
					t.Errorf("%s: %d bytes, %v; want %d, %v", reading, len(got), err, c.sent, c.want)
				}
				if held := b.State().Bytes; err == nil && held != int64(cap(got)) {
					t.Errorf("%s: %d bytes are held for a body that takes %d", reading, held, cap(got))
				}
				r.End()
				if held := b.State().Bytes; held != 0 {
					t.Errorf("%s: %d bytes are held after the end", reading, held)
				}
			}
		})
	}
}
