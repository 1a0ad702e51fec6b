// Package connectupstream speaks the upstreams' protocols over Connect:
// clients that implement the interfaces of package upstream, and handlers that
// serve any implementation of them.
package connectupstream

import (
	"crypto/tls"
	"net/http"

	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// Clients are the HTTP clients that all upstreams of a process share.
type Clients struct {
	// pooled serves what may be repeated.
	pooled *http.Client
	// fresh serves calls that may not be repeated, and token streams.
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

// Close closes the connections that are not in use.
func (c *Clients) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
