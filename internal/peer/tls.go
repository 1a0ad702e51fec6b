package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// TLSFiles names the files for mutual TLS between peers. They are read again
// when they change, so that certificates are renewed without a restart.
type TLSFiles struct {
	// Certificate and Key are this process's, in PEM.
	Certificate, Key string
	// Authority holds the certificates of the peers' authority, in PEM.
	Authority string
	// ServerName is the name that every peer's certificate carries. Peers are
	// dialled by IP numbers that are reused, so the name says "a peer", and
	// the authority vouches for it.
	ServerName string
}

// Set reports whether mutual TLS is wanted.
func (f TLSFiles) Set() bool { return f != TLSFiles{} }

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// read loads all files.
func (f TLSFiles) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errcode.Wrap(errcode.FailedPrecondition, err, "peer certificate "+f.Certificate)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errcode.Wrap(errcode.FailedPrecondition, err, "peer authority "+f.Authority)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, errcode.Errorf(errcode.FailedPrecondition, "peer authority %s holds no certificate", f.Authority)
	}
	return &material{certificate: certificate, authority: authority}, nil
}

// reloader reads the files again when one has changed.
type reloader struct {
	files TLSFiles

	mu      sync.Mutex
	current *material
	changed [3]time.Time
}

func newReloader(files TLSFiles) (*reloader, error) {
	r := &reloader{files: files, changed: files.modified()}
	m, err := files.read()
	if err != nil {
		return nil, err
	}
	r.current = m
	return r, nil
}

func (f TLSFiles) modified() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// get returns the material of the files. Files that are being replaced may not
// fit together for a moment; the earlier material stays until they do.
func (r *reloader) get() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.files.modified()
	if changed == r.changed {
		return r.current
	}
	if m, err := r.files.read(); err == nil {
		r.current = m
		r.changed = changed
	}
	return r.current
}

// serverConfig demands a peer's certificate of every client.
func (f TLSFiles) serverConfig() (*tls.Config, error) {
	r, err := newReloader(f)
	if err != nil {
		return nil, err
	}
	fixed := func() *tls.Config {
		m := r.get()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{m.certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    m.authority,
			NextProtos:   []string{"h2"},
		}
	}
	config := fixed()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return fixed(), nil }
	return config, nil
}

// clientConfig returns the settings for one new connection.
func (r *reloader) clientConfig() *tls.Config {
	m := r.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
		ServerName:   r.files.ServerName,
	}
}

// clientCredentials make each new connection with the files as they are then.
type clientCredentials struct {
	credentials.TransportCredentials
	reload *reloader
}

func newClientCredentials(r *reloader) credentials.TransportCredentials {
	return &clientCredentials{TransportCredentials: credentials.NewTLS(r.clientConfig()), reload: r}
}

// ClientHandshake is called for each connection.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.reload.clientConfig()).ClientHandshake(ctx, authority, conn)
}

// Clone is called by gRPC for each client.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return newClientCredentials(c.reload)
}
