package transport

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/answerhead"
	"github.com/goldcrestspool/goldcrestspool/internal/headcost"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
)

// maxAnswerHeaderBytes bounds an answer's header, and all interim ones before it.
const maxAnswerHeaderBytes = 64 << 10

// exchange is what one request's answer makes the process hold.
type exchange struct {
	ctx   context.Context
	share *answerbudget.Share
	// holder keeps the share once the answer has been read; nil for none.
	holder *answerbudget.Holder
	// cancel ends ctx.
	cancel context.CancelCauseFunc
	// short is the error if there was no room for the head: net/http reports a malformed line then.
	short atomic.Pointer[error]
}

// begin starts an exchange. Its context ends if its answer has to yield.
func (t *noRetryTransport) begin(req *http.Request) *exchange {
	ctx, cancel := context.WithCancelCause(req.Context())
	return &exchange{
		ctx: ctx, cancel: cancel, holder: answerbudget.HolderOf(ctx),
		share: t.answers.Begin(source(req), func() { cancel(answerbudget.ErrStalled) }),
	}
}

// end ends the exchange, and gives back what its answer holds.
func (e *exchange) end() {
	e.cancel(nil)
	e.share.End()
}

// source returns where the answer to a request comes from.
func source(req *http.Request) ident.Instance { return ident.Instance(req.URL.Host) }

// hold reserves room for so many bytes of the answer.
func (e *exchange) hold(bytes int64) error { return e.share.Reserve(e.ctx, bytes) }

// explain returns the cause of an error, if it was that the answer had no room or had to yield.
func (e *exchange) explain(err error) error {
	if short := e.short.Load(); short != nil {
		return *short
	}
	if e.share.Yielded() {
		return answerbudget.ErrStalled
	}
	return err
}

// answerConn is a connection of HTTP/1.1 that reserves room for the heads of answers before they are parsed.
type answerConn struct {
	net.Conn
	// tracked is the connection, or what TLS wraps.
	tracked *trackedConn

	mu       sync.Mutex
	exchange *exchange
	meter    headcost.Meter
}

// begin starts the exchange whose answer comes next.
func (c *answerConn) begin(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange, c.meter = e, headcost.Meter{}
}

// Read implements net.Conn.
func (c *answerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	e, more := c.exchange, c.meter.Add(p[:n])
	cost := c.meter.Cost()
	c.mu.Unlock()
	if more > 0 && e != nil {
		if short := e.hold(cost); short != nil {
			e.short.Store(&short)
			return 0, short
		}
	}
	return n, err
}

// secure returns a function that dials with TLS, which the transport would do below an answerConn.
func secure(dial dialFunc, config *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		named := config.Clone()
		if named.ServerName == "" {
			named.ServerName = host
		}
		c := tls.Client(plain, named)
		if err := handshake(ctx, c); err != nil {
			_ = plain.Close() // the handshake's error tells more
			return nil, err
		}
		return &answerConn{Conn: c, tracked: trackedConnOf(plain)}, nil
	}
}

// handshake makes a TLS handshake, and reports it to the request's trace as the transport does.
func handshake(ctx context.Context, c *tls.Conn) error {
	trace := httptrace.ContextClientTrace(ctx)
	if trace != nil && trace.TLSHandshakeStart != nil {
		trace.TLSHandshakeStart()
	}
	err := c.HandshakeContext(ctx)
	if trace != nil && trace.TLSHandshakeDone != nil {
		trace.TLSHandshakeDone(c.ConnectionState(), err)
	}
	return err
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// answerBody is the body of an answer. It reserves room for what a library holds of it before it is read, and ends only if
// the answer's trailer is valid.
type answerBody struct {
	io.ReadCloser
	answer   *http.Response
	exchange *exchange
	// headBytes is what the head holds, and came how much came of the body, or of a stream's present message.
	headBytes, came int64
	// messages tells the messages of a stream apart; nil for a body that is one message.
	messages *messageCounter

	closing sync.Once
}

func newAnswerBody(answer *http.Response, e *exchange) *answerBody {
	b := &answerBody{ReadCloser: answer.Body, answer: answer, exchange: e, headBytes: e.share.Held()}
	if isEnveloped(answer.Header.Get("Content-Type")) {
		b.messages = &messageCounter{}
	}
	return b
}

// isEnveloped reports whether a body of this type is a stream of messages, each with its length before it.
func isEnveloped(contentType string) bool {
	return strings.HasPrefix(contentType, "application/connect+") || strings.HasPrefix(contentType, "application/grpc")
}

const (
	// firstRead and mostRead bound how much is read at a time, so that little is reserved ahead: first of all, then as much
	// as came before, and at the most.
	firstRead = 4 << 10
	mostRead  = 16 << 10
)

// nextRead returns how much of p is read next, after so many bytes came.
func nextRead(p []byte, came int64) []byte {
	return p[:min(int64(len(p)), max(came, firstRead), mostRead)]
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	p = nextRead(p, b.came)
	if err := b.exchange.hold(b.headBytes + membudget.LibraryCost*(b.came+int64(len(p)))); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.exchange.share.Progress()
	b.count(p[:n])
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		return n, b.exchange.explain(err)
	}
	if invalid := answerhead.CheckFields(b.answer.Trailer); invalid != nil {
		return n, invalid
	}
	if stalled := b.exchange.share.Settle(b.headBytes + membudget.LibraryCost*b.came); stalled != nil {
		return n, stalled
	}
	return n, io.EOF
}

// count counts what came. What a stream's message took is given back once the next one has begun.
func (b *answerBody) count(data []byte) {
	if b.messages == nil {
		b.came += int64(len(data))
		return
	}
	ended, rest := b.messages.add(data)
	if !ended {
		b.came += int64(len(data))
		return
	}
	b.came = rest
	b.exchange.share.Shrink(b.headBytes + membudget.LibraryCost*b.came)
}

// Close implements io.Closer. The answer's message may be held until its caller has been answered.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.closing.Do(func() {
		if b.messages != nil {
			b.exchange.end()
			return
		}
		b.exchange.cancel(nil)
		b.exchange.share.Shrink(b.came)
		b.exchange.holder.Keep(b.exchange.share)
	})
	return err
}

// messageCounter finds the ends of messages with their lengths before them, as Connect and gRPC send them.
type messageCounter struct {
	prefix [5]byte
	filled int
	// left is how much of the present message has not come, once its prefix has.
	left int64
}

// add takes bytes that came. It reports whether a message has ended with them, and how many bytes came after the last one.
func (m *messageCounter) add(data []byte) (ended bool, rest int64) {
	for len(data) > 0 {
		if m.filled < len(m.prefix) {
			n := copy(m.prefix[m.filled:], data)
			m.filled += n
			data = data[n:]
			rest += int64(n)
			if m.filled == len(m.prefix) {
				m.left = int64(binary.BigEndian.Uint32(m.prefix[1:]))
			}
		} else {
			n := min(m.left, int64(len(data)))
			m.left -= n
			data = data[n:]
			rest += n
		}
		if m.filled == len(m.prefix) && m.left == 0 {
			m.filled, ended, rest = 0, true, 0
		}
	}
	return ended, rest
}
