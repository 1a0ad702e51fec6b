// Package settings reads the settings of one process: a TOML file with
// documented defaults. Unknown keys are refused, durations carry units, and
// all findings are reported together.
//
// Settings describe a process. What operators change while the system runs is
// in documents; see package document.
package settings

import (
	"os"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/tomlfile"
)

// Common are the sections of every process.
type Common struct {
	Instance   Instance   `toml:"instance"`
	Platform   Platform   `toml:"platform"`
	Log        Log        `toml:"log"`
	Trace      Trace      `toml:"trace"`
	Limits     Limits     `toml:"limits"`
	Membership Membership `toml:"membership"`
	Journal    Journal    `toml:"journal"`
	TLS        TLS        `toml:"tls"`
}

// Gateway are the settings of a gateway.
type Gateway struct {
	Common
	Listen         GatewayListen   `toml:"listen"`
	ClientAccounts []ClientAccount `toml:"client_accounts"`
}

// Controller are the settings of a controller.
type Controller struct {
	Common
	Listen  ControllerListen `toml:"listen"`
	Control Control          `toml:"control"`
}

// Instance tells a process who and where it is. All but incarnation are
// required.
type Instance struct {
	ID            ident.Instance      `toml:"id"`
	Region        ident.Region        `toml:"region"`
	FailureDomain ident.FailureDomain `toml:"failure_domain"`
	// Incarnation 0 means: take the time at which the process starts.
	Incarnation ident.Incarnation `toml:"incarnation"`
}

// GatewayListen are a gateway's addresses, host:port. Port 0 lets the kernel
// choose. Default: 127.0.0.1:0 each.
type GatewayListen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
	// AcceptPlaintext accepts listeners outside loopback without TLS.
	AcceptPlaintext bool `toml:"accept_plaintext"`
	// PProf serves profiles on the operators' address.
	PProf bool `toml:"pprof"`
}

// ControllerListen is a controller's address.
type ControllerListen struct {
	Operators       string `toml:"operators"`
	AcceptPlaintext bool   `toml:"accept_plaintext"`
	PProf           bool   `toml:"pprof"`
}

// Platform is where the platform's log, instance list, cloud and weight store
// answer.
type Platform struct {
	// Address is a URL, http or https. Required.
	Address string `toml:"address"`
	// Timeout of one request. Default 2s.
	Timeout time.Duration `toml:"timeout"`
}

// LogFormat is the form of log lines.
type LogFormat string

// The log formats.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// Log is what the process logs.
type Log struct {
	// Level is trace, debug, info, warn or error. Default info.
	Level string `toml:"level"`
	// Format is json (default) or text.
	Format LogFormat `toml:"format"`
}

// TraceExporter says where spans go.
type TraceExporter string

// The exporters.
const (
	TraceNone   TraceExporter = "none"
	TraceStdout TraceExporter = "stdout"
	TraceOTLP   TraceExporter = "otlp"
)

// Trace is where spans go.
type Trace struct {
	// Exporter is none (default), stdout or otlp (over HTTP).
	Exporter TraceExporter `toml:"exporter"`
	// Endpoint is the URL for exporter otlp.
	Endpoint string `toml:"endpoint"`
}

// Limits bound what one connection or request may cost.
type Limits struct {
	// MaxBody of a request. Default 1MiB.
	MaxBody Size `toml:"max_body"`
	// MaxHeader of a request. Default 64KiB.
	MaxHeader Size `toml:"max_header"`
	// HeaderTimeout for reading the headers. Default 5s.
	HeaderTimeout time.Duration `toml:"header_timeout"`
	// MaxStreams at once on one connection. Default 1000.
	MaxStreams int `toml:"max_streams"`
	// StopTimeout bounds a graceful stop. Default 20s.
	StopTimeout time.Duration `toml:"stop_timeout"`
	// Heartbeat is the interval between signs of life in an otherwise
	// silent stream. Default 500ms.
	Heartbeat time.Duration `toml:"heartbeat"`
	// Silence after which a connection is given up. At least three
	// heartbeats, so that one lost sign of life condemns none. Default 2s.
	Silence time.Duration `toml:"silence"`
}

// Membership is how gateways tell each other who lives.
type Membership struct {
	// Heartbeat is the interval. Default 500ms.
	Heartbeat time.Duration `toml:"heartbeat"`
	// PeersPerDomain is up to how many peers of the own failure domain all
	// get each heartbeat; of more, some do, in turn. 0 is all. Default 8.
	PeersPerDomain int `toml:"peers_per_domain"`
	// OtherDomains is how many peers are told in each other failure domain.
	// Default 2.
	OtherDomains int `toml:"other_domains"`
	// Seeds are peer addresses, host:port, to try while the platform's
	// instance list cannot be read. Default none.
	Seeds []string `toml:"seeds"`
}

// Journal is how gateways record calls that may not be repeated.
type Journal struct {
	// BatchWait is the least time between two appends to one stream. Default
	// 50ms: at eight gateways that is at most 320 appends a second.
	BatchWait time.Duration `toml:"batch_wait"`
	// Timeout of one append. Default 2s.
	Timeout time.Duration `toml:"timeout"`
}

// Control is how a controller leases and uses the right to give orders.
type Control struct {
	// Lease is the length of a lease. Default 10s.
	Lease time.Duration `toml:"lease"`
	// Margin by which the holder stops early, and the timeout of each request
	// that it sends under the lease. Default 2s.
	Margin time.Duration `toml:"margin"`
	// Interval between two rounds. Default 1s.
	Interval time.Duration `toml:"interval"`
	// SnapshotInterval is how often the documents are written to the log
	// again. At most a quarter of the time that the log keeps records.
	// Default 10m.
	SnapshotInterval time.Duration `toml:"snapshot_interval"`
}

// TLS is off for a side without certificate files.
type TLS struct {
	// Callers is the certificate shown to callers.
	Callers KeyPair `toml:"callers"`
	// Peers is the certificate shown to and required of other processes.
	Peers PeerKeyPair `toml:"peers"`
	// Upstream verifies upstreams.
	Upstream Authority `toml:"upstream"`
}

// KeyPair names PEM files.
type KeyPair struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Set reports whether TLS is on.
func (k KeyPair) Set() bool { return k.Cert != "" && k.Key != "" }

// PeerKeyPair names PEM files for mutual TLS.
type PeerKeyPair struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Set reports whether mutual TLS is on.
func (k PeerKeyPair) Set() bool { return k.Cert != "" && k.Key != "" && k.CA != "" }

// Authority names a PEM file of trusted certificates.
type Authority struct {
	CA string `toml:"ca"`
}

// ClientAccount is a customer whose callers may send requests.
type ClientAccount struct {
	Name ident.ClientAccount `toml:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token; the token itself is in
	// no file.
	TokenSHA256 Digest `toml:"token_sha256"`
}

// LoadGateway reads a gateway's settings. The settings are usable only when
// there are no findings.
func LoadGateway(path string) (*Gateway, finding.List) {
	data, found := readFile(path)
	if found != nil {
		return nil, found
	}
	return ParseGateway(path, data)
}

// LoadController reads a controller's settings. The settings are usable only
// when there are no findings.
func LoadController(path string) (*Controller, finding.List) {
	data, found := readFile(path)
	if found != nil {
		return nil, found
	}
	return ParseController(path, data)
}

// ParseGateway reads a gateway's settings from data; file is for findings.
func ParseGateway(file string, data []byte) (*Gateway, finding.List) {
	g := defaultGateway()
	source := tomlfile.Decode(file, data, g)
	checkGateway(source, g)
	return g, source.Findings()
}

// ParseController reads a controller's settings from data; file is for
// findings.
func ParseController(file string, data []byte) (*Controller, finding.List) {
	c := defaultController()
	source := tomlfile.Decode(file, data, c)
	checkController(source, c)
	return c, source.Findings()
}

func readFile(path string) ([]byte, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Problem: err.Error(), Want: "a readable file"}}
	}
	return data, nil
}
