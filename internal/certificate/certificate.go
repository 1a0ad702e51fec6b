// Package certificate keeps a process's TLS certificates as their files are
// now: files that change are read again, so that certificates are renewed
// without a restart. The least version is TLS 1.3.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"io/fs"
	"os"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// reloadsFailed counts reads of changed files that failed; the certificate
// before stays in use.
var reloadsFailed = expvar.NewInt("goldcrestspool.certificate.reloads_failed")

// Files names PEM files.
type Files struct {
	// Certificate and Key are this process's own.
	Certificate, Key string
	// Authority holds the certificates that the other side's must descend
	// from. Empty: a server asks its clients for none.
	Authority string
	// ServerName is the name that every peer's certificate carries. Peers are
	// dialled by IP numbers that are reused, so the name says "a peer", and
	// the authority vouches for it.
	ServerName string
}

// Set reports whether TLS is wanted.
func (f Files) Set() bool { return f != Files{} }

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// read loads all files. Errors name the file.
func (f Files) read() (*material, error) {
	own, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errcode.Wrap(errcode.FailedPrecondition, err, "certificate "+f.Certificate+" with key "+f.Key)
	}
	m := &material{certificate: own}
	if f.Authority == "" {
		return m, nil
	}
	m.authority, err = ReadAuthority(f.Authority)
	return m, err
}

// ReadAuthority reads the certificates of an authority. Errors name the file.
func ReadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errcode.Wrap(errcode.FailedPrecondition, err, "authority "+file)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, errcode.Errorf(errcode.FailedPrecondition, "authority %s holds no certificate", file)
	}
	return authority, nil
}

// version tells one state of a file from the next.
type version struct {
	modified time.Time
	size     int64
}

// versions are those of certificate, key and authority.
type versions [3]version

func (f Files) versions() versions {
	var found versions
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			found[i] = versionOf(info)
		}
	}
	return found
}

func versionOf(info fs.FileInfo) version {
	return version{modified: info.ModTime(), size: info.Size()}
}

// Reloader reads files again when one has changed. It is safe for concurrent
// use.
type Reloader struct {
	files Files

	mu      sync.Mutex
	current *material
	read    versions
	// tried is the state of the files that was read last, also in vain.
	tried versions
}

// NewReloader reads the files. Errors name the file that is missing or bad.
func NewReloader(files Files) (*Reloader, error) {
	now := files.versions()
	m, err := files.read()
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, current: m, read: now, tried: now}, nil
}

// get returns what the files hold. Files that are being replaced may not fit
// together for a moment; what was read before stays until they do.
func (r *Reloader) get() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.files.versions()
	if now == r.read || now == r.tried {
		return r.current
	}
	r.tried = now
	m, err := r.files.read()
	if err != nil {
		reloadsFailed.Add(1)
		return r.current
	}
	r.current = m
	r.read = now
	return r.current
}

// Server returns the configuration of a listener. With an authority, only
// clients with a certificate of it are served. Protocols are left to the
// caller: they are taken over into each connection's configuration.
func (r *Reloader) Server(protocols ...string) *tls.Config {
	config := r.server(protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.server(protocols), nil }
	return config
}

func (r *Reloader) server(protocols []string) *tls.Config {
	m := r.get()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		NextProtos:   protocols,
	}
	if m.authority != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authority
		// A resumed session would not be checked against an authority
		// that has changed since. Peers keep their connections, so that
		// resuming would save little.
		config.SessionTicketsDisabled = true
	}
	return config
}

// Client returns the configuration of one new connection to a server of the
// same authority.
func (r *Reloader) Client() *tls.Config {
	m := r.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
		ServerName:   r.files.ServerName,
	}
}
