package transport

import (
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
)

// NewServer returns a server for HTTP/1.1 and HTTP/2, both with and without TLS.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
