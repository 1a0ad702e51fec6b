package membudget

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// Track makes a server that serves a Budget's Listener, with TLS or without, record when connections are idle, and
// give its requests' contexts their connections.
func Track(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := unwrap(c); conn != nil && state == http.StateIdle {
			conn.setIdle()
		}
	}
}

// ConnOf returns the connection of the request with this context, or nil if it came on none of a Budget's.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the Conn that c is or that TLS wraps, or nil if there is none.
func unwrap(c net.Conn) *Conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}
