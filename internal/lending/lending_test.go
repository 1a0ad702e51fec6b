package lending

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// fleet connects gateways without a network.
type fleet struct {
	gateways map[ident.Instance]*Lending
	// down are the gateways that don't answer, ended those of them that don't run.
	down, ended map[ident.Instance]bool
	// cutOff are those whose connections went silent.
	cutOff      map[ident.Instance]bool
	unreachable []ident.Instance
	requests    []quota.LoanRequest
	now         time.Time
}

func (f *fleet) AskForLoan(ctx context.Context, keeper gossip.Contact, data []byte) ([]byte, error) {
	if f.cutOff[keeper.Node] {
		<-ctx.Done()
	}
	if f.down[keeper.Node] || ctx.Err() != nil {
		return nil, errors.New("no answer")
	}
	request, _, err := decodeRequest(data)
	if err != nil {
		return nil, err
	}
	f.requests = append(f.requests, request)
	return f.gateways[keeper.Node].Serve(ctx, data)
}

func (f *fleet) Refuses(_ context.Context, keeper gossip.Contact) bool { return f.ended[keeper.Node] }

func (f *fleet) MarkUnreachable(keeper gossip.Contact, _ time.Time) {
	f.unreachable = append(f.unreachable, keeper.Node)
}

var account = &routetable.Account{Name: "acct", Rate: 100_000, Burst: 100_000, CountsTokens: true}

// newFleet returns n gateways with full pools.
func newFleet(t testing.TB, n int) (*fleet, *Keepers) {
	t.Helper()
	f := &fleet{gateways: make(map[ident.Instance]*Lending), down: make(map[ident.Instance]bool), ended: make(map[ident.Instance]bool), cutOff: make(map[ident.Instance]bool), now: time.Unix(1000, 0)}
	var contacts []gossip.Contact
	for i := range n {
		contacts = append(contacts, gossip.Contact{Node: ident.Instance(fmt.Sprint("gw", i))})
	}
	keepers := NewKeepers(contacts)
	for _, c := range contacts {
		others := func(ident.ClientAccount, time.Time) quota.OtherGateways {
			return quota.OtherGateways{Known: n - 1, Reports: []quota.Report{{Name: "all", Source: "all", Gateways: n - 1}}}
		}
		limiter := quota.NewLimiter(quota.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 100_000}, others, f.now)
		l := New(Config{
			Self: c.Node, Now: func() time.Time { return f.now }, Log: hclog.NewNullLogger(), Network: f, Limiter: limiter,
			Account: func(ident.ClientAccount) *routetable.Account { return account },
		})
		l.SetKeepers(keepers)
		limiter.SetLender(l)
		f.gateways[c.Node] = l
	}
	for range 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, g := range f.gateways {
			g.cfg.Limiter.ApplyReports([]routetable.Account{*account}, f.now)
		}
	}
	return f, keepers
}

// bystander returns a gateway that keeps no pool of the account.
func (f *fleet) bystander() *Lending {
	for _, g := range f.gateways {
		if g.KeeperShare("acct") == 0 {
			return g
		}
	}
	return nil
}

// Guards against pools that move although their keeper is still there, and against an account with
// another number of keepers than MaxKeepers.
func TestOnlyPoolsOfAKeeperThatLeavesMove(t *testing.T) {
	f, all := newFleet(t, 12)
	gone := all.contacts[5].Node
	fewer := NewKeepers(append(append([]gossip.Contact{}, all.contacts[:5]...), all.contacts[6:]...))
	kept := make(map[ident.Instance]int)
	for i := range 1000 {
		name := ident.ClientAccount(fmt.Sprint("account", i))
		before, after := all.Of(name), fewer.Of(name)
		if len(before) != quota.MaxKeepers || len(after) != quota.MaxKeepers || before[0].Node == before[1].Node {
			t.Fatalf("%s: keepers %v, then %v", name, before, after)
		}
		for _, k := range before {
			kept[k.Node]++
			if k.Node != gone && after[0].Node != k.Node && after[1].Node != k.Node {
				t.Errorf("%s: pool moved from %s, which is still there", name, k.Node)
			}
		}
	}
	for node := range f.gateways {
		if kept[node] < 100 || kept[node] > 250 {
			t.Errorf("%s keeps %d of 2000 pools", node, kept[node])
		}
	}
	if k := NewKeepers(nil).Of("acct"); len(k) != 0 {
		t.Errorf("keepers of no gateways: %v", k)
	}
}

// Guards against refusing callers because one of the two keepers has been killed.
func TestTheOtherKeeperLendsWhileOneIsDown(t *testing.T) {
	f, keepers := newFleet(t, 6)
	asker := f.bystander()
	dead := keepers.Of("acct")[0].Node
	f.down[dead], f.ended[dead] = true, true
	for range 4 {
		if d := asker.cfg.Limiter.Admit(account, 5000, f.now); !d.OK {
			t.Errorf("refused: %+v", d)
		}
	}
	if len(f.unreachable) != 1 || f.unreachable[0] != dead {
		t.Errorf("marked as unreachable: %v", f.unreachable)
	}
}

// Guards against refusing callers because a keeper that was cut off used up the time to ask the other one.
func TestTheOtherKeeperIsAskedAfterASilentOne(t *testing.T) {
	f, keepers := newFleet(t, 6)
	asker := f.bystander()
	f.cutOff[keepers.Of("acct")[0].Node] = true
	for range 4 {
		if d := asker.cfg.Limiter.Admit(account, 5000, f.now); !d.OK {
			t.Errorf("refused: %+v", d)
		}
	}
}

// Guards against a request that waits again and again for a keeper that is cut off, and against
// another one that takes over while that keeper may still lend to others.
func TestASilentKeeperIsNotAskedForAWhile(t *testing.T) {
	f, keepers := newFleet(t, 6)
	asker := f.bystander()
	for _, k := range keepers.Of("acct") {
		f.down[k.Node] = true
	}
	if d := asker.cfg.Limiter.Admit(account, 5000, f.now); d.OK {
		t.Errorf("admitted though no keeper answers: %+v", d)
	}
	if order := asker.order("acct"); len(order) != 0 || len(f.unreachable) != 0 {
		t.Errorf("still asked: %v; marked as unreachable: %v", order, f.unreachable)
	}
	f.now = f.now.Add(silencePause)
	if order := asker.order("acct"); len(order) != 2 {
		t.Errorf("asked after the pause: %v", order)
	}
}

// Guards against tokens that a gateway gives back and that arrive at two keepers.
func TestWhatIsReturnedArrivesOnce(t *testing.T) {
	f, _ := newFleet(t, 6)
	asker := f.bystander()
	for _, g := range f.gateways {
		if g.KeeperShare("acct") > 0 {
			if _, err := g.cfg.Limiter.Lend(account, quota.LoanRequest{Account: "acct", Cost: 20_000}, f.now); err != nil {
				t.Fatal(err)
			}
		}
	}
	// More than is in a pool, so that both keepers are asked.
	if _, err := asker.Borrow(quota.LoanRequest{Account: "acct", Cost: 10_000_000, Returned: 700}); err != nil {
		t.Fatal(err)
	}
	returned := 0.0
	for _, r := range f.requests {
		returned += r.Returned
	}
	if returned != 700 {
		t.Errorf("%v returned in %d requests, want 700 once", returned, len(f.requests))
	}
}

// Guards against callers that are refused, and against requests that circle between gateways, while
// the gateways' views of who keeps a pool differ.
func TestARequestIsPassedOnOnce(t *testing.T) {
	f, keepers := newFleet(t, 6)
	var others []gossip.Contact
	for _, c := range keepers.contacts {
		if f.gateways[c.Node].KeeperShare("acct") == 0 {
			others = append(others, c)
		}
	}
	asker := f.gateways[others[0].Node]
	asker.SetKeepers(NewKeepers(others[1:]))
	answer, err := asker.Borrow(quota.LoanRequest{Account: "acct", Cost: 5000})
	if err != nil || !answer.Granted {
		t.Errorf("answer %+v, error %v", answer, err)
	}
	f.requests = nil
	for _, c := range others {
		f.gateways[c.Node].SetKeepers(NewKeepers(others[1:]))
	}
	if _, err := asker.Borrow(quota.LoanRequest{Account: "acct", Cost: 5000}); !errors.Is(err, quota.ErrNotKeeper) {
		t.Errorf("error %v, want ErrNotKeeper", err)
	}
	if len(f.requests) > 4 {
		t.Errorf("%d requests sent", len(f.requests))
	}
}

// Guards against impossible amounts in messages of other gateways.
func TestInvalidMessagesAreRejected(t *testing.T) {
	for _, r := range []quota.LoanRequest{
		{Cost: 1}, {Account: "a", Cost: -1}, {Account: "a", Cost: math.NaN()}, {Account: "a", Extra: math.Inf(1)}, {Account: "a", Returned: -1},
	} {
		data, err := encodeRequest(r, false)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := decodeRequest(data); err == nil {
			t.Errorf("%+v accepted", r)
		}
	}
	for _, a := range []quota.LoanAnswer{{Extra: -1}, {Need: math.NaN()}, {Level: math.NaN()}} {
		data, err := encodeAnswer(a, false)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeAnswer(data); err == nil {
			t.Errorf("%+v accepted", a)
		}
	}
	want := quota.LoanAnswer{Granted: true, Extra: 3, AskPause: 7 * time.Millisecond, RetryAfter: 200 * time.Millisecond, Level: -5, Need: 9}
	data, err := encodeAnswer(want, false)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeAnswer(data); err != nil || got != want {
		t.Errorf("got %+v, error %v", got, err)
	}
}
