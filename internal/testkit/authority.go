package testkit

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Authority is a certificate authority for a test.
type Authority struct {
	// File is the path of the authority's certificate, in PEM.
	File string

	t    testing.TB
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	// issued is how many certificates were issued.
	issued        int64
	lastWriteTime time.Time
}

// NewAuthority returns an authority with a new key. Its files are deleted when the test
// ends.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, key: newKey(t), lastWriteTime: time.Now()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.File = filepath.Join(t.TempDir(), "authority.pem")
	a.write(a.File, "CERTIFICATE", der)
	return a
}

// Pool returns a pool that holds only the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Issue writes a new certificate for a DNS name and for 127.0.0.1, and its private key,
// and returns the certificate's serial number. Existing files are replaced, and always
// get another modification time than before.
func (a *Authority) Issue(certFile, keyFile, name string) int64 {
	a.t.Helper()
	key := newKey(a.t)
	a.issued++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1 + a.issued), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(certFile, "CERTIFICATE", der)
	a.write(keyFile, "EC PRIVATE KEY", encoded)
	return template.SerialNumber.Int64()
}

// write writes a PEM file whose modification time is a second after that of the file
// before.
func (a *Authority) write(file, kind string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	a.lastWriteTime = a.lastWriteTime.Add(time.Second)
	if err := os.Chtimes(file, a.lastWriteTime, a.lastWriteTime); err != nil {
		a.t.Fatal(err)
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}
