package entry

import (
	"io"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

// Guards against a herd of claims: gateways that start together would each write the lease
// before they have heard of one another.
func TestAGatewayThatHasHeardNobodyIsNoCandidate(t *testing.T) {
	p := newProcess(t, "")
	for range 2 {
		if rank, held := p.rank(); rank == 0 && !held {
			t.Error("a gateway that has just started takes itself for the first in line")
		}
		p.refreshPeers()
	}
}

// Guards against a first start in which each of a thousand gateways reads all of the store for
// itself, and against one that waits for others where callers wait for it.
func TestAFirstStartLeavesTheStoreToTheFirstInLine(t *testing.T) {
	for _, test := range []struct {
		name, peers string
		place       int
		after       time.Duration
		leaves      bool
	}{
		{"a first start", "first_start = true", readers, 0, true},
		{"the first in line", "first_start = true", readers - 1, 0, false},
		{"nobody brought anything", "first_start = true", readers, firstStartWait, false},
		{"a start again", "", readers, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newProcess(t, test.peers)
			p.view.Store(&peerView{View: gossip.View{Place: test.place}})
			p.now = func() time.Time { return p.started.Add(test.after) }
			_, idle := p.configuration.nextRead()
			if got := idle > 0; got != test.leaves {
				t.Errorf("leaves the configuration to others: %v, want %v", got, test.leaves)
			}
			if got := p.upstreams.lacks(); got != test.leaves {
				t.Errorf("asks others for all entries: %v, want %v", got, test.leaves)
			}
			p.upstreams.learn(directory.News{UpTo: 7, Complete: true})
			if p.upstreams.lacks() {
				t.Error("asks others for what it has")
			}
		})
	}
}

func newProcess(t *testing.T, peers string) *Process {
	t.Helper()
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
[peers]
`+peers))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	p, err := New(s, func(*httpconn.Pool) Ports { return Ports{} }, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	return p
}
