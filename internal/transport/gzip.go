package transport

import (
	"compress/gzip"
	"context"
	"io"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
)

// Gzip returns the option of a Connect client that takes compressed answers of a source, and reserves room for what they
// become before that is held: a few bytes can become any number.
func Gzip(answers *answerbudget.Budget, of ident.Instance) connect.ClientOption {
	return connect.WithAcceptCompression("gzip",
		func() connect.Decompressor { return &decompressor{answers: answers, of: of} },
		func() connect.Compressor { return gzip.NewWriter(io.Discard) })
}

// decompressor decompresses one message after another.
type decompressor struct {
	gzip.Reader
	answers *answerbudget.Budget
	of      ident.Instance
	share   *answerbudget.Share
	came    int64
}

// Reset implements connect.Decompressor.
func (d *decompressor) Reset(compressed io.Reader) error {
	d.end()
	return d.Reader.Reset(compressed)
}

// end gives back what the last message held.
func (d *decompressor) end() {
	d.share.End()
	d.share, d.came = nil, 0
}

// Read implements io.Reader.
func (d *decompressor) Read(p []byte) (int, error) {
	if d.share == nil {
		// What is compressed has come whole, so that nothing of it is awaited, and nothing has to be stopped.
		d.share = d.answers.Begin(d.of, func() {})
	}
	p = nextRead(p, d.came)
	if err := d.share.Reserve(context.Background(), membudget.LibraryCost*(d.came+int64(len(p)))); err != nil {
		return 0, err
	}
	n, err := d.Reader.Read(p)
	d.came += int64(n)
	return n, err
}

// Close implements connect.Decompressor.
func (d *decompressor) Close() error {
	d.end()
	return d.Reader.Close()
}
