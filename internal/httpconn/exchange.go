// Package httpconn sends HTTP/1.1 requests to upstreams, each exactly once,
// and says of every failure how far the request got.
//
// net/http reads and checks the answers; its client is not used, because it
// sends a request again by itself when a reused connection was reset, hides
// whether bytes had left, and takes whatever answer comes next on a connection
// for the one that is due.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	pkgerrors "github.com/pkg/errors"
)

const (
	// maxHead bounds an answer's header, so that a faulty upstream cannot fill
	// the memory. Servers in common use send a few KiB and allow 8 to 64.
	maxHead = 64 << 10
	// writeAside is the size from which a request is written beside the
	// reading of its answer: an upstream may answer before it has read a long
	// body, and a writer that fills the window would never see that. Smaller
	// requests fit the kernel's buffers.
	writeAside = 16 << 10
	// readBuffer holds an answer's header and several events.
	readBuffer = 4 << 10
	// mostStrays is how many answers to other requests are skipped on a
	// connection before it is given up. One late answer was ever due; a
	// second one shows a connection that is out of step for good.
	mostStrays = 2
)

// Request is one HTTP request, ready to be sent.
type Request struct {
	Method string
	// URI is path and query, byte for byte as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs tells whether an answer with this header is the one to this
	// request. Nil takes any.
	Belongs func(http.Header) bool
	// Before is asked when a connection is there, right before the first byte
	// leaves; an error ends the exchange unsent. Nil asks nothing.
	Before func() error
}

// Stage says how far an exchange got.
type Stage string

// The stages.
const (
	// StageConnect: no connection, so nothing was sent.
	StageConnect Stage = "connect"
	// StageWrite: the connection broke while the request was written.
	StageWrite Stage = "write"
	// StageHead: no valid answer header came.
	StageHead Stage = "head"
	// StageBody: the answer broke off.
	StageBody Stage = "body"
)

// Failure is a failed exchange.
type Failure struct {
	Stage Stage
	// Sent is false only if no byte of the request can have left.
	Sent bool
	Err  error
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Stage) + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// errStray: the connection answers other requests than the one that was sent.
var errStray = errors.New("answers belong to other requests")

// Answer is an upstream's answer whose header was read. Read its body up to
// io.EOF and Close it.
type Answer struct {
	Status int
	Header http.Header

	conn     *conn
	response *http.Response
	written  <-chan error
	stop     func() bool
	complete bool
}

// Read reads the body. io.EOF means that all of it came: an answer that is cut
// off before its stated end, or reset where it has none, ends with another
// error.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, &Failure{Stage: StageBody, Sent: true, Err: err}
	}
	return n, nil
}

// Close ends the exchange. The connection is kept only if the answer is
// complete and the upstream agreed, and reset if the exchange is given up.
func (a *Answer) Close() {
	inTime := a.stop()
	switch {
	case !inTime || !a.complete || !a.allWritten():
		a.conn.giveUp()
		return
	case a.response.Close || !a.hasEnd() || a.conn.strays > 0 || a.conn.reader.Buffered() > 0:
		a.conn.discard()
		return
	}
	a.conn.keep(keepAlive(a.Header, a.conn.unsaid))
}

// hasEnd reports whether the answer's end did not need the connection's end.
func (a *Answer) hasEnd() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// allWritten reports whether the whole request has left. If the upstream
// answered before that, the rest of the body must not be followed by another
// request, and must not be replaced by anything else.
func (a *Answer) allWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// exchange sends a request and reads the answer's header.
func (c *conn) exchange(ctx context.Context, req *Request) (*Answer, *Failure) {
	stop := context.AfterFunc(ctx, c.reset)
	fail := func(stage Stage, err error) (*Answer, *Failure) {
		stop()
		c.giveUp()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Failure{Stage: stage, Sent: true, Err: err}
	}
	written, err := c.write(req)
	if err != nil {
		return fail(StageWrite, err)
	}
	response, err := c.readHead(req, written)
	if err != nil {
		return fail(StageHead, err)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header,
		conn: c, response: response, written: written, stop: stop,
	}, nil
}

// write sends the request, a long one beside the reading of its answer.
func (c *conn) write(req *Request) (<-chan error, error) {
	head := appendHead(make([]byte, 0, 1024), req)
	if len(head)+len(req.Body) <= writeAside {
		_, err := c.net.Write(append(head, req.Body...))
		return nil, err
	}
	written := make(chan error, 1)
	buffers := net.Buffers{head, req.Body}
	go func() {
		_, err := buffers.WriteTo(c.net)
		written <- err
	}()
	return written, nil
}

func appendHead(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHead reads the header of the answer that belongs to the request. Interim
// answers, and complete ones to earlier requests, are passed over: an upstream
// may send a second answer late, where the next one is due.
func (c *conn) readHead(req *Request, written <-chan error) (*http.Response, error) {
	for {
		c.limit.left = maxHead
		response, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, writeErrorOr(written, err)
		}
		c.limit.left = unlimited
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if req.Belongs == nil || req.Belongs(response.Header) {
			return response, nil
		}
		c.strays++
		if c.strays > mostStrays || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errStray
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxHead)); err != nil {
			return nil, pkgerrors.Wrap(err, "skip the answer to another request")
		}
	}
}

// writeErrorOr prefers the error of a write that failed over that of the read
// that it broke.
func writeErrorOr(written <-chan error, err error) error {
	if written == nil {
		return err
	}
	select {
	case failed := <-written:
		if failed != nil {
			return failed
		}
	default:
	}
	return err
}

const unlimited = -1

// limitedReader bounds what is read of a header.
type limitedReader struct {
	next io.Reader
	// left is how many bytes may still be read; unlimited for no bound.
	left int
}

var errHeadTooLong = errors.New("answer header is longer than 64 KiB")

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left == unlimited {
		return l.next.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.next.Read(p)
	l.left -= n
	return n, err
}

func newReader(c net.Conn) (*bufio.Reader, *limitedReader) {
	limit := &limitedReader{next: c, left: unlimited}
	return bufio.NewReaderSize(limit, readBuffer), limit
}

// unsaidIdle is for how long a connection is kept that the upstream said nothing
// of.
const unsaidIdle = 400 * time.Millisecond

// keepAlive returns for how long the upstream keeps an idle connection. It
// says so in whole seconds; without a word it may be less than one.
func keepAlive(header http.Header, unsaid time.Duration) time.Duration {
	const (
		parameter = "timeout="
		// margin covers the flight of the next request.
		margin = 500 * time.Millisecond
	)
	value := header.Get("Keep-Alive")
	for i := 0; i+len(parameter) <= len(value); i++ {
		if value[i:i+len(parameter)] != parameter {
			continue
		}
		end := i + len(parameter)
		for end < len(value) && value[end] >= '0' && value[end] <= '9' {
			end++
		}
		seconds, err := strconv.Atoi(value[i+len(parameter) : end])
		if err != nil || seconds == 0 {
			return unsaid
		}
		return max(time.Duration(seconds)*time.Second-margin, unsaid)
	}
	return unsaid
}
