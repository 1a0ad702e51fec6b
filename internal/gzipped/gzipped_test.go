package gzipped

import (
	"bytes"
	"compress/gzip"
	"testing"
)

// Guards against a small message that decompresses to more than a machine's memory, and
// against one that is damaged.
func TestWhatIsTooLargeOrDamagedIsRefused(t *testing.T) {
	data := bytes.Repeat([]byte("x"), 10_000)
	compressed, err := Compress(data, gzip.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decompress(compressed, int64(len(data))); err != nil || !bytes.Equal(got, data) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	for name, try := range map[string]func() ([]byte, error){
		"too large": func() ([]byte, error) { return Decompress(compressed, int64(len(data))-1) },
		"cut off":   func() ([]byte, error) { return Decompress(compressed[:len(compressed)/2], 1<<20) },
		"no gzip":   func() ([]byte, error) { return Decompress([]byte("x"), 1<<20) },
		"no level":  func() ([]byte, error) { return Compress(data, 99) },
	} {
		if got, err := try(); err == nil {
			t.Errorf("%s: %d bytes", name, len(got))
		}
	}
}
