// Package certificate loads a process's TLS certificates from files and loads them
// again when the files change, so that certificates can be renewed without a restart.
// The minimum version is TLS 1.3.
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

// reloadsFailed counts failed reads of changed files. After such a failure the
// certificates that were read before stay in use.
var reloadsFailed = expvar.NewInt("goldcrestspool.certificate.reloads_failed")

// Files names the PEM files of one side of TLS connections.
type Files struct {
	// Certificate and Key are the files of this process's certificate and private key.
	Certificate, Key string
	// Authority is the file of the authority's certificates, by which the other
	// side's certificate is verified. If it is empty, a server requires no
	// certificate of its clients.
	Authority string
	// ServerName is the DNS name that a client expects in the server's certificate.
	// Peers are dialled by IP addresses, which are reused, so the certificates of
	// all peers have the same name, and the authority attests that it is a peer.
	ServerName string
}

// IsSet reports whether any file is named, and so TLS is on.
func (f Files) IsSet() bool { return f != Files{} }

// keyMaterial is the content of the files.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// read reads all files. Errors name the file.
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

// fileState identifies a version of a file. A file that cannot be examined has the zero
// value.
type fileState struct {
	modified time.Time
	size     int64
}

// fileStates holds the states of the files of certificate, key and authority.
type fileStates [3]fileState

func (f Files) states() fileStates {
	var states fileStates
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			states[i] = stateOf(info)
		}
	}
	return states
}

func stateOf(info fs.FileInfo) fileState {
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// Reloader holds the content of files, and reads them again when one has changed. It is
// safe for concurrent use.
type Reloader struct {
	files Files

	mu      sync.Mutex
	current *keyMaterial
	// currentStates are the states of the files that current was read from.
	currentStates fileStates
	// lastTriedStates are the states of the files at the last attempt to read them,
	// whether it failed or not: files that are invalid are not read again until they
	// change.
	lastTriedStates fileStates
}

// NewReloader returns a Reloader that has read the files. Errors name the file that is
// missing or invalid.
func NewReloader(files Files) (*Reloader, error) {
	now := files.states()
	m, err := files.read()
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, current: m, currentStates: now, lastTriedStates: now}, nil
}

// currentMaterial returns the content of the files, and reads them again if one has
// changed. While files are being replaced, they may not match for a moment; until they
// do, it returns what was read before.
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

// ServerConfig returns the configuration of a listener, which uses the current files for each
// new connection. If there is an authority, clients need a certificate of it. protocols
// are those offered by ALPN; they are also set in the configuration of each connection.
func (r *Reloader) ServerConfig(protocols ...string) *tls.Config {
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
		// The client of a resumed session would not be verified by an authority
		// that has changed since. Peers keep their connections open, so that
		// resuming sessions would save little.
		config.SessionTicketsDisabled = true
	}
	return config
}

// ClientConfig returns the configuration for one new connection to a server with a
// certificate of the same authority. It is made from the current files.
func (r *Reloader) ClientConfig() *tls.Config {
	m := r.currentMaterial()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
		ServerName:   r.files.ServerName,
	}
}
