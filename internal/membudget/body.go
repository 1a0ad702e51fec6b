package membudget

import (
	"errors"
	"io"
)

// ErrTooLong is the error of a body that is longer than its limit.
var ErrTooLong = errors.New("the body is too long")

const (
	// firstBytes is how much is reserved first for a body, and firstChunkedBytes for one of unknown length.
	firstBytes        = 16 << 10
	firstChunkedBytes = 4 << 10
)

// ReadBody reads a whole body. Its length is negative if it is not known; limit bounds it. Memory is reserved
// before it is taken: for the first bulkBytes as they come, and then for the whole length, so that bodies that
// progress don't keep each other from being read whole. Errors are ErrTooLong, ErrNoRoom, ErrYielded, or the
// reader's.
func (r *Request) ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	read := &bodyReader{request: r, from: body, length: length, limit: limit}
	defer read.narrow()
	data, err := read.all()
	if err != nil {
		return nil, err
	}
	return data, r.Whole()
}

// bodyReader reads one body.
type bodyReader struct {
	request       *Request
	from          io.Reader
	length, limit int64
	data          []byte
}

// all reads until the end of the body.
func (b *bodyReader) all() ([]byte, error) {
	if b.length == 0 {
		return nil, nil
	}
	for {
		if len(b.data) == cap(b.data) {
			if int64(len(b.data)) == b.mostBytes() {
				return b.atEnd()
			}
			if err := b.grow(); err != nil {
				return nil, err
			}
		}
		n, err := b.request.read(b.from, b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case err == io.EOF && b.length >= 0 && int64(len(b.data)) < b.length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return b.data, nil
		case err != nil:
			return nil, err
		}
	}
}

// mostBytes is how many bytes the body has at the most.
func (b *bodyReader) mostBytes() int64 {
	if b.length >= 0 {
		return b.length
	}
	return b.limit
}

// atEnd reads the end of a body that has as many bytes as it may have.
func (b *bodyReader) atEnd() ([]byte, error) {
	var one [1]byte
	for {
		switch n, err := b.request.read(b.from, one[:]); {
		case n > 0:
			return nil, ErrTooLong
		case err == io.EOF:
			return b.data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow makes room for more bytes.
func (b *bodyReader) grow() error {
	before := int64(cap(b.data))
	first := int64(firstBytes)
	if b.length < 0 {
		first = firstChunkedBytes
	}
	next := min(max(2*before, first), b.mostBytes())
	if b.length > 0 && before >= bulkBytes {
		next = b.length
	}
	// Old and new room are held while the bytes are copied.
	if err := b.request.Grow(next); err != nil {
		return err
	}
	data := make([]byte, len(b.data), next)
	copy(data, b.data)
	b.data = data
	b.request.Shrink(before)
	if next > bulkBytes {
		b.request.conn.widen()
	}
	return nil
}

// narrow undoes what grow did to the connection.
func (b *bodyReader) narrow() {
	if cap(b.data) > bulkBytes {
		b.request.conn.narrow()
	}
}
