package settings

import (
	"crypto/tls"

	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
)

// PeerName is the name that every peer's certificate carries.
const PeerName = "goldcrestspool-peer"

// Files returns the files for TLS towards callers; none when it is off.
func (k KeyPair) Files() certificate.Files {
	return certificate.Files{Certificate: k.Cert, Key: k.Key}
}

// Files returns the files for mutual TLS between processes; none when it is
// off.
func (k PeerKeyPair) Files() certificate.Files {
	if !k.Set() {
		return certificate.Files{}
	}
	return certificate.Files{Certificate: k.Cert, Key: k.Key, Authority: k.CA, ServerName: PeerName}
}

// ClientConfig returns a client configuration that trusts the authority's
// certificates, or nil when no authority is set. The file is read once.
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
