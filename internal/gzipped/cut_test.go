package gzipped

import (
	"bytes"
	"compress/gzip"
	"testing"
)

// Guards against the beginning of compressed data that counts as the whole, whatever it holds.
func TestTheBeginningOfCompressedDataIsRefused(t *testing.T) {
	for _, data := range [][]byte{nil, []byte("x"), bytes.Repeat([]byte("a configuration with routes "), 200)} {
		for _, level := range []int{gzip.NoCompression, gzip.BestSpeed, gzip.DefaultCompression} {
			compressed, err := Compress(data, level)
			if err != nil {
				t.Fatal(err)
			}
			for cut := range compressed {
				if got, err := Decompress(compressed[:cut], 1<<20); err == nil {
					t.Errorf("%d bytes at level %d, cut after %d of %d: %d bytes", len(data), level, cut, len(compressed), len(got))
				}
			}
		}
	}
}
