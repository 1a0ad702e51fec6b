package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
)

const smallGateway = `
[instance]
id = "entry-1"
region = "tirol"
failure_domain = "hall-a"

[platform]
address = "http://127.0.0.1:8080"

[limits]
stop_timeout = "5s"
max_body = "2MiB"

[[client_accounts]]
name = "registrar"
token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
`

func TestGatewayKeepsDefaultsOfKeysThatAreNotSet(t *testing.T) {
	g, found := ParseGateway("gateway.toml", []byte(smallGateway))
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	if g.Limits.StopTimeout != 5*time.Second || g.Limits.MaxBody != 2<<20 {
		t.Errorf("set keys not taken: %+v", g.Limits)
	}
	if g.Limits.Heartbeat != 500*time.Millisecond || g.Listen.Callers != loopbackAnyPort {
		t.Errorf("defaults lost: %+v %+v", g.Limits, g.Listen)
	}
	if g.ClientAccounts[0].TokenSHA256[0] != 0x9f {
		t.Errorf("digest not read: %x", g.ClientAccounts[0].TokenSHA256)
	}
}

// formatFindings writes one finding a line, as in the golden files.
func formatFindings(list finding.List) []byte {
	var b strings.Builder
	for _, f := range list {
		b.WriteString(f.String() + "\n")
	}
	return []byte(b.String())
}

func TestAllFaultsAreFoundTogether(t *testing.T) {
	cases := map[string]func(string, []byte) finding.List{
		"faults": func(file string, data []byte) finding.List {
			_, found := ParseGateway(file, data)
			return found
		},
		"controller_faults": func(file string, data []byte) finding.List {
			_, found := ParseController(file, data)
			return found
		},
	}
	for name, parse := range cases {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, formatFindings(parse(name+".toml", data)))
		})
	}
}

// Guards against a margin of 0. The margin is also the timeout of each request
// under a lease, so that every request would time out before it is sent: the
// controller would start, hold its leases and never give an order.
func TestMarginOfZeroIsRefused(t *testing.T) {
	_, found := ParseController("controller.toml", []byte("[control]\nmargin = \"0s\"\n"))
	for _, f := range found {
		if f.Key == "control.margin" {
			return
		}
	}
	t.Errorf("a margin of 0 is accepted; findings: %v", found)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallGateway))
	f.Fuzz(func(t *testing.T, data []byte) {
		g, found := ParseGateway("fuzz.toml", data)
		if len(found) == 0 && (g.Instance.ID == "" || g.Platform.Address == "" || g.Limits.MaxBody <= 0) {
			t.Errorf("accepted %+v", g)
		}
		lines := strings.Count(string(data), "\n") + 1
		for _, finding := range found {
			if finding.Line < 1 || finding.Line > lines || finding.Column < 1 {
				t.Errorf("finding outside the file: %+v", finding)
			}
		}
	})
}
