package connectupstream_test

import (
	"crypto/tls"
	"net"
	"net/http"
	"path/filepath"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// BenchmarkInvoke compares a kept connection with one that is dialled for each call,
// over loopback, in plaintext and with TLS.
func BenchmarkInvoke(b *testing.B) {
	for _, c := range []struct {
		name, key string
		secure    bool
	}{{"kept", "", false}, {"fresh", callKey, false}, {"kept TLS", "", true}, {"fresh TLS", callKey, true}} {
		b.Run(c.name, func(b *testing.B) {
			mux := http.NewServeMux()
			connectupstream.MountPlain(mux, plain.New(plain.Options{}))
			var trusted *tls.Config
			serve := testkit.Serve
			if c.secure {
				authority := testkit.NewAuthority(b)
				trusted = &tls.Config{RootCAs: authority.Pool()}
				serve = func(b testing.TB, handler http.Handler) string { return serveTLS(b, authority, handler) }
			}
			clients := connectupstream.NewClients(trusted, nil)
			b.Cleanup(clients.Close)
			subject := connectupstream.NewPlain(clients, serve(b, mux))
			req := bidRequest
			req.Key = c.key
			b.ReportAllocs()
			for b.Loop() {
				if _, err := subject.Invoke(b.Context(), req); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// serveTLS serves a handler with a certificate of the authority and returns the base
// URL.
func serveTLS(b testing.TB, authority *testkit.Authority, handler http.Handler) string {
	b.Helper()
	dir := b.TempDir()
	files := certificate.Files{Certificate: filepath.Join(dir, "upstream.pem"), Key: filepath.Join(dir, "upstream.key")}
	authority.Issue(files.Certificate, files.Key, "upstream")
	shown, err := certificate.NewReloader(files)
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := transport.NewServer(handler)
	server.TLSConfig = shown.ServerConfig("http/1.1")
	go func() { _ = server.ServeTLS(listener, "", "") }()
	b.Cleanup(func() { _ = server.Close() })
	return "https://" + listener.Addr().String()
}
