package gateway

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// tlsEnv is a test environment behind a listener with TLS.
type tlsEnv struct {
	*testEnv
	authority *testkit.Authority
	pair      settings.KeyPair
	address   string
	serial    int64
}

func newTLSEnv(t *testing.T) *tlsEnv {
	t.Helper()
	dir := t.TempDir()
	env := &tlsEnv{
		testEnv:   newTestEnv(t, envOptions{}),
		authority: testkit.NewAuthority(t),
		pair:      settings.KeyPair{Cert: filepath.Join(dir, "callers.pem"), Key: filepath.Join(dir, "callers.key")},
	}
	env.serial = env.renewCertificate()
	shown, err := callersCertificate(env.pair)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newCallersServer(env.handler, envLimits(), ampleMemory())
	go func() { _ = serve(server, listener, shown) }()
	t.Cleanup(func() { _ = server.Close() })
	env.address = listener.Addr().String()
	return env
}

func (env *tlsEnv) renewCertificate() int64 {
	return env.authority.Issue(env.pair.Cert, env.pair.Key, "gateway")
}

// connect opens a connection and returns its state.
func (env *tlsEnv) connect(t *testing.T, config *tls.Config) (tls.ConnectionState, error) {
	t.Helper()
	config.RootCAs = env.authority.Pool()
	conn, err := tls.Dial("tcp", env.address, config)
	if err != nil {
		return tls.ConnectionState{}, err
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState(), nil
}

func TestCallersGetTLS(t *testing.T) {
	env := newTLSEnv(t)
	t.Run("callers choose HTTP/2 or HTTP/1.1 by ALPN", func(t *testing.T) {
		for _, protocol := range []string{"h2", "http/1.1"} {
			var protocols http.Protocols
			protocols.SetHTTP1(protocol == "http/1.1")
			protocols.SetHTTP2(protocol == "h2")
			secure := &http.Transport{Protocols: &protocols, TLSClientConfig: &tls.Config{RootCAs: env.authority.Pool()}}
			t.Cleanup(secure.CloseIdleConnections)
			client := callerv1connect.NewCallerServiceClient(&http.Client{Transport: bearer{token: registrarToken, next: secure}}, "https://"+env.address)
			if got := env.mustCall(t, client, lookupRequest("x")); got.kind != completed {
				t.Errorf("%s: got outcome %+v, want completed", protocol, got)
			}
			if got, err := generate(context.Background(), client, generateRequest(streamID, "p", 3)); err != nil || len(got.tokens) != 3 {
				t.Errorf("%s: got stream %+v, error %v", protocol, got, err)
			}
			state, err := env.connect(t, &tls.Config{NextProtos: []string{protocol}})
			if err != nil || state.NegotiatedProtocol != protocol {
				t.Errorf("%s: negotiated %q, error %v", protocol, state.NegotiatedProtocol, err)
			}
		}
	})
	t.Run("fresh connections resume the session", func(t *testing.T) {
		client := transport.NewClient(transport.Options{FreshConnections: true, TLS: &tls.Config{RootCAs: env.authority.Pool()}})
		connect := func() (resumed bool) {
			trace := &httptrace.ClientTrace{TLSHandshakeDone: func(state tls.ConnectionState, _ error) { resumed = state.DidResume }}
			req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodGet, "https://"+env.address, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return resumed
		}
		if first, second := connect(), connect(); first || !second {
			t.Errorf("resumed %v, then %v; want only the second resumed", first, second)
		}
	})
	t.Run("nothing before TLS 1.3 is spoken", func(t *testing.T) {
		if _, err := env.connect(t, &tls.Config{MaxVersion: tls.VersionTLS12}); err == nil {
			t.Error("TLS 1.2 was accepted")
		}
	})
}

// A renewed certificate must be served without a restart, and connections must not fail
// while its two files are replaced one after the other. Files that are read only at the
// start, or while only one is replaced, would cause these failures.
func TestRenewedCertificateIsServedWithoutARestart(t *testing.T) {
	env := newTLSEnv(t)
	served := func() int64 {
		state, err := env.connect(t, &tls.Config{})
		if err != nil {
			t.Fatal(err)
		}
		return state.PeerCertificates[0].SerialNumber.Int64()
	}
	if got := served(); got != env.serial {
		t.Fatalf("got serial %d, want %d", got, env.serial)
	}
	old, err := os.ReadFile(env.pair.Key)
	if err != nil {
		t.Fatal(err)
	}
	renewed := env.renewCertificate()
	key, err := os.ReadFile(env.pair.Key)
	if err != nil {
		t.Fatal(err)
	}
	env.writeKey(t, old)
	if got := served(); got != env.serial {
		t.Errorf("got serial %d before the new key is written, want %d", got, env.serial)
	}
	env.writeKey(t, key)
	if got := served(); got != renewed {
		t.Errorf("got serial %d, want the renewed %d", got, renewed)
	}
}

// writeKey replaces the key file.
func (env *tlsEnv) writeKey(t *testing.T, key []byte) {
	t.Helper()
	if err := os.WriteFile(env.pair.Key, append(key, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestBadFilesAreNamedAtTheStart(t *testing.T) {
	dir := t.TempDir()
	authority := testkit.NewAuthority(t)
	file := func(name string) string { return filepath.Join(dir, name) }
	authority.Issue(file("good.pem"), file("good.key"), "gateway")
	authority.Issue(file("other.pem"), file("other.key"), "gateway")
	if err := os.WriteFile(file("garbage.pem"), []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		tls  settings.TLS
		want string
	}{
		"no certificate for callers":          {settings.TLS{Callers: settings.KeyPair{Cert: file("none.pem"), Key: file("good.key")}}, "none.pem"},
		"garbage for callers":                 {settings.TLS{Callers: settings.KeyPair{Cert: file("garbage.pem"), Key: file("good.key")}}, "garbage.pem"},
		"a key of another certificate":        {settings.TLS{Callers: settings.KeyPair{Cert: file("good.pem"), Key: file("other.key")}}, "other.key"},
		"no key for peers":                    {settings.TLS{Peers: settings.PeerKeyPair{Cert: file("good.pem"), Key: file("none.key"), CA: authority.File}}, "none.key"},
		"garbage as the peers' authority":     {settings.TLS{Peers: settings.PeerKeyPair{Cert: file("good.pem"), Key: file("good.key"), CA: file("garbage.pem")}}, "garbage.pem"},
		"garbage as the upstreams' authority": {settings.TLS{Upstream: settings.Authority{CA: file("garbage.pem")}}, "garbage.pem"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &settings.Gateway{Listen: settings.GatewayListen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}}
			g.TLS = c.tls
			p := &Process{settings: g}
			if err := p.wireTLS(); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that names %s", err, c.want)
			}
		})
	}
}
