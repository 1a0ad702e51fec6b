// Package settings reads and checks the settings of one process: a TOML file
// whose keys have documented defaults. Unknown keys are rejected, durations
// need a unit, and all findings are reported together.
//
// Settings belong to one process and are read when it starts. What operators
// change while the system runs is in documents; see package document.
package settings

import (
	"os"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/tomlfile"
)

// Common holds the sections that gateways and controllers share.
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

// Gateway holds the settings of a gateway.
type Gateway struct {
	Common
	Listen         GatewayListen   `toml:"listen"`
	Machine        MachineLimits   `toml:"machine"`
	ClientAccounts []ClientAccount `toml:"client_accounts"`
}

// Controller holds the settings of a controller.
type Controller struct {
	Common
	Listen  ControllerListen `toml:"listen"`
	Machine MachineLimits    `toml:"machine"`
	Control Control          `toml:"control"`
}

// Instance identifies a process's instance and its location. All fields but
// Incarnation are required.
type Instance struct {
	ID            ident.Instance      `toml:"id"`
	Region        ident.Region        `toml:"region"`
	FailureDomain ident.FailureDomain `toml:"failure_domain"`
	// Incarnation 0 stands for the time at which the process starts.
	Incarnation ident.Incarnation `toml:"incarnation"`
}

// GatewayListen holds the addresses that a gateway listens on, as host:port.
// With port 0 the kernel chooses the port. The default of each is 127.0.0.1:0.
type GatewayListen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
	// AcceptPlaintext allows listeners outside loopback to work without TLS.
	AcceptPlaintext bool `toml:"accept_plaintext"`
	// PProf serves the profiles of net/http/pprof on the operators' address.
	PProf bool `toml:"pprof"`
}

// ControllerListen holds the address that a controller listens on; the fields
// are as in GatewayListen.
type ControllerListen struct {
	Operators       string `toml:"operators"`
	AcceptPlaintext bool   `toml:"accept_plaintext"`
	PProf           bool   `toml:"pprof"`
}

// Platform tells where the platform serves its log, instance list, cloud and
// weight store.
type Platform struct {
	// Address is a URL, http or https. Required.
	Address string `toml:"address"`
	// Timeout bounds one request. Default 2s.
	Timeout time.Duration `toml:"timeout"`
}

// LogFormat is the format of log lines.
type LogFormat string

// The log formats.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// Log tells what the process logs and in which format.
type Log struct {
	// Level is trace, debug, info, warn or error. Default info.
	Level string `toml:"level"`
	// Format is json (default) or text.
	Format LogFormat `toml:"format"`
}

// TraceExporter tells where trace spans are sent.
type TraceExporter string

// The trace exporters.
const (
	TraceNone   TraceExporter = "none"
	TraceStdout TraceExporter = "stdout"
	TraceOTLP   TraceExporter = "otlp"
)

// Trace configures the export of trace spans.
type Trace struct {
	// Exporter is none (default), stdout or otlp (over HTTP).
	Exporter TraceExporter `toml:"exporter"`
	// Endpoint is the URL that exporter otlp sends to; other exporters ignore it.
	Endpoint string `toml:"endpoint"`
}

// Limits bounds what one connection or request may cost.
type Limits struct {
	// MaxBody bounds the body of a request. Default 1MiB.
	MaxBody Size `toml:"max_body"`
	// MaxHeader bounds the headers of a request. Default 64KiB.
	MaxHeader Size `toml:"max_header"`
	// HeaderTimeout bounds the reading of a request's headers. Default 5s.
	HeaderTimeout time.Duration `toml:"header_timeout"`
	// MaxStreams bounds the concurrent streams of one connection. Default 1000.
	MaxStreams int `toml:"max_streams"`
	// StopTimeout bounds a graceful stop. Default 20s.
	StopTimeout time.Duration `toml:"stop_timeout"`
	// Heartbeat is the interval between the heartbeats of a stream that has
	// nothing else to send. Default 500ms.
	Heartbeat time.Duration `toml:"heartbeat"`
	// Silence is the time without any data after which a connection is given
	// up. It is at least three heartbeats, so that one lost heartbeat does not
	// end a working connection. Default 2s.
	Silence time.Duration `toml:"silence"`
}

// Membership configures how gateways tell each other which instances are alive.
type Membership struct {
	// Heartbeat is the interval between two heartbeats. Default 500ms.
	Heartbeat time.Duration `toml:"heartbeat"`
	// PeersPerDomain is the largest number of peers of the own failure domain
	// that all get each heartbeat. If there are more, only some of them get it,
	// in turn. 0 sends to all. Default 8.
	PeersPerDomain int `toml:"peers_per_domain"`
	// OtherDomains is how many peers of each other failure domain get each
	// heartbeat. Default 2.
	OtherDomains int `toml:"other_domains"`
	// Seeds are the addresses of peers, as host:port, to contact while the
	// platform's instance list cannot be read. Default none.
	Seeds []string `toml:"seeds"`
}

// Journal configures how gateways record calls that must not be repeated.
type Journal struct {
	// BatchWait is the minimum time between two appends to one stream of the
	// log. Default 50ms: at eight gateways that is at most 320 appends a second.
	BatchWait time.Duration `toml:"batch_wait"`
	// Timeout bounds one append. Default 2s.
	Timeout time.Duration `toml:"timeout"`
}

// Control configures the lease under which a controller gives orders, and how
// often it works.
type Control struct {
	// Lease is the duration of a lease. Default 10s.
	Lease time.Duration `toml:"lease"`
	// Margin is how long before its lease ends the holder stops giving orders,
	// and the timeout of each request that it sends under the lease. Default 2s.
	Margin time.Duration `toml:"margin"`
	// Interval is the time between two rounds of the controllers. Default 1s.
	Interval time.Duration `toml:"interval"`
	// SnapshotInterval is how often a snapshot of the documents is written to
	// the log. Keep it at or below a quarter of the time for which the log keeps
	// records. Default 10m.
	SnapshotInterval time.Duration `toml:"snapshot_interval"`
}

// TLS names the files for TLS towards callers, peers and upstreams. TLS is off for
// callers or peers whose certificate files are not set.
type TLS struct {
	// Callers names the certificate that is presented to callers.
	Callers KeyPair `toml:"callers"`
	// Peers names the certificate that is presented to other processes and the
	// authority that theirs must come from.
	Peers PeerKeyPair `toml:"peers"`
	// Upstream names the authority that verifies upstreams' certificates.
	Upstream Authority `toml:"upstream"`
}

// KeyPair names the PEM files of a certificate and its private key.
type KeyPair struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// IsSet reports whether TLS is on.
func (k KeyPair) IsSet() bool { return k.Cert != "" && k.Key != "" }

// PeerKeyPair names the PEM files for mutual TLS: a certificate, its private key
// and the authority of the peers' certificates.
type PeerKeyPair struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// IsSet reports whether mutual TLS is on.
func (k PeerKeyPair) IsSet() bool { return k.Cert != "" && k.Key != "" && k.CA != "" }

// Authority names a PEM file of trusted certificates. Empty trusts the system's.
type Authority struct {
	CA string `toml:"ca"`
}

// ClientAccount is a client account whose callers may send requests.
type ClientAccount struct {
	Name ident.ClientAccount `toml:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token; the token itself is not
	// written to any file.
	TokenSHA256 Digest `toml:"token_sha256"`
}

// LoadGateway reads a gateway's settings from a file. The settings are valid
// only if there are no findings; they are nil if the file cannot be read.
func LoadGateway(path string) (*Gateway, finding.List) {
	data, found := readFile(path)
	if found != nil {
		return nil, found
	}
	return ParseGateway(path, data)
}

// LoadController reads a controller's settings from a file. The settings are
// valid only if there are no findings; they are nil if the file cannot be read.
func LoadController(path string) (*Controller, finding.List) {
	data, found := readFile(path)
	if found != nil {
		return nil, found
	}
	return ParseController(path, data)
}

// ParseGateway reads a gateway's settings from data. The findings name file as
// their place.
func ParseGateway(file string, data []byte) (*Gateway, finding.List) {
	g := defaultGateway()
	source := tomlfile.Decode(file, data, g)
	checkGateway(source, g)
	return g, source.Findings()
}

// ParseController reads a controller's settings from data. The findings name
// file as their place.
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
