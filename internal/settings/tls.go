package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// PeerName is the name that every peer's certificate carries.
const PeerName = "goldcrestspool-peer"

// ClientConfig returns a client configuration that trusts the authority's
// certificates, or nil when no authority is set.
func (a Authority) ClientConfig() (*tls.Config, error) {
	if a.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, errcode.Wrap(errcode.FailedPrecondition, err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errcode.Errorf(errcode.FailedPrecondition, "authority %s holds no certificate", a.CA)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
