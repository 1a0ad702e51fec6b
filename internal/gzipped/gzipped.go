// Package gzipped compresses data that fits in memory, and decompresses it up to a
// maximum size.
package gzipped

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// Compress compresses data. The level is one of package compress/gzip.
func Compress(data []byte, level int) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := gzip.NewWriterLevel(&buffer, level)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return buffer.Bytes(), nil
}

// Decompress returns the decompressed data. More than maxBytes bytes of it are an error: a
// small message that is damaged or hostile must not use up the machine's memory.
func Decompress(compressed []byte, maxBytes int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if int64(len(data)) > maxBytes {
		return nil, errors.Errorf("decompress: more than %d bytes", maxBytes)
	}
	return data, nil
}
