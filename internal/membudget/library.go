package membudget

import "io"

const (
	// stepBytes is the least that is reserved at a time while a library reads a body.
	stepBytes = 4 << 10
	// LibraryCost is what a byte of a message costs that a library reads and decodes: the old and new room of
	// its buffer as that grows, or the buffer and the decoded message.
	LibraryCost = 3
	// firstRead and mostRead bound how much is read at a time, so that little is reserved ahead: first of all,
	// then as much as came before, and at the most.
	firstRead = 4 << 10
	mostRead  = 16 << 10
)

// LibraryBody returns a body whose bytes are reserved before a library reads them into its own buffers. Its
// errors are those of Grow and of the reader.
func (r *Request) LibraryBody(from io.ReadCloser) io.ReadCloser {
	return &libraryBody{request: r, from: from}
}

// libraryBody is a request's body that a library reads.
type libraryBody struct {
	request *Request
	from    io.ReadCloser
	// came is how much was read, and reserved how much of the share is for it.
	came, reserved int64
}

// Read implements io.Reader.
func (b *libraryBody) Read(p []byte) (int, error) {
	p = p[:min(int64(len(p)), max(b.came, firstRead), mostRead)]
	if more := LibraryCost*(b.came+int64(len(p))) - b.reserved; more > 0 {
		more = max(more, stepBytes)
		if err := b.request.Grow(more); err != nil {
			return 0, err
		}
		b.reserved += more
	}
	n, err := b.request.read(b.from, p)
	b.came += int64(n)
	if err == io.EOF {
		if yielded := b.request.Whole(); yielded != nil {
			return 0, yielded
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *libraryBody) Close() error { return b.from.Close() }
