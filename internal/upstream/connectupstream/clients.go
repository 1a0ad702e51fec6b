// Package connectupstream speaks the upstreams' protocols over Connect:
// clients that implement the interfaces of package upstream, and handlers that
// serve any implementation of them.
package connectupstream

import (
	"crypto/tls"
	"net/http"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// Clients are the HTTP clients that all upstreams of a process share.
//
// What goes wrong with kept connections: they can go silent for good while new
// ones work. A call that may not be repeated then ends as unknown, a stream
// waits for its first frame, a probe condemns an upstream that is well. All
// these dial a connection each, and a dead path shows as a failed dial, which
// is certain. docs/design/transport.md has the cost.
type Clients struct {
	// pooled keeps connections. It serves calls that may be repeated.
	pooled *http.Client
	// fresh serves everything else.
	fresh *http.Client
}

// NewClients returns the clients of a process. The configuration is used for
// https addresses and may be nil.
func NewClients(config *tls.Config) *Clients {
	return &Clients{
		pooled: transport.NewClient(transport.Options{TLS: config}),
		fresh:  transport.NewClient(transport.Options{TLS: config, FreshConnections: true}),
	}
}

// noCompression has upstreams answer without compression. Connect compresses each
// frame by itself, and preparing the compressor for a token costs several times
// what the rest of the token does, at both ends.
var noCompression = connect.WithAcceptCompression("gzip", nil, nil)

// Close closes the connections that are not in use.
func (c *Clients) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
