package reach

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/relay"
)

// cutOff is a Direct whose connections all fail.
type cutOff struct{ Direct }

func (cutOff) Send(context.Context, httpconn.Target, *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	return nil, &httpconn.Failure{Stage: httpconn.StageConnect, Err: context.DeadlineExceeded}
}
func (cutOff) Connect(context.Context, httpconn.Target, bool) error { return context.DeadlineExceeded }
func (cutOff) Suspect(...ident.Instance)                            {}
func (cutOff) Doubtful(ident.Instance) bool                         { return false }
func (cutOff) Answers(ident.Instance) uint64                        { return 0 }

// countingRelay counts the requests that it is given, and serves each.
type countingRelay struct{ sent, connects int }

func (r *countingRelay) Send(context.Context, gossip.Contact, httpconn.Target, ident.Request, time.Duration, *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	r.sent++
	return &httpconn.Answer{}, nil
}

func (r *countingRelay) Connect(context.Context, gossip.Contact, httpconn.Target) error {
	r.connects++
	return nil
}

// Guards against a relayed request that the relaying gateway passes on to a third one: while each of two
// believes that the other reaches an upstream, requests would go round.
func TestARelayedRequestIsPassedOnByNobody(t *testing.T) {
	relays := &countingRelay{}
	n := New(Config{
		Self: "gw0", Now: time.Now, Log: hclog.NewNullLogger(), Direct: cutOff{}, Relay: relays, Introduce: func(gossip.Contact) {},
		Gateways:  func(time.Time) []gossip.Contact { return []gossip.Contact{{Node: "gw1", Address: "gw1"}} },
		Upstreams: func() []ident.Instance { return []ident.Instance{"u0"} },
	})
	target, request := httpconn.Target{ID: "u0"}, &httpconn.Request{}
	if _, failure := n.SendDirect(t.Context(), target, request); failure == nil || failure.MaybeSent {
		t.Errorf("got %v, want that nothing was sent", failure)
	}
	if err := n.Connect(t.Context(), target); err == nil {
		t.Error("connected")
	}
	if relays.sent+relays.connects > 0 {
		t.Errorf("%d requests and %d questions went to a third gateway", relays.sent, relays.connects)
	}
	if _, failure := n.Send(t.Context(), target, forward.Exchange{Request: request, TimeLeft: time.Second}); failure != nil || relays.sent != 1 {
		t.Errorf("an own request: failure %v, %d sent", failure, relays.sent)
	}
}

// Guards against a path that is tried again for ever: another gateway reaches an upstream that has left
// this one's view meanwhile.
func TestThePathToAnUpstreamThatHasLeftIsNotRecorded(t *testing.T) {
	n := New(Config{
		Self: "gw0", Now: time.Now, Log: hclog.NewNullLogger(), Direct: cutOff{}, Relay: &countingRelay{}, Introduce: func(gossip.Contact) {},
		Gateways:  func(time.Time) []gossip.Contact { return []gossip.Contact{{Node: "gw1", Address: "gw1"}} },
		Upstreams: func() []ident.Instance { return nil },
	})
	if _, failure := n.Send(t.Context(), httpconn.Target{ID: "u0"}, forward.Exchange{Request: &httpconn.Request{}, TimeLeft: time.Second}); failure == nil {
		t.Error("an upstream that has left got a request")
	}
	if lost := n.Counters().LostNow; lost != 0 {
		t.Errorf("%d paths count as lost", lost)
	}
}

// silent is a Direct whose kept connection takes a request and never answers, while no new connection is
// made.
type silent struct{ cutOff }

func (silent) Send(ctx context.Context, _ httpconn.Target, _ *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	<-ctx.Done()
	return nil, &httpconn.Failure{Stage: httpconn.StageHeader, MaybeSent: true, Err: context.Cause(ctx)}
}

// Guards against requests that go out one after the other on connections kept over a path that is
// silent: a call that may not be repeated shows it only at its deadline.
func TestThePathOfASilentExchangeIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Config{
			Self: "gw0", Now: time.Now, Log: hclog.NewNullLogger(), Direct: silent{}, Relay: &countingRelay{}, Introduce: func(gossip.Contact) {},
			Gateways:  func(time.Time) []gossip.Contact { return []gossip.Contact{{Node: "gw1", Address: "gw1"}} },
			Upstreams: func() []ident.Instance { return []ident.Instance{"u0"} },
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go n.Send(ctx, httpconn.Target{ID: "u0"}, forward.Exchange{Request: &httpconn.Request{}, TimeLeft: 5 * time.Second, SuspectAfter: minSilence})
		time.Sleep(time.Second)
		if !n.Lost("u0") {
			t.Error("a second later the path counts as working")
		}
	})
}

// slowRefusal is a Direct whose connections are refused only when their time is nearly over.
type slowRefusal struct{ cutOff }

func (slowRefusal) Connect(ctx context.Context, _ httpconn.Target, _ bool) error {
	<-ctx.Done()
	return context.DeadlineExceeded
}

// refusedRelay is a Relay through gateways whose connections are refused too, after a time.
type refusedRelay struct{ after time.Duration }

func (refusedRelay) Send(context.Context, gossip.Contact, httpconn.Target, ident.Request, time.Duration, *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	return nil, &httpconn.Failure{Stage: httpconn.StageConnect, Err: relay.ErrRefused}
}

func (r refusedRelay) Connect(ctx context.Context, _ gossip.Contact, _ httpconn.Target) error {
	select {
	case <-time.After(r.after):
		return relay.ErrRefused
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against the end of a process that is not seen because the question whether this gateway reaches it has used up
// the time to ask others.
func TestOthersAreAskedWhetherAnUpstreamHasEndedInATimeOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Config{
			Self: "gw0", Now: time.Now, Log: hclog.NewNullLogger(), Direct: slowRefusal{}, Relay: refusedRelay{after: 30 * time.Millisecond}, Introduce: func(gossip.Contact) {},
			Gateways:  func(time.Time) []gossip.Contact { return []gossip.Contact{{Node: "gw1", Address: "gw1"}} },
			Upstreams: func() []ident.Instance { return []ident.Instance{"u0"} },
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if !n.Refuses(ctx, httpconn.Target{ID: "u0"}, false) {
			t.Error("the process counts as running, though the gateway that was asked was refused")
		}
	})
}
