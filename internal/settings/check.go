package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/tomlfile"
)

// minSilenceHeartbeats is the minimum of limits.silence in heartbeats: with fewer,
// one lost heartbeat would end a working connection.
const minSilenceHeartbeats = 3

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

func checkGateway(s *tomlfile.Source, g *Gateway) {
	checkCommon(s, &g.Common)
	checkListener(s, "listen.callers", g.Listen.Callers, g.TLS.Callers.IsSet() || g.Listen.AcceptPlaintext)
	checkListener(s, "listen.peers", g.Listen.Peers, g.TLS.Peers.IsSet() || g.Listen.AcceptPlaintext)
	checkListener(s, "listen.operators", g.Listen.Operators, g.Listen.AcceptPlaintext)
	checkMachineLimits(s, g.Machine)
	checkAccounts(s, g.ClientAccounts)
}

func checkController(s *tomlfile.Source, c *Controller) {
	checkCommon(s, &c.Common)
	checkListener(s, "listen.operators", c.Listen.Operators, c.Listen.AcceptPlaintext)
	checkMachineLimits(s, c.Machine)
	s.Check(c.Control.Lease > 0, "control.lease", "is zero", "more than 0")
	s.Check(c.Control.Interval > 0, "control.interval", "is zero", "more than 0")
	s.Check(c.Control.SnapshotInterval > 0, "control.snapshot_interval", "is zero", "more than 0")
	s.Check(c.Control.Margin > 0, "control.margin", "is zero",
		"more than 0: it also bounds each request under a lease")
	s.Check(2*c.Control.Margin < c.Control.Lease || c.Control.Lease == 0, "control.margin",
		"is half the lease or more", "less than half of control.lease, or little is left to act in")
}

func checkCommon(s *tomlfile.Source, c *Common) {
	checkInstance(s, c.Instance)
	checkURL(s, "platform.address", c.Platform.Address)
	s.Check(c.Platform.Timeout > 0, "platform.timeout", "is zero", "more than 0")
	checkTelemetry(s, c)
	checkLimits(s, c.Limits)
	checkMembership(s, c.Membership)
	checkJournal(s, c.Journal)
	checkTLS(s, c.TLS)
}

func checkInstance(s *tomlfile.Source, i Instance) {
	checkRequired(s, "instance.id", string(i.ID))
	checkRequired(s, "instance.region", string(i.Region))
	checkRequired(s, "instance.failure_domain", string(i.FailureDomain))
}

func checkRequired(s *tomlfile.Source, key, value string) {
	if s.Has(key) {
		s.Check(value != "", key, "is empty", "a name")
		return
	}
	s.Add(key, "is missing", "a name")
}

func checkURL(s *tomlfile.Source, key, address string) {
	u, err := url.Parse(address)
	ok := err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
	if !ok {
		s.Add(key, fmt.Sprintf("%q is not a URL", address), `a URL such as "http://10.0.0.7:8080"`)
	}
}

func checkTelemetry(s *tomlfile.Source, c *Common) {
	checkOneOf(s, "log.level", c.Log.Level, logLevels)
	checkOneOf(s, "log.format", string(c.Log.Format), []string{string(LogJSON), string(LogText)})
	checkOneOf(s, "trace.exporter", string(c.Trace.Exporter),
		[]string{string(TraceNone), string(TraceStdout), string(TraceOTLP)})
	if c.Trace.Exporter == TraceOTLP {
		checkURL(s, "trace.endpoint", c.Trace.Endpoint)
	}
}

func checkOneOf(s *tomlfile.Source, key, value string, allowed []string) {
	s.Check(slices.Contains(allowed, value), key, fmt.Sprintf("is %q", value),
		"one of "+strings.Join(allowed, ", "))
}

func checkLimits(s *tomlfile.Source, l Limits) {
	s.Check(l.MaxBody > 0, "limits.max_body", "is zero", "more than 0")
	s.Check(l.MaxHeader > 0, "limits.max_header", "is zero", "more than 0")
	s.Check(l.HeaderTimeout > 0, "limits.header_timeout", "is zero", "more than 0")
	s.Check(l.MaxStreams > 0, "limits.max_streams", "is not positive", "1 or more")
	s.Check(l.StopTimeout > 0, "limits.stop_timeout", "is zero", "more than 0")
	s.Check(l.Heartbeat > 0, "limits.heartbeat", "is zero", "more than 0")
	s.Check(l.Silence >= minSilenceHeartbeats*l.Heartbeat, "limits.silence",
		fmt.Sprintf("%v is too short for limits.heartbeat %v", l.Silence, l.Heartbeat),
		fmt.Sprintf("at least %d heartbeats", minSilenceHeartbeats))
}

func checkMembership(s *tomlfile.Source, m Membership) {
	s.Check(m.Heartbeat > 0, "membership.heartbeat", "is zero", "more than 0")
	s.Check(m.PeersPerDomain >= 0, "membership.peers_per_domain", "is negative", "0 or more")
	s.Check(m.OtherDomains > 0, "membership.other_domains", "is not positive", "1 or more")
	for i, seed := range m.Seeds {
		checkHostPort(s, fmt.Sprintf("membership.seeds[%d]", i), seed)
	}
}

func checkJournal(s *tomlfile.Source, j Journal) {
	s.Check(j.Timeout > 0, "journal.timeout", "is zero", "more than 0")
	s.Check(j.BatchWait < j.Timeout, "journal.batch_wait", "is not below journal.timeout",
		"a small part of journal.timeout")
}

func checkTLS(s *tomlfile.Source, t TLS) {
	anySet := t.Callers.Cert != "" || t.Callers.Key != ""
	s.Check(!anySet || t.Callers.IsSet(), "tls.callers", "is incomplete", "both cert and key")
	anySet = t.Peers.Cert != "" || t.Peers.Key != "" || t.Peers.CA != ""
	s.Check(!anySet || t.Peers.IsSet(), "tls.peers", "is incomplete", "cert, key and ca")
}

// checkHostPort reports whether address is host:port with a numeric port, and
// adds a finding if it is not.
func checkHostPort(s *tomlfile.Source, key, address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		s.Add(key, fmt.Sprintf("%q is not an address", address), `host:port such as "127.0.0.1:0"`)
	}
	return err == nil
}

// checkListener adds a finding for a listener that would send tokens and requests
// over the network in plain text: one outside loopback, unless allowed.
func checkListener(s *tomlfile.Source, key, address string, allowed bool) {
	if !checkHostPort(s, key, address) {
		return
	}
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	loopback := host == "localhost" || (ip != nil && ip.IsLoopback())
	s.Check(loopback || allowed, key, "listens outside loopback without TLS",
		"TLS for this address, or listen.accept_plaintext = true")
}

func checkAccounts(s *tomlfile.Source, accounts []ClientAccount) {
	names := map[ident.ClientAccount]bool{}
	digests := map[Digest]bool{}
	for i, a := range accounts {
		key := fmt.Sprintf("client_accounts[%d]", i)
		checkRequired(s, key+".name", string(a.Name))
		s.Check(!names[a.Name] || a.Name == "", key+".name",
			fmt.Sprintf("%q is named twice", a.Name), "one entry a client account")
		names[a.Name] = true
		if !s.Has(key + ".token_sha256") {
			s.Add(key+".token_sha256", "is missing", "the SHA-256 of the token as 64 hexadecimal digits")
			continue
		}
		s.Check(!digests[a.TokenSHA256] || a.TokenSHA256 == Digest{}, key+".token_sha256",
			"is the same as an earlier account's", "a token of its own for each client account")
		digests[a.TokenSHA256] = true
	}
}
