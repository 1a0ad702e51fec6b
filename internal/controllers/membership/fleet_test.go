package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const hopTime = time.Millisecond

// fleet is a set of controllers connected by a transport in memory that can
// lose messages and cut off failure domains.
type fleet struct {
	nodes     []*node
	byAddress map[string]*node
	upstreams []platform.Instance

	mu sync.Mutex
	// lossSeed chooses which messages are lost; 0 loses none.
	lossSeed uint64
	// lossRuns counts the exchanges in a row that a link has lost.
	lossRuns map[string]int
	sent     map[string]int
	cut      map[ident.FailureDomain]bool
	// bytes and messages count requests and answers.
	bytes, messages int
}

// maxLossRun is how many exchanges in a row a link may lose without the bounds
// on departures being exceeded.
const maxLossRun = 2

type node struct {
	self  platform.Instance
	board *blackboard.Board
	*Controller
	cancel context.CancelFunc
	dead   bool
}

func (n *node) state(id ident.Instance) (blackboard.MemberState, ident.Incarnation) {
	m := n.board.Members.Value().ByID[id]
	return m.State, m.Incarnation
}

// newFleet creates gateways and upstreams in turn in each failure domain.
func newFleet(gateways, upstreams, domains int, tune func(*Config)) *fleet {
	f := &fleet{byAddress: map[string]*node{}, lossRuns: map[string]int{}, sent: map[string]int{}, cut: map[ident.FailureDomain]bool{}}
	for i := range upstreams {
		f.upstreams = append(f.upstreams, platform.Instance{
			ID:            ident.Instance(fmt.Sprintf("i-%017d", i)),
			Incarnation:   ident.Incarnation(1_700_000_000 + i),
			Role:          platform.RoleEngine,
			Service:       "spool-llm",
			Region:        "tirol",
			FailureDomain: domainOf(i, domains),
			Class:         "runner-large",
			Reclaimable:   true,
			Address:       fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			State:         platform.Live,
		})
	}
	for i := range gateways {
		f.add(i, domainOf(i, domains), tune)
	}
	for _, n := range f.nodes {
		n.ApplyList(f.list())
	}
	return f
}

func domainOf(i, domains int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("hall-%c", 'a'+i%domains))
}

func (f *fleet) add(i int, domain ident.FailureDomain, tune func(*Config)) {
	self := platform.Instance{
		ID:            ident.Instance(fmt.Sprintf("g-%017d", i)),
		Incarnation:   ident.Incarnation(1_700_000_000 + i),
		Role:          platform.RoleEntry,
		Region:        "tirol",
		FailureDomain: domain,
		Class:         "entry-small",
		Address:       fmt.Sprintf("10.0.%d.%d:443", i/250, i%250),
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		State:         platform.Live,
	}
	config := DefaultConfig(self)
	if tune != nil {
		tune(&config)
	}
	n := &node{self: self, board: blackboard.NewBoard()}
	n.Controller = New(config, Deps{
		Board:     n.board,
		Transport: &link{fleet: f, from: n},
		Log:       hclog.NewNullLogger(),
	})
	f.nodes = append(f.nodes, n)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byAddress[self.PeerAddress] = n
}

// nodeAt returns the node at an address, or nil. It may be called while a node
// is added.
func (f *fleet) nodeAt(address string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddress[address]
}

func (f *fleet) list() []platform.Instance {
	list := append([]platform.Instance(nil), f.upstreams...)
	for _, n := range f.nodes {
		list = append(list, n.self)
	}
	return list
}

// run starts all controllers. stop ends them and waits for their goroutines.
func (f *fleet) run() (stop func()) {
	var all sync.WaitGroup
	for _, n := range f.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		all.Go(func() { _ = n.Run(ctx) })
	}
	return func() {
		for _, n := range f.nodes {
			n.cancel()
		}
		all.Wait()
	}
}

// kill ends a process without announcing it.
func (f *fleet) kill(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.dead = true
	n.cancel()
}

// link is one process's connection to the others.
type link struct {
	fleet *fleet
	from  *node
}

// Exchange implements Transport. If a message is lost, it returns only when ctx
// expires.
func (l *link) Exchange(ctx context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	time.Sleep(hopTime)
	to := l.fleet.nodeAt(address)
	if to == nil || l.fleet.loseMessage(l.from, to, "request") {
		return nil, waitUntilExpired(ctx)
	}
	l.fleet.count(proto.Size(req))
	resp, err := to.Exchange(ctx, req)
	time.Sleep(hopTime)
	if err != nil {
		return nil, err
	}
	l.fleet.count(proto.Size(resp))
	if l.fleet.loseMessage(l.from, to, "answer") {
		return nil, waitUntilExpired(ctx)
	}
	return resp, nil
}

func waitUntilExpired(ctx context.Context) error {
	<-ctx.Done()
	return errcode.Wrap(errcode.DeadlineExceeded, ctx.Err(), "lost")
}

func (f *fleet) count(size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += size
	f.messages++
}

// loseMessage decides whether one message is lost. An exchange counts as one
// loss in lossRuns, whichever of its two messages is lost.
func (f *fleet) loseMessage(from, to *node, part string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.dead || to.dead {
		return true
	}
	apart := from.self.FailureDomain != to.self.FailureDomain
	if apart && (f.cut[from.self.FailureDomain] || f.cut[to.self.FailureDomain]) {
		return true
	}
	if f.lossSeed == 0 {
		return false
	}
	link := string(from.self.ID) + ">" + string(to.self.ID)
	f.sent[link]++
	lost := f.lossRuns[link] < maxLossRun && xxhash.Sum64String(fmt.Sprint(f.lossSeed, link, part, f.sent[link]))%2 == 0
	if lost {
		f.lossRuns[link]++
	} else if part == "answer" {
		f.lossRuns[link] = 0
	}
	return lost
}

// Every process learns of all instances, from the list or, without it, from
// seeds.
func TestFleetFindsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, 13, 4, nil)
		f.add(8, "hall-a", func(c *Config) { c.Seeds = []string{"10.0.0.3:7000"} })
		for _, u := range f.upstreams {
			f.nodes[0].Observe(Observation{Instance: u.ID, Incarnation: u.Incarnation})
		}
		defer f.run()()
		time.Sleep(8 * time.Second)
		synctest.Wait()
		newcomer := f.nodes[8]
		for _, u := range f.upstreams {
			m := newcomer.board.Members.Value().ByID[u.ID]
			want := u
			want.State = 0
			if m.Instance != want {
				t.Errorf("newcomer knows %+v, want %+v", m.Instance, want)
			}
		}
		if _, _, ok := newcomer.HighestPeer(); !ok {
			t.Errorf("newcomer has had no exchange with some peers")
		}
		for _, n := range f.nodes {
			if state, _ := n.state(newcomer.self.ID); state != blackboard.Alive {
				t.Errorf("%s holds the newcomer as %v", n.self.ID, state)
			}
		}
	})
}

// The sender of a heartbeat must not be taken for an instance if it has no peer
// address. When a controller process sends one under a name of its own,
// operators would see suspect members without a role, and later departures of
// instances that never existed.
func TestSenderWithoutPeerAddressIsNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 1, nil)
		asked := f.nodes[0]
		before := len(asked.board.Members.Value().ByID)
		resp, err := asked.Exchange(t.Context(), &peerv1.ExchangeRequest{
			From:          "entry-1/controller",
			Incarnation:   7,
			FailureDomain: string(asked.self.FailureDomain),
			Position:      &peerv1.DigestPosition{Epoch: 3},
		})
		if err != nil || len(resp.GetMembers()) == 0 {
			t.Fatalf("answer %v, %v; want what the gateway knows", resp, err)
		}
		if after := len(asked.board.Members.Value().ByID); after != before {
			t.Errorf("%d members after the question, want %d", after, before)
		}
	})
}
