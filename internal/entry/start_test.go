package entry

import (
	"io"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

// Guards against many claims at once: gateways that start together would each claim the lease
// before they have received reports from one another.
func TestAGatewayWithoutReportsIsNoCandidate(t *testing.T) {
	s, findings := settings.ParseEntry("test.toml", []byte(`
[instance]
id = "gw1"
failure_domain = "hall-a"
region = "tirol"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
`))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	p, err := New(s, func(*httpconn.Pool) Ports { return Ports{} }, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if rank, held := p.leaseRank(); rank == 0 && !held {
			t.Error("a gateway that has just started considers itself the first candidate")
		}
		p.refreshPeers()
	}
}
