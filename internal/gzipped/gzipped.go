// Package gzipped compresses data that is kept or told whole, and reads it again within a
// bound.
package gzipped

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// Pack compresses data at a level of package gzip.
func Pack(data []byte, level int) ([]byte, error) {
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

// Unpack is the inverse of Pack. Data of more than most bytes is an error: a small damaged
// or hostile message must not take all of a machine's memory.
func Unpack(packed []byte, most int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if int64(len(data)) > most {
		return nil, errors.Errorf("decompress: more than %d bytes", most)
	}
	return data, nil
}
