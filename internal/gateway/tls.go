package gateway

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

// peerName is the name that every peer's certificate carries.
const peerName = "goldcrestspool-peer"

// peerTLS returns the files for mutual TLS between gateways.
func peerTLS(pair settings.PeerKeyPair) peer.TLSFiles {
	if !pair.Set() {
		return peer.TLSFiles{}
	}
	return peer.TLSFiles{Certificate: pair.Cert, Key: pair.Key, Authority: pair.CA, ServerName: peerName}
}

// trusting returns a client configuration that trusts an authority's
// certificates, or nil when no authority is set.
func trusting(authority settings.Authority) (*tls.Config, error) {
	if authority.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(authority.CA)
	if err != nil {
		return nil, errcode.Wrap(errcode.FailedPrecondition, err, "upstream authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errcode.Errorf(errcode.FailedPrecondition, "upstream authority %s holds no certificate", authority.CA)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
