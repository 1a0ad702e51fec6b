package gateway

import (
	"crypto/tls"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// dialer keeps one client for each upstream address. The clients share their
// connections.
type dialer struct {
	scheme  string
	clients *connectupstream.Clients
	engines sync.Map // address to upstream.Engine
	plains  sync.Map // address to upstream.Plain
}

// newDialer returns a dialer that speaks TLS when config is not nil.
func newDialer(config *tls.Config) *dialer {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return &dialer{scheme: scheme, clients: connectupstream.NewClients(config)}
}

// Engine returns the client of a model engine.
func (d *dialer) Engine(address string) upstream.Engine {
	if known, ok := d.engines.Load(address); ok {
		return known.(upstream.Engine)
	}
	added, _ := d.engines.LoadOrStore(address, connectupstream.NewEngine(d.clients, d.scheme+address))
	return added.(upstream.Engine)
}

// Plain returns the client of a plain service.
func (d *dialer) Plain(address string) upstream.Plain {
	if known, ok := d.plains.Load(address); ok {
		return known.(upstream.Plain)
	}
	added, _ := d.plains.LoadOrStore(address, connectupstream.NewPlain(d.clients, d.scheme+address))
	return added.(upstream.Plain)
}

// close closes the connections that are not in use.
func (d *dialer) close() { d.clients.Close() }
