// Package httpconn sends HTTP/1.1 requests to upstreams over pooled
// connections. Each request is sent at most once, and every failure says how
// far the exchange got.
//
// Answers are parsed by net/http, but its client is not used: it sends a
// request again by itself when a reused connection was reset, does not say
// whether bytes had left, and takes the next answer on a connection for the one
// to this request, whichever request it belongs to.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	pkgerrors "github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/answerhead"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/headcost"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// maxHeaderBytes bounds an answer's header, so that a faulty upstream
	// cannot fill the memory. Servers in common use send a few KiB and accept 8
	// to 64.
	maxHeaderBytes = 64 << 10
	// concurrentWriteBytes is the request size above which the request is
	// written concurrently with reading its answer. An upstream may answer
	// before it has read a long body, and a write that blocks on a full TCP
	// window would never notice that answer. Smaller requests fit the kernel's
	// buffers.
	concurrentWriteBytes = 16 << 10
	// readBufferBytes holds an answer's header and several events.
	readBufferBytes = 4 << 10
	// maxSkippedBytes bounds the body of an answer to another request that is skipped.
	maxSkippedBytes = 64 << 10
	// maxUnmatchedAnswers is how many answers to other requests are skipped on
	// a connection before the connection is closed. At most one late answer can be
	// outstanding; a second one shows that requests and answers on the
	// connection no longer match.
	maxUnmatchedAnswers = 2
)

// Request is one HTTP request, ready to be sent.
type Request struct {
	Method string
	// URI is the path and query, byte for byte as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// IsAnswer reports whether an answer with the given header belongs to this
	// request. Nil accepts every answer.
	IsAnswer func(http.Header) bool
	// OnOtherHeader is called with the headers that precede the answer's: of interim answers
	// (1xx), and of answers to other requests. It may be nil.
	OnOtherHeader func(http.Header)
	// BeforeSend is called once a connection is available, right before the first
	// byte is sent. If it returns an error, nothing is sent. It may be nil.
	BeforeSend func() error
	// ForGateway: the answer is for the gateway itself, as those of the platform and of other gateways are, and not for a
	// caller.
	ForGateway bool
}

// Stage is the part of an exchange in which it failed.
type Stage string

// The stages.
const (
	// StageConnect: there was no connection, or Request.BeforeSend returned an
	// error, so nothing was sent.
	StageConnect Stage = "connect"
	// StageWrite: the connection broke while the request was written.
	StageWrite Stage = "write"
	// StageHeader: no valid answer header was received.
	StageHeader Stage = "head"
	// StageBody: the answer's body broke off.
	StageBody Stage = "body"
)

// Failure is the error of a failed exchange.
type Failure struct {
	Stage Stage
	// MaybeSent is false only if no byte of the request can have been sent.
	MaybeSent bool
	// Err is the cause.
	Err error
}

// Error returns the stage and the cause.
func (f *Failure) Error() string { return string(f.Stage) + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// errUnmatchedAnswers: the connection delivers answers to other requests than
// the one that was sent.
var errUnmatchedAnswers = errors.New("answers belong to other requests")

// Answer is an upstream's answer of which the header has been read. The caller
// reads the body up to io.EOF and must call Close.
type Answer struct {
	Status int
	Header http.Header

	// Relayed is set if another gateway passed the request and the answer on; nil otherwise.
	Relayed *RelayedEnd
	// OnClose is called when the answer is closed; it may be nil.
	OnClose func()

	// ctx is the request's context, at whose end the connection is reset.
	ctx      context.Context
	conn     *conn
	response *http.Response
	// written receives the result of the concurrent write of a long request;
	// nil if the request was written before its answer was read.
	written <-chan error
	// stopReset stops the reset of the connection at the end of the request's
	// context. It returns false if the reset has already begun.
	stopReset func() bool
	// share is what the answer makes the process hold, of which its head costs headBytes.
	share     *answerbudget.Share
	headBytes int64
	// ending is how the reading of the body ended, and endedAt when, if the upstream closed or reset
	// the connection.
	ending  completion.Ending
	endedAt time.Time
}

// RelayedEnd is how the answer behind a relaying gateway ended.
type RelayedEnd struct {
	// By is the gateway that relayed it.
	By ident.Instance
	// Ended returns the end that the gateway observed, as far as the body of the relayed answer
	// was read to its own end, and whether the gateway would ask for the end of the upstream's
	// process. The position is left out.
	Ended func(trailer http.Header) (end completion.End, worthAsking bool)
}

// Read reads the body. An answer that breaks off before its stated end, or that
// has no stated end and is reset, ends with a *Failure. After io.EOF, End tells
// whether the answer is complete: a body without a stated end may have been
// closed in its middle.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if n > 0 {
		a.share.Progress()
	}
	if err == nil {
		return n, nil
	}
	switch {
	case err == io.EOF:
		err = a.checkTrailer()
	case a.share.Yielded():
		err = answerbudget.ErrStalled
	}
	a.ending = a.endingOf(err)
	if a.closedByUpstream() {
		a.endedAt = a.conn.pool.now()
	}
	if err == io.EOF {
		return n, io.EOF
	}
	if a.ctx.Err() != nil {
		err = context.Cause(a.ctx)
	}
	return n, &Failure{Stage: StageBody, MaybeSent: true, Err: err}
}

// checkTrailer returns io.EOF if the trailer of a body that was read to its end is valid.
func (a *Answer) checkTrailer() error {
	if err := answerhead.CheckFields(a.response.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// closedByUpstream reports whether the reading of the body ended because the upstream closed or reset
// the connection.
func (a *Answer) closedByUpstream() bool {
	return a.ending == completion.Closed || a.ending == completion.Reset
}

// endingOf returns the ending that an error of the body's reader shows.
func (a *Answer) endingOf(err error) completion.Ending {
	var network net.Error
	switch {
	case err == io.EOF && a.Framing() != completion.ByClose:
		return completion.AtFrame
	case err == io.EOF, errors.Is(err, io.ErrUnexpectedEOF):
		return completion.Closed
	case a.ctx.Err() != nil, errors.Is(err, answerbudget.ErrStalled):
		return completion.Abandoned
	case errors.As(err, &network):
		return completion.Reset
	}
	return completion.Malformed
}

// Framing returns what marks the end of the body.
func (a *Answer) Framing() completion.Framing {
	switch {
	case len(a.response.TransferEncoding) > 0:
		return completion.ByChunks
	case a.response.ContentLength >= 0 || a.response.Body == http.NoBody:
		return completion.ByLength
	}
	return completion.ByClose
}

// End describes the end of the answer, of which position is where in its content it ended.
func (a *Answer) End(position completion.Position) completion.End {
	end := completion.End{Framing: a.Framing(), Ending: a.ending}
	if a.Relayed != nil && a.ending == completion.AtFrame {
		end, _ = a.Relayed.Ended(a.response.Trailer)
	}
	end.Position = position
	return end
}

// readToEnd reports whether Read has returned io.EOF.
func (a *Answer) readToEnd() bool {
	return a.End(completion.NotAStream).Verdict() == completion.Complete
}

// Trailer returns the fields that followed the body of a chunked answer, once Read has returned
// io.EOF; nil if there were none.
func (a *Answer) Trailer() http.Header { return a.response.Trailer }

// Close ends the exchange. It keeps the connection for reuse if the answer is
// complete and the upstream keeps the connection open, resets it if the
// exchange was abandoned, and closes it otherwise.
func (a *Answer) Close() {
	if a.OnClose != nil {
		a.OnClose()
	}
	a.share.End()
	notReset := a.stopReset()
	if a.closedByUpstream() {
		a.conn.noteClosed(a.endedAt)
	}
	switch {
	case !notReset || !a.readToEnd() || !a.requestSent():
		a.conn.resetAndDiscard()
		return
	case a.response.Close || a.Framing() == completion.ByClose || a.conn.unmatched > 0 || a.conn.reader.Buffered() > 0:
		a.conn.discard()
		return
	}
	a.conn.putIdle(keepAliveTime(a.Header, a.conn.defaultIdle))
}

// requestSent reports whether the whole request was written. If the upstream
// answered before that, it still expects the rest of the body, so no other
// request may follow on this connection.
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

// exchange sends a request and reads the answer's header. It resets the
// connection when ctx ends.
func (c *conn) exchange(ctx context.Context, req *Request) (*Answer, *Failure) {
	suspicions := c.pool.suspicions.Load()
	stop := context.AfterFunc(ctx, c.reset)
	share := c.pool.budget(req).Begin(c.id, c.stopReading)
	fail := func(stage Stage, err error) (*Answer, *Failure) {
		stop()
		switch {
		case ctx.Err() != nil:
			err = context.Cause(ctx)
		case share.Yielded():
			err = answerbudget.ErrStalled
		}
		share.End()
		c.resetAndDiscard()
		return nil, &Failure{Stage: stage, MaybeSent: true, Err: err}
	}
	c.header.hold = func(bytes int64) error { return share.Reserve(ctx, bytes) }
	written, err := c.write(req)
	if err != nil {
		return fail(StageWrite, err)
	}
	response, err := c.readHeader(req, written)
	if err != nil {
		return fail(StageHeader, err)
	}
	c.host.verify(suspicions)
	c.host.answers.Add(1)
	return &Answer{
		Status: response.StatusCode, Header: response.Header,
		ctx: ctx, conn: c, response: response, written: written, stopReset: stop, share: share, headBytes: c.header.cost.Cost(),
	}, nil
}

// write sends the request. A long request is written concurrently, and the
// returned channel receives the result; otherwise the channel is nil.
func (c *conn) write(req *Request) (<-chan error, error) {
	head := appendHeader(make([]byte, 0, 1024), req)
	if len(head)+len(req.Body) <= concurrentWriteBytes {
		_, err := c.net.Write(append(head, req.Body...))
		return nil, err
	}
	written := make(chan error, 1)
	buffers := net.Buffers{head, req.Body}
	go func() {
		_, err := c.net.WriteBuffers(buffers)
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

// readHeader reads the header of the answer that belongs to the request. It
// skips interim answers (1xx) and complete answers to earlier requests: an
// upstream may send a second answer to an earlier request late, where the
// answer to this one is expected.
func (c *conn) readHeader(req *Request, written <-chan error) (*http.Response, error) {
	interimBytes := 0
	for {
		c.header.begin(c.reader)
		response, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if c.header.short != nil {
			return nil, c.header.short
		}
		if err != nil {
			return nil, preferWriteError(written, err)
		}
		c.header.remaining = unlimited
		if err := checkHead(response, c.header.seen); err != nil {
			return nil, err
		}
		restoreConnection(response, c.header.seen)
		interim := answerhead.IsInterim(response.StatusCode)
		if !interim && (req.IsAnswer == nil || req.IsAnswer(response.Header)) {
			return response, nil
		}
		if req.OnOtherHeader != nil {
			req.OnOtherHeader(response.Header)
		}
		if interim {
			interimBytes += interimSize(response)
			if interimBytes > maxHeaderBytes {
				return nil, errTooManyInterimAnswers
			}
			continue
		}
		c.unmatched++
		if c.unmatched > maxUnmatchedAnswers || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errUnmatchedAnswers
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
		if err != nil {
			return nil, pkgerrors.Wrap(err, "skip the answer to another request")
		}
		if skipped > maxSkippedBytes {
			// The rest of its body would be read as the answer to this request.
			return nil, errUnmatchedAnswers
		}
	}
}

// checkHead returns an error unless what net/http has read from a text is the head of an answer.
func checkHead(response *http.Response, text []byte) error {
	if err := answerhead.Check(response); err != nil {
		return err
	}
	return answerhead.CheckText(text, response)
}

var errTooManyInterimAnswers = errors.New("interim answers are longer than 64 KiB")

// interimSize returns about how many bytes an interim answer took.
func interimSize(response *http.Response) int {
	const statusLine = len("HTTP/1.1 100 \r\n\r\n")
	size := statusLine + len(response.Status)
	for name, values := range response.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// preferWriteError returns the error of the concurrent write if that failed,
// because it caused the read error; otherwise it returns err.
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

// unlimited as headerReader.remaining means no bound.
const unlimited = -1

// headerReader limits how many bytes are read while an answer's header is
// parsed.
type headerReader struct {
	source io.Reader
	// remaining is how many bytes may still be read, or unlimited.
	remaining int
	// seen are the bytes that the header is in, and some after it.
	seen []byte
	// cost is what the header costs, for which hold reserves room before it is parsed, and short is the error if there was
	// none: net/http reports a malformed line then.
	cost  headcost.Meter
	hold  func(bytes int64) error
	short error
}

// begin starts a header, of which the reader above may hold a part already.
func (l *headerReader) begin(above *bufio.Reader) {
	l.remaining = maxHeaderBytes
	buffered, _ := above.Peek(above.Buffered()) // never longer than what is buffered
	l.seen = append(l.seen[:0], buffered...)
	l.cost, l.short = headcost.Meter{}, nil
	l.cost.Add(buffered)
}

// namesFields reports whether a Connection field may hold something else than "close".
func namesFields(head []byte) bool {
	const name, alone = "connection:", "close"
	for line := range bytes.Lines(head) {
		if len(bytes.TrimSpace(line)) == 0 {
			return false // the header's end
		}
		if len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) && !bytes.EqualFold(bytes.TrimSpace(line[len(name):]), []byte(alone)) {
			return true
		}
	}
	return false
}

// restoreConnection gives an answer the Connection fields that net/http removes where they hold
// "close". They may name further fields that concern this connection only.
func restoreConnection(response *http.Response, head []byte) {
	if !response.Close || response.Header["Connection"] != nil || !namesFields(head) {
		return
	}
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := lines.ReadLine(); err != nil {
		return // net/http has read the same bytes
	}
	if fields, err := lines.ReadMIMEHeader(); err == nil && fields["Connection"] != nil {
		response.Header["Connection"] = fields["Connection"]
	}
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
	l.seen = append(l.seen, p[:n]...)
	if l.cost.Add(p[:n]) > 0 {
		if l.short = l.hold(l.cost.Cost()); l.short != nil {
			return 0, l.short
		}
	}
	return n, err
}

func newReader(c net.Conn) (*bufio.Reader, *headerReader) {
	header := &headerReader{source: c, remaining: unlimited}
	return bufio.NewReaderSize(header, readBufferBytes), header
}

// defaultIdleTimeout is how long an idle connection is kept if the upstream
// does not say how long it keeps it.
const defaultIdleTimeout = 400 * time.Millisecond

// keepAliveTime returns how long an idle connection may be reused. Upstreams
// state their limit in whole seconds in the Keep-Alive header. Without the
// header the limit may be under a second, and unstated is returned.
func keepAliveTime(header http.Header, unstated time.Duration) time.Duration {
	const (
		parameter = "timeout="
		// margin covers the time in which the next request travels to the
		// upstream.
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
			return unstated
		}
		return max(time.Duration(seconds)*time.Second-margin, unstated)
	}
	return unstated
}
