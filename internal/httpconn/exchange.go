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
	// maxHeaderBytes bounds an answer's header, so that a faulty upstream cannot fill
	// the memory. Servers in common use send a few KiB and allow 8 to 64.
	maxHeaderBytes = 64 << 10
	// concurrentWriteBytes is the size from which a request is written beside the
	// reading of its answer: an upstream may answer before it has read a long
	// body, and a writer that fills the window would never see that. Smaller
	// requests fit the kernel's buffers.
	concurrentWriteBytes = 16 << 10
	// readBufferBytes holds an answer's header and several events.
	readBufferBytes = 4 << 10
	// maxUnmatchedAnswers is how many answers to other requests are skipped on a
	// connection before it is given up. One late answer was ever due; a
	// second one shows a connection that is out of step for good.
	maxUnmatchedAnswers = 2
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
	StageHeader Stage = "head"
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
var errUnmatchedAnswers = errors.New("answers belong to other requests")

// Answer is an upstream's answer whose header was read. Read its body up to
// io.EOF and Close it.
type Answer struct {
	Status int
	Header http.Header

	conn      *conn
	response  *http.Response
	written   <-chan error
	stopReset func() bool
	complete  bool
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
	inTime := a.stopReset()
	switch {
	case !inTime || !a.complete || !a.requestSent():
		a.conn.resetAndDiscard()
		return
	case a.response.Close || !a.endsWithoutClose() || a.conn.unmatched > 0 || a.conn.reader.Buffered() > 0:
		a.conn.discard()
		return
	}
	a.conn.putIdle(keepAliveTime(a.Header, a.conn.defaultIdle))
}

// endsWithoutClose reports whether the answer's end did not need the connection's end.
func (a *Answer) endsWithoutClose() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// requestSent reports whether the whole request has left. If the upstream
// answered before that, the rest of the body must not be followed by another
// request, and must not be replaced by anything else.
func (a *Answer) requestSent() bool {
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
		c.resetAndDiscard()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Failure{Stage: stage, Sent: true, Err: err}
	}
	written, err := c.write(req)
	if err != nil {
		return fail(StageWrite, err)
	}
	response, err := c.readHeader(req, written)
	if err != nil {
		return fail(StageHeader, err)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header,
		conn: c, response: response, written: written, stopReset: stop,
	}, nil
}

// write sends the request, a long one beside the reading of its answer.
func (c *conn) write(req *Request) (<-chan error, error) {
	head := appendHeader(make([]byte, 0, 1024), req)
	if len(head)+len(req.Body) <= concurrentWriteBytes {
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

func appendHeader(b []byte, req *Request) []byte {
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

// readHeader reads the header of the answer that belongs to the request. Interim
// answers, and complete ones to earlier requests, are passed over: an upstream
// may send a second answer late, where the next one is due.
func (c *conn) readHeader(req *Request, written <-chan error) (*http.Response, error) {
	for {
		c.header.remaining = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, preferWriteError(written, err)
		}
		c.header.remaining = unlimited
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if req.Belongs == nil || req.Belongs(response.Header) {
			return response, nil
		}
		c.unmatched++
		if c.unmatched > maxUnmatchedAnswers || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errUnmatchedAnswers
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes)); err != nil {
			return nil, pkgerrors.Wrap(err, "skip the answer to another request")
		}
	}
}

// preferWriteError prefers the error of a write that failed over that of the read
// that it broke.
func preferWriteError(written <-chan error, err error) error {
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

// headerReader bounds what is read of a header.
type headerReader struct {
	source io.Reader
	// remaining is how many bytes may still be read; unlimited for no bound.
	remaining int
}

var errHeaderTooLong = errors.New("answer header is longer than 64 KiB")

func (l *headerReader) Read(p []byte) (int, error) {
	if l.remaining == unlimited {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= n
	return n, err
}

func newReader(c net.Conn) (*bufio.Reader, *headerReader) {
	limit := &headerReader{source: c, remaining: unlimited}
	return bufio.NewReaderSize(limit, readBufferBytes), limit
}

// defaultIdleTimeout is for how long a connection is kept that the upstream said nothing
// of.
const defaultIdleTimeout = 400 * time.Millisecond

// keepAliveTime returns for how long the upstream keeps an idle connection. It
// says so in whole seconds; without a word it may be less than one.
func keepAliveTime(header http.Header, unsaid time.Duration) time.Duration {
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
