package gateway

import (
	"net/http"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// dialer keeps one client for each upstream address. Clients share the
// connections of the HTTP client.
type dialer struct {
	scheme  string
	client  *http.Client
	engines sync.Map // address to upstream.Engine
	plains  sync.Map // address to upstream.Plain
}

// Engine returns the client of a model engine.
func (d *dialer) Engine(address string) upstream.Engine {
	if known, ok := d.engines.Load(address); ok {
		return known.(upstream.Engine)
	}
	added, _ := d.engines.LoadOrStore(address, connectupstream.NewEngine(d.scheme+address, d.client))
	return added.(upstream.Engine)
}

// Plain returns the client of a plain service.
func (d *dialer) Plain(address string) upstream.Plain {
	if known, ok := d.plains.Load(address); ok {
		return known.(upstream.Plain)
	}
	added, _ := d.plains.LoadOrStore(address, connectupstream.NewPlain(d.scheme+address, d.client))
	return added.(upstream.Plain)
}
