// Package transport makes the HTTP clients and servers that the Connect
// adapters share, and carries typed errors across them.
//
// The client sends each request at most once and can tell whether a failed
// request was sent at all. docs/design/transport.md says why it speaks
// HTTP/1.1.
package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/propagation"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is below the servers' idle timeout, so that a client seldom
	// picks a connection that its server is closing.
	idleTimeout       = 10 * time.Second
	serverIdleTimeout = 60 * time.Second
	maxIdlePerHost    = 256
	// pingIdleTime is the silence after which an HTTP/2 connection is probed,
	// and pingTimeout how long its answer may take.
	pingIdleTime = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

// Options choose how a client connects.
type Options struct {
	// FreshConnections dials a connection for each request. An open
	// connection can go silent for good while new ones work; a request that
	// may not be repeated then fails to connect, which is certain, instead of
	// vanishing in a dead connection, which is not.
	FreshConnections bool
	// HTTP2 speaks HTTP/2 without TLS. NotSent is then rarely certain.
	HTTP2 bool
	// TLS is used for https URLs.
	TLS *tls.Config
}

// NewClient returns a client that never repeats a request by itself and
// carries the W3C trace context of the request's context.
func NewClient(options Options) *http.Client {
	return &http.Client{
		Transport:     &noRetryTransport{next: newTransport(options)},
		CheckRedirect: refuseRedirect,
	}
}

func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil || options.HTTP2 {
			// Requests share an HTTP/2 connection: its writes tell
			// nothing about one of them.
			return c, err
		}
		return &trackedConn{Conn: c}, nil
	}
	var protocols http.Protocols
	protocols.SetHTTP1(!options.HTTP2)
	protocols.SetUnencryptedHTTP2(options.HTTP2)
	return &http.Transport{
		DialContext:         dial,
		Protocols:           &protocols,
		TLSClientConfig:     clientTLS(options.TLS),
		DisableKeepAlives:   options.FreshConnections,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime,
			PingTimeout:     pingTimeout,
		},
	}
}

// maxCachedSessions is how many servers' TLS sessions a client keeps, to connect anew
// without checking the certificate's signatures again.
const maxCachedSessions = 256

// clientTLS returns a configuration that speaks no TLS before 1.3 and resumes
// sessions.
func clientTLS(config *tls.Config) *tls.Config {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	config.MinVersion = max(config.MinVersion, tls.VersionTLS13)
	config.ClientSessionCache = tls.NewLRUClientSessionCache(maxCachedSessions)
	return config
}

// refuseRedirect hands a redirect to the caller as the answer. Followed, a 307
// or 308 would send the request a second time, after the first server may have
// run it already.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// noRetryTransport is a round tripper that lets no transport send a request twice.
//
// What goes wrong without it: a reused connection is reset or the server
// refuses an HTTP/2 stream, and net/http sends the request again because
// GetBody gives it the body again, or because there is no body. The upstream
// then counts two requests where the caller sent one. Without GetBody and with
// a body that net/http cannot tell to be empty it reports the failure instead.
type noRetryTransport struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s *noRetryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	once := req.Clone(req.Context())
	once.GetBody = nil
	if once.Body == nil || once.Body == http.NoBody {
		once.Body = emptyBody{}
	}
	propagation.TraceContext{}.Inject(once.Context(), propagation.HeaderCarrier(once.Header))
	return s.next.RoundTrip(once)
}

// CloseIdleConnections serves http.Client.CloseIdleConnections.
func (s *noRetryTransport) CloseIdleConnections() {
	if closer, ok := s.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// emptyBody is a body that net/http cannot tell to be empty.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
