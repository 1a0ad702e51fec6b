// Package connectupstream implements the upstreams' protocols over Connect: clients
// that implement the interfaces of package upstream, and handlers that serve any
// implementation of these interfaces.
package connectupstream

import (
	"crypto/tls"
	"net/http"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// Clients are the HTTP clients that all upstreams of a process share.
//
// A kept connection can go silent for good while new connections work. On such a
// connection a call that must not be repeated would end as unknown, a stream would wait
// for its first frame, and a probe would fail although the upstream is healthy. All
// these requests therefore dial a connection each. If the network path is down, the
// dial fails and it is certain that nothing was sent. docs/design/transport.md has the
// cost.
type Clients struct {
	// pooled keeps connections. It serves calls that may be repeated.
	pooled *http.Client
	// fresh serves everything else.
	fresh *http.Client
}

// NewClients returns the clients of a process. The configuration is used for
// https addresses and may be nil. answers bounds what upstreams' answers make the process hold; nil for no bound.
func NewClients(config *tls.Config, answers *answerbudget.Budget) *Clients {
	return &Clients{
		pooled: transport.NewClient(transport.Options{TLS: config, Answers: answers}),
		fresh:  transport.NewClient(transport.Options{TLS: config, FreshConnections: true, Answers: answers}),
	}
}

// noCompression makes upstreams answer without compression. Connect compresses each
// frame separately, and setting up the compressor for a token costs several times as
// much as all other work on the token, at both ends.
var noCompression = connect.WithAcceptCompression("gzip", nil, nil)

// Close closes the connections that are not in use.
func (c *Clients) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
