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

// keyMaterial is what the files hold.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// read loads all files. Errors name the file.
func (f Files) read() (*keyMaterial, error) {
	own, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errcode.Wrap(errcode.FailedPrecondition, err, "certificate "+f.Certificate+" with key "+f.Key)
	}
	m := &keyMaterial{certificate: own}
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

// fileState tells one state of a file from the next.
type fileState struct {
	modified time.Time
	size     int64
}

// fileStates are those of certificate, key and authority.
type fileStates [3]fileState

func (f Files) states() fileStates {
	var found fileStates
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			found[i] = stateOf(info)
		}
	}
	return found
}

func stateOf(info fs.FileInfo) fileState {
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// Reloader reads files again when one has changed. It is safe for concurrent
// use.
type Reloader struct {
	files Files

	mu            sync.Mutex
	current       *keyMaterial
	currentStates fileStates
	// lastTriedStates is the state of the files that was read last, also in vain.
	lastTriedStates fileStates
}

// NewReloader reads the files. Errors name the file that is missing or bad.
func NewReloader(files Files) (*Reloader, error) {
	now := files.states()
	m, err := files.read()
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, current: m, currentStates: now, lastTriedStates: now}, nil
}

// currentMaterial returns what the files hold. Files that are being replaced may not fit
// together for a moment; what was read before stays until they do.
func (r *Reloader) currentMaterial() *keyMaterial {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.files.states()
	if now == r.currentStates || now == r.lastTriedStates {
		return r.current
	}
	r.lastTriedStates = now
	m, err := r.files.read()
	if err != nil {
		reloadsFailed.Add(1)
		return r.current
	}
	r.current = m
	r.currentStates = now
	return r.current
}

// Server returns the configuration of a listener. With an authority, only
// clients with a certificate of it are served. Protocols are left to the
// caller: they are taken over into each connection's configuration.
func (r *Reloader) Server(protocols ...string) *tls.Config {
	config := r.serverConfig(protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.serverConfig(protocols), nil }
	return config
}

func (r *Reloader) serverConfig(protocols []string) *tls.Config {
	m := r.currentMaterial()
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
	m := r.currentMaterial()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
		ServerName:   r.files.ServerName,
	}
}
