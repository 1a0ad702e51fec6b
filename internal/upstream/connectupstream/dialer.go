package connectupstream

import (
	"crypto/tls"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Dialer keeps one client for each upstream address. The clients share their
// connections. It is safe for concurrent use.
type Dialer struct {
	scheme  string
	clients *Clients
	engines sync.Map // address to upstream.Engine
	plains  sync.Map // address to upstream.Plain
}

// NewDialer returns a dialer that uses TLS if config is not nil. answers is as for NewClients.
func NewDialer(config *tls.Config, answers *answerbudget.Budget) *Dialer {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return &Dialer{scheme: scheme, clients: NewClients(config, answers)}
}

// Engine returns the client of a model engine.
func (d *Dialer) Engine(address string) upstream.Engine {
	if known, ok := d.engines.Load(address); ok {
		return known.(upstream.Engine)
	}
	added, _ := d.engines.LoadOrStore(address, NewEngine(d.clients, d.scheme+address))
	return added.(upstream.Engine)
}

// Plain returns the client of a plain service.
func (d *Dialer) Plain(address string) upstream.Plain {
	if known, ok := d.plains.Load(address); ok {
		return known.(upstream.Plain)
	}
	added, _ := d.plains.LoadOrStore(address, NewPlain(d.clients, d.scheme+address))
	return added.(upstream.Plain)
}

// Close closes the connections that are not in use.
func (d *Dialer) Close() { d.clients.Close() }
