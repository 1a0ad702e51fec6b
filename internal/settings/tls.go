package settings

import (
	"crypto/tls"

	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
)

// PeerName is the DNS name in the certificate of every peer. Peers are dialled by
// IP address, so this name is verified in place of the address.
const PeerName = "goldcrestspool-peer"

// Files returns the files for TLS towards callers, none if TLS is off.
func (k KeyPair) Files() certificate.Files {
	return certificate.Files{Certificate: k.Cert, Key: k.Key}
}

// Files returns the files for mutual TLS between processes, none if it is off.
func (k PeerKeyPair) Files() certificate.Files {
	if !k.IsSet() {
		return certificate.Files{}
	}
	return certificate.Files{Certificate: k.Cert, Key: k.Key, Authority: k.CA, ServerName: PeerName}
}

// ClientConfig returns a client configuration that trusts the authority's
// certificates, or nil if no authority is set. It reads the file once: a later
// change of the file has no effect.
func (a Authority) ClientConfig() (*tls.Config, error) {
	if a.CA == "" {
		return nil, nil
	}
	authority, err := certificate.ReadAuthority(a.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: authority, MinVersion: tls.VersionTLS13}, nil
}
