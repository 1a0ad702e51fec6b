package peer

import (
	"context"
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
	"sync/atomic"
	"testing"
	"time"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

const serverName = "goldcrestspool-peer"

// echoHandler answers heartbeats and counts them.
type echoHandler struct{ served atomic.Int64 }

func (e *echoHandler) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	e.served.Add(1)
	if req.GetFrom() == "" {
		return nil, errcode.New(errcode.InvalidArgument, "no sender")
	}
	return &peerv1.ExchangeResponse{From: "echo", Revision: req.GetRevision()}, nil
}

// serve runs a server until the test ends, and returns its handler.
func serve(t *testing.T, listener net.Listener, files TLSFiles) *echoHandler {
	t.Helper()
	e := &echoHandler{}
	server, err := NewServer(Handlers{Heartbeats: e}, files)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener, time.Millisecond)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newPool(t *testing.T, files TLSFiles) *Pool {
	t.Helper()
	p, err := NewPool(files)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// authority is a certificate authority whose files are in dir.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// write writes a PEM file and returns its path.
func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes the TLS files of a peer.
func (a *authority) issue(name string) TLSFiles {
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{serverName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
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
	return TLSFiles{
		Certificate: a.write(name+".pem", "CERTIFICATE", der),
		Key:         a.write(name+".key", "EC PRIVATE KEY", encoded),
		Authority:   filepath.Join(a.dir, "authority.pem"),
		ServerName:  serverName,
	}
}

// Guards against a process that is no peer and reads or changes membership, outcomes or
// calls, because the server does not require a certificate of the peers' authority:
// mutual TLS is set, and a client connects without a certificate or with one of another
// authority.
func TestOnlyPeersAreServed(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := ours.issue("server")
	member := ours.issue("member")
	stranger := theirs.issue("stranger")
	// The stranger trusts our server, so that only the server can refuse the
	// connection.
	stranger.Authority = member.Authority
	cases := []struct {
		name   string
		files  TLSFiles
		served bool
	}{
		{"a peer's certificate is served", member, true},
		{"plaintext is refused", TLSFiles{}, false},
		{"a certificate of another authority is refused", stranger, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			e := serve(t, l, server)
			_, err := newPool(t, c.files).Exchange(t.Context(), l.Addr().String(), &peerv1.ExchangeRequest{From: "x"})
			if (err == nil) != c.served || (e.served.Load() == 1) != c.served {
				t.Errorf("error %v, served %d", err, e.served.Load())
			}
		})
	}
}

// Guards against calls between peers that fail once a certificate has expired, because
// the files are read only at the start. Here the files of both sides are replaced while
// the processes run.
func TestRenewedCertificatesAreUsed(t *testing.T) {
	old := newAuthority(t)
	files := old.issue("peer")
	l := listen(t)
	e := serve(t, l, files)
	pool := newPool(t, files)
	other := newAuthority(t)
	renewed := other.issue("peer")
	for from, to := range map[string]string{
		renewed.Certificate: files.Certificate, renewed.Key: files.Key, renewed.Authority: files.Authority,
	} {
		data, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			t.Fatal(err)
		}
		// The file system's modification times may be coarse.
		if err := os.Chtimes(to, time.Time{}, time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	// The new authority did not sign the old certificates, so the calls succeed
	// only if both sides have read the files again.
	for name, p := range map[string]*Pool{"old pool": pool, "new pool": newPool(t, renewed)} {
		if _, err := p.Exchange(t.Context(), l.Addr().String(), &peerv1.ExchangeRequest{From: "x"}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if e.served.Load() != 2 {
		t.Errorf("served %d", e.served.Load())
	}
}

// stallingListener accepts its first connection but never passes it to the server,
// so that nobody reads from it.
type stallingListener struct {
	net.Listener
	accepted atomic.Int64
	stalled  atomic.Value
}

func (s *stallingListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err == nil && s.accepted.Add(1) == 1 {
		s.stalled.Store(conn)
		return s.Listener.Accept()
	}
	return conn, err
}

// Guards against a peer that stays unreachable although it and the network work, because
// a connection is not replaced: a device between the two peers loses the connection's
// state, and all calls on it run into their deadlines, while a new one would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	l := &stallingListener{Listener: listen(t)}
	e := serve(t, l, TLSFiles{})
	pool := newPool(t, TLSFiles{})
	address := l.Addr().String()
	for range maxConsecutiveTimeouts {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := pool.Exchange(ctx, address, &peerv1.ExchangeRequest{From: "x"})
		cancel()
		if errcode.Of(err) != errcode.DeadlineExceeded {
			t.Fatalf("error %v on the silent connection", err)
		}
	}
	if _, err := pool.Exchange(t.Context(), address, &peerv1.ExchangeRequest{From: "x"}); err != nil {
		t.Fatalf("on a new connection: %v", err)
	}
	if e.served.Load() != 1 {
		t.Errorf("served %d times, want once", e.served.Load())
	}
	if conn, ok := l.stalled.Load().(net.Conn); ok {
		_ = conn.Close()
	}
}

// The code of a handler's error reaches the calling process. A method without a
// handler gives an error, and an address without a process gives Unavailable.
func TestErrorsKeepTheirCode(t *testing.T) {
	l := listen(t)
	serve(t, l, TLSFiles{})
	pool := newPool(t, TLSFiles{})
	address := l.Addr().String()
	if _, err := pool.Exchange(t.Context(), address, &peerv1.ExchangeRequest{}); errcode.Of(err) != errcode.InvalidArgument {
		t.Errorf("invalid request: %v", err)
	}
	if _, err := pool.GetDocuments(t.Context(), address, &peerv1.GetDocumentsRequest{}); err == nil {
		t.Errorf("a method without handler was served")
	}
	closed := listen(t)
	_ = closed.Close()
	if _, err := pool.Exchange(t.Context(), closed.Addr().String(), &peerv1.ExchangeRequest{}); errcode.Of(err) != errcode.Unavailable {
		t.Errorf("no peer: %v", err)
	}
}
