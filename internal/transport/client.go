// Package transport creates the HTTP clients and servers that the Connect adapters
// share, and transmits the reasons of errors between them.
//
// A client sends each request at most once, and can tell whether a failed request was
// sent at all. docs/design/transport.md explains why it uses HTTP/1.1.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/answerhead"
	"github.com/goldcrestspool/goldcrestspool/internal/connend"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is below serverIdleTimeout, so that a client seldom uses a
	// connection that its server is closing.
	idleTimeout       = 10 * time.Second
	serverIdleTimeout = 60 * time.Second
	maxIdlePerHost    = 256
	// pingIdleTime is how long an HTTP/2 connection may be silent before it gets a
	// ping, and pingTimeout how long the ping's answer may take.
	pingIdleTime = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

// Options configures how a client connects.
type Options struct {
	// FreshConnections dials a new connection for each request. An open connection
	// can go silent forever while new ones work, and whether a request that was lost
	// on it ran is unknown. If a new connection cannot be dialed, the request is
	// certain not to have been sent, which matters if it must not be repeated.
	FreshConnections bool
	// HTTP2 uses HTTP/2 without TLS. Attempt.NotSent then hardly ever returns true.
	HTTP2 bool
	// TLS is the configuration for https URLs; nil is the default one.
	TLS *tls.Config
	// RequireFrame refuses answers that have neither a length nor chunks, with ErrNoFrame: of
	// these, an orderly close is the end, whether the server wanted it or its process ended. The
	// message of an answer does not tell its own end; cut between two of its fields, it is valid.
	RequireFrame bool
	// Answers bounds what all answers together make the process hold; nil for no bound.
	Answers *answerbudget.Budget
}

// ErrNoFrame is the error of an answer that has neither a length nor chunks.
var ErrNoFrame = errors.New("the answer has neither a length nor chunks")

// NewClient returns a client that never repeats a request by itself, follows no
// redirects, and sends the W3C trace context of the request's context.
func NewClient(options Options) *http.Client {
	return &http.Client{
		Transport:     &noRetryTransport{next: newTransport(options), requireFrame: options.RequireFrame, answers: options.Answers},
		CheckRedirect: refuseRedirect,
	}
}

func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: connend.BoundUnread}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil || options.HTTP2 {
			// Requests share an HTTP/2 connection, so its writes prove nothing
			// about a single request.
			return c, err
		}
		tracked := &trackedConn{Conn: connend.New(c)}
		return &answerConn{Conn: tracked, tracked: tracked}, nil
	}
	var protocols http.Protocols
	protocols.SetHTTP1(!options.HTTP2)
	protocols.SetUnencryptedHTTP2(options.HTTP2)
	transport := &http.Transport{
		DialContext:            dial,
		Protocols:              &protocols,
		TLSClientConfig:        clientTLS(options.TLS),
		DisableKeepAlives:      options.FreshConnections,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime,
			PingTimeout:     pingTimeout,
		},
	}
	if !options.HTTP2 {
		transport.DialTLSContext = secure(dial, transport.TLSClientConfig)
	}
	return transport
}

// maxCachedSessions is the number of servers whose TLS sessions a client caches. A
// connection that resumes a session need not verify the signatures of the server's
// certificate again.
const maxCachedSessions = 256

// clientTLS returns a copy of config that requires TLS 1.3 and resumes sessions.
func clientTLS(config *tls.Config) *tls.Config {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	config.MinVersion = max(config.MinVersion, tls.VersionTLS13)
	config.ClientSessionCache = tls.NewLRUClientSessionCache(maxCachedSessions)
	return config
}

// refuseRedirect makes a client return a redirect as the answer. Following a status 307
// or 308 would send the request a second time, although the first server may have run
// it already.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// noRetryTransport is a round tripper that keeps net/http from sending a request twice.
//
// When a reused connection is reset, or the server refuses an HTTP/2 stream, net/http
// sends a request again if it has no body or if GetBody returns its body anew. The
// upstream would then count two requests where the caller sent one. A request without
// GetBody, and with a body that net/http cannot know to be empty, fails instead.
type noRetryTransport struct {
	next http.RoundTripper
	// requireFrame is Options.RequireFrame, and answers is Options.Answers.
	requireFrame bool
	answers      *answerbudget.Budget
}

// RoundTrip implements http.RoundTripper.
func (t *noRetryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	e := t.begin(req)
	once := req.Clone(withAnswerTrace(e.ctx, e))
	once.GetBody = nil
	if once.Body == nil || once.Body == http.NoBody {
		once.Body = emptyBody{}
	}
	propagation.TraceContext{}.Inject(once.Context(), propagation.HeaderCarrier(once.Header))
	resp, err := t.next.RoundTrip(once)
	if err == nil {
		if err = t.check(resp); err != nil {
			_ = resp.Body.Close() // the answer is not used
		}
	}
	if err != nil {
		err = e.explain(err)
		e.end()
		return nil, err
	}
	resp.Body = newAnswerBody(resp, e)
	return resp, nil
}

// withAnswerTrace returns a context whose request fails if an interim answer to it is none, and whose connection reserves
// room for the head of the answer.
func withAnswerTrace(ctx context.Context, e *exchange) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*answerConn); ok {
				c.begin(e)
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return answerhead.CheckFields(header) },
	})
}

// check returns an error unless the head of an answer may be used.
func (t *noRetryTransport) check(resp *http.Response) error {
	if err := answerhead.Check(resp); err != nil {
		return err
	}
	if t.requireFrame && !isFramed(resp) {
		return ErrNoFrame
	}
	return nil
}

// isFramed reports whether something other than the end of its connection ends an answer's body. The
// end of compressed data is marked.
func isFramed(resp *http.Response) bool {
	return resp.ProtoMajor >= 2 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t *noRetryTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// emptyBody is an empty body that net/http cannot know to be empty, because it is not
// http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
