package membership

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// fleetSize is the size of a fleet to measure.
type fleetSize struct{ gateways, upstreams, domains int }

var sizes = []fleetSize{{9, 13, 4}, {50, 104, 5}, {100, 210, 10}, {200, 420, 10}, {330, 690, 10}}

// probers is how many gateways probe an upstream in fleets with more than 64
// upstreams. In smaller ones all do.
const probers = 2

// TestCost prints what the heartbeats cost. It runs if MEMBERSHIP_COST is set.
func TestCost(t *testing.T) {
	if os.Getenv("MEMBERSHIP_COST") == "" {
		t.Skip("set MEMBERSHIP_COST=1 to measure")
	}
	for _, s := range sizes {
		t.Run(fmt.Sprintf("%d+%d", s.gateways, s.upstreams), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measure(t, s) })
		})
	}
}

// measure runs a fleet for a while with probes that report a new load each
// second. It prints one process's messages and encoded bytes a second in both
// directions, and the mean age of the loads that the processes know.
func measure(t *testing.T, s fleetSize) {
	const warm, window = 60 * time.Second, 40 * time.Second
	f := newFleet(s.gateways, s.upstreams, s.domains, nil)
	stop := f.run()
	assigned := f.assign()
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.probe(assigned, quit)
	}()
	time.Sleep(warm)
	f.mu.Lock()
	bytes, messages := f.bytes, f.messages
	f.mu.Unlock()
	time.Sleep(window)
	synctest.Wait()
	f.mu.Lock()
	bytes, messages = f.bytes-bytes, f.messages-messages
	f.mu.Unlock()
	seconds := window.Seconds()
	// Each message counts at its sender and at its receiver.
	perNode := 2 / seconds / float64(s.gateways)
	local, remote, suspects := f.ages()
	t.Logf("%d+%d: %.1f messages/s %.2f KB/s a node; load age ms local %d remote %d; suspects %d",
		s.gateways, s.upstreams, float64(messages)*perNode, float64(bytes)*perNode/1000, local, remote, suspects)
	close(quit)
	<-done
	stop()
}

// assign returns the upstreams that each gateway probes.
func (f *fleet) assign() map[*node][]platform.Instance {
	byDomain := map[ident.FailureDomain][]ident.Instance{}
	for _, n := range f.nodes {
		byDomain[n.self.FailureDomain] = append(byDomain[n.self.FailureDomain], n.self.ID)
	}
	out := map[*node][]platform.Instance{}
	for _, n := range f.nodes {
		for _, u := range f.upstreams {
			own := u.FailureDomain == n.self.FailureDomain &&
				membership.Owns(n.self.ID, byDomain[u.FailureDomain], u.ID, probers)
			if own || len(f.upstreams) <= 64 {
				out[n] = append(out[n], u)
			}
		}
	}
	return out
}

// probe observes all upstreams once a second, like the probing controllers.
func (f *fleet) probe(assigned map[*node][]platform.Instance, quit chan struct{}) {
	for turn := uint32(0); ; turn++ {
		for n, list := range assigned {
			for i, u := range list {
				n.Observe(Observation{Instance: u.ID, Incarnation: u.Incarnation, Load: membership.Load{
					Running: 20 + (turn+uint32(i))%30, Queued: turn % 7, QueuedPrefillTokens: 1000 * (turn % 13), At: time.Now(),
				}})
			}
		}
		select {
		case <-time.After(time.Second):
		case <-quit:
			return
		}
	}
}

// ages returns the mean age of the loads in milliseconds, by whether the
// instance is in the own failure domain, and the greatest number of instances
// that a process wrongly suspects.
func (f *fleet) ages() (local, remote int64, suspects int) {
	var sum [2]time.Duration
	var count [2]int64
	for _, n := range f.nodes {
		for _, e := range n.Entries() {
			if e.Load.At.IsZero() {
				continue
			}
			i := 0
			if e.FailureDomain != n.self.FailureDomain {
				i = 1
			}
			sum[i] += time.Since(e.Load.At)
			count[i]++
		}
		here := 0
		for _, m := range n.board.Members.Value().ByID {
			if m.State == blackboard.Suspect {
				here++
			}
		}
		suspects = max(suspects, here)
	}
	return sum[0].Milliseconds() / max(count[0], 1), sum[1].Milliseconds() / max(count[1], 1), suspects
}

// benchmarkSizes runs a benchmark at each size on the table of one process.
func benchmarkSizes(b *testing.B, run func(b *testing.B, f *fleet)) {
	for _, s := range []fleetSize{sizes[0], sizes[2], sizes[4]} {
		b.Run(fmt.Sprintf("%d+%d", s.gateways, s.upstreams), func(b *testing.B) {
			f := newFleet(s.gateways, s.upstreams, s.domains, nil)
			b.ReportAllocs()
			run(b, f)
		})
	}
}

// BenchmarkExchange measures one heartbeat, from the request to the merged
// answer, between two processes that know all instances. It includes conversion
// to and from the wire format.
func BenchmarkExchange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet) {
		from, to := f.nodes[0], f.nodes[len(f.nodes)-1]
		peer := target{id: to.self.ID, domain: to.self.FailureDomain, address: to.self.PeerAddress}
		for b.Loop() {
			out := from.buildRequest(peer)
			resp, err := to.Exchange(b.Context(), out.request)
			if err != nil {
				b.Fatal(err)
			}
			from.mergeResponse(peer, out, resp)
		}
	})
}

// BenchmarkPublish measures the publication of a new snapshot of all members,
// as after a change of state.
func BenchmarkPublish(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet) {
		n := f.nodes[0]
		for b.Loop() {
			n.published = nil
			n.publish(time.Now())
		}
	})
}

// BenchmarkLoad measures how long the data path takes to read a member.
func BenchmarkLoad(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet) {
		n := f.nodes[0]
		id := f.upstreams[0].ID
		for b.Loop() {
			_ = n.board.Members.Value().ByID[id]
		}
	})
}

// TestMemory prints the live memory of one process's membership.
func TestMemory(t *testing.T) {
	if os.Getenv("MEMBERSHIP_COST") == "" {
		t.Skip("set MEMBERSHIP_COST=1 to measure")
	}
	for _, s := range sizes {
		f := newFleet(1, s.upstreams+s.gateways-1, s.domains, nil)
		list := f.list()
		before := testkit.LiveHeap()
		n := New(f.nodes[0].config, f.nodes[0].deps)
		n.ApplyList(list)
		after := testkit.LiveHeap()
		t.Logf("%d+%d: %d KB", s.gateways, s.upstreams, (after-before)/1000)
		runtime.KeepAlive(n)
		runtime.KeepAlive(f)
	}
}
