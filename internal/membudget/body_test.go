package membudget

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

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
