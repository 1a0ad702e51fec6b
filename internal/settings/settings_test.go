package settings

import (
	"testing"
	"time"
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
	if g.Limits.Heartbeat != 500*time.Millisecond || g.Listen.Callers != kernelChosen {
		t.Errorf("defaults lost: %+v %+v", g.Limits, g.Listen)
	}
	if g.ClientAccounts[0].TokenSHA256[0] != 0x9f {
		t.Errorf("digest not read: %x", g.ClientAccounts[0].TokenSHA256)
	}
}
