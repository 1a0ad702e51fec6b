package reach

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/relay"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

const (
	// doubtDialTimeout bounds a connection attempt over a doubtful path, after which another gateway
	// is asked. Upstreams are some milliseconds away; one that is farther works again, for this
	// gateway, with the next try of its path.
	doubtDialTimeout = 15 * time.Millisecond
	// checkTimeout bounds the connection attempt that checks a path, and retryTimeout the one that
	// tries a lost path again.
	checkTimeout, retryTimeout = 120 * time.Millisecond, 300 * time.Millisecond
	// relayCheckTimeout bounds the question to another gateway whether it reaches an upstream.
	relayCheckTimeout = 150 * time.Millisecond
	// minSilence and maxSilence bound the silence of an exchange after which its path is checked.
	minSilence, maxSilence = 150 * time.Millisecond, 600 * time.Millisecond
)

// errUnreachable: neither this gateway nor others could connect to the upstream a moment ago.
var errUnreachable = errors.New("no gateway reached the upstream a moment ago")

// errPathLost: this gateway's own path to the upstream is lost.
var errPathLost = errors.New("the path to the upstream is lost")

// Direct is this gateway's own connections to upstreams.
type Direct interface {
	Send(ctx context.Context, target httpconn.Target, req *httpconn.Request) (*httpconn.Answer, *httpconn.Failure)
	// Connect opens a connection and keeps it for reuse. inDoubt: nothing has failed.
	Connect(ctx context.Context, target httpconn.Target, inDoubt bool) error
	// Suspect makes the kept connections to upstreams doubtful, and Doubtful reports whether the
	// upstream has not answered since.
	Suspect(upstreams ...ident.Instance)
	Doubtful(upstream ident.Instance) bool
	// Answers returns how many answers of an upstream have begun.
	Answers(upstream ident.Instance) uint64
	CloseIdle(upstream ident.Instance)
	Forget(upstream ident.Instance)
}

// Relay passes requests to upstreams through other gateways.
type Relay interface {
	Send(ctx context.Context, by gossip.Contact, target httpconn.Target, id ident.Request, timeLeft time.Duration, req *httpconn.Request) (*httpconn.Answer, *httpconn.Failure)
	Connect(ctx context.Context, by gossip.Contact, target httpconn.Target) error
}

// Config holds what a Network uses. All fields are required.
type Config struct {
	Self   ident.Instance
	Now    boottime.Clock
	Log    hclog.Logger
	Direct Direct
	Relay  Relay
	// Gateways returns the other gateways that may relay requests now.
	Gateways func(now time.Time) []gossip.Contact
	// Introduce makes this gateway known to another one.
	Introduce func(gossip.Contact)
	// Upstreams returns the upstreams that are known.
	Upstreams func() []ident.Instance
}

// Counters are totals since the start, and the number of paths that are lost now.
type Counters struct {
	LostNow                             int
	Lost, Relayed, RelaysDeclined, Down int64
}

// Network sends requests to upstreams. It is safe for concurrent use.
type Network struct {
	cfg Config

	mu       sync.Mutex
	paths    *paths
	relays   *relays
	counters Counters
}

// New returns a Network for which all paths work.
func New(cfg Config) *Network {
	return &Network{cfg: cfg, paths: newPaths(), relays: newRelays(cfg.Self)}
}

// Send sends a request at most once, over this gateway's own path or, if that is lost, through
// another gateway.
func (n *Network) Send(ctx context.Context, target httpconn.Target, req forward.Exchange) (*httpconn.Answer, *httpconn.Failure) {
	answer, failure := n.sendDirect(ctx, target, req)
	if failure == nil || failure.MaybeSent || ctx.Err() != nil || !pathFailed(failure) {
		return answer, failure
	}
	if !n.Lost(target.ID) {
		// Others are asked for new connections first: one of theirs that is kept takes a request
		// without an error also where the upstream is gone.
		if refused, _ := n.askRelays(ctx, target, failure); !n.Lost(target.ID) {
			if !refused && timedOut(failure) {
				n.recordDown(target.ID)
			}
			return nil, failure
		}
	}
	return n.sendRelayed(ctx, target, req, failure)
}

// SendDirect is like Send without other gateways, for one that relays.
func (n *Network) SendDirect(ctx context.Context, target httpconn.Target, req *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	return n.sendDirect(ctx, target, forward.Exchange{Request: req, SuspectAfter: maxSilence})
}

// sendDirect sends a request over this gateway's own path. Over one that is lost, only a connection is
// used on which the upstream still answers.
func (n *Network) sendDirect(ctx context.Context, target httpconn.Target, req forward.Exchange) (*httpconn.Answer, *httpconn.Failure) {
	now := n.cfg.Now()
	n.mu.Lock()
	p := n.paths.byUpstream[target.ID]
	lost, retry, unreachable := p != nil && p.lost(), p != nil && n.paths.mayRetry(target.ID, now), p != nil && now.Before(p.unreachableUntil)
	n.mu.Unlock()
	if unreachable {
		return nil, &httpconn.Failure{Stage: httpconn.StageConnect, Err: errUnreachable}
	}
	if retry {
		go n.retry(target)
	}
	target.KeptOnly = target.KeptOnly || lost
	if n.cfg.Direct.Doubtful(target.ID) {
		target.DialTimeout = doubtDialTimeout
	}
	defer n.watch(target, req.SuspectAfter)()
	return n.cfg.Direct.Send(ctx, target, req.Request)
}

// pathFailed reports whether an exchange failed since no connection was made, or none is left.
func pathFailed(failure *httpconn.Failure) bool {
	return errors.Is(failure, httpconn.ErrNoKeptConnection) || connectFailed(failure)
}

// connectFailed reports whether a connection attempt failed on the way.
func connectFailed(err error) bool {
	var call *os.SyscallError
	return timedOut(err) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &call)
}

// timedOut reports whether a connection attempt got no answer.
func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// sendRelayed offers a request to other gateways until one takes it. direct is the failure of the own
// path.
func (n *Network) sendRelayed(ctx context.Context, target httpconn.Target, req forward.Exchange, direct *httpconn.Failure) (*httpconn.Answer, *httpconn.Failure) {
	begun := n.cfg.Now()
	var last *httpconn.Failure
	notReached := false
	for _, by := range n.order(target.ID) {
		left := req.TimeLeft - n.cfg.Now().Sub(begun)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		answer, failure := n.sendThrough(ctx, by, target, req, left)
		if failure == nil || failure.MaybeSent {
			n.recordRelayed(by, target, failure)
			return answer, failure
		}
		last = failure
		notReached = notReached || errors.Is(failure, relay.ErrNotReached)
		if ctx.Err() != nil || !declinedByRelay(failure) {
			break // what this gateway itself learned meanwhile
		}
		n.recordDeclined(by, target.ID, failure)
	}
	if notReached {
		n.recordDown(target.ID)
	}
	if last != nil && !declinedByRelay(last) {
		return nil, last
	}
	return nil, direct
}

// sendThrough offers a request to one gateway, and counts it there until its answer is closed.
func (n *Network) sendThrough(ctx context.Context, by gossip.Contact, target httpconn.Target, req forward.Exchange, left time.Duration) (*httpconn.Answer, *httpconn.Failure) {
	n.count(func() { n.relays.begin(by.Node) })
	ended := sync.OnceFunc(func() { n.count(func() { n.relays.end(by.Node) }) })
	answer, failure := n.cfg.Relay.Send(ctx, by, target, req.ID, left, req.Request)
	if failure != nil {
		ended()
	} else {
		answer.OnClose = ended
	}
	return answer, failure
}

// declinedByRelay reports whether the other gateway did not take a request, or was not reached itself.
func declinedByRelay(failure *httpconn.Failure) bool {
	return errors.Is(failure, relay.ErrNotSent) || connectFailed(failure)
}

func (n *Network) count(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// order returns the gateways that a request to an upstream is offered to.
func (n *Network) order(upstream ident.Instance) []gossip.Contact {
	now := n.cfg.Now()
	gateways := n.cfg.Gateways(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays.order(gateways, upstream, now)
}

// recordRelayed records that another gateway sent a request. failure is that of the exchange, if it
// failed later.
func (n *Network) recordRelayed(by gossip.Contact, target httpconn.Target, failure *httpconn.Failure) {
	if failure != nil && !errors.Is(failure, relay.ErrNoAnswer) {
		return // the way to the other gateway broke, which says nothing about the upstream
	}
	n.count(func() {
		n.counters.Relayed++
		n.relays.took(by.Node, target.ID, n.cfg.Now())
	})
}

func (n *Network) recordDeclined(by gossip.Contact, upstream ident.Instance, failure *httpconn.Failure) {
	if !errors.Is(failure, relay.ErrNotSent) {
		upstream = "" // the gateway itself was not reached
	}
	if errors.Is(failure, relay.ErrUnknownSender) {
		n.cfg.Introduce(by)
	}
	n.count(func() {
		n.counters.RelaysDeclined++
		n.relays.declined(by.Node, upstream, n.cfg.Now())
	})
	n.cfg.Log.Info("request not taken by another gateway", "gateway", by.Node, "upstream", upstream, "cause", failure)
}

// recordLost records that another gateway reaches an upstream that this one does not. The kept
// connections to it become doubtful. A path that is silent shows by itself only when a request was
// lost on it, so that then those to all upstreams become doubtful.
func (n *Network) recordLost(target httpconn.Target, by ident.Instance, cause error) {
	upstreams := n.cfg.Upstreams()
	if !slices.Contains(upstreams, target.ID) {
		return // it has left meanwhile
	}
	n.mu.Lock()
	first := n.paths.recordLost(target, n.cfg.Now())
	lost := n.paths.lost
	if first {
		n.counters.Lost++
	}
	n.mu.Unlock()
	if !first {
		return
	}
	silent := timedOut(cause)
	suspects := []ident.Instance{target.ID}
	if silent {
		suspects = upstreams
	}
	n.cfg.Direct.Suspect(suspects...)
	n.cfg.Log.Info("path to upstream lost", "upstream", target.ID, "reached_by", by, "cause", cause, "lost", lost, "all_doubtful", silent)
}

func (n *Network) recordWorks(upstream ident.Instance) {
	n.mu.Lock()
	since, others := n.paths.recordWorks(upstream)
	n.mu.Unlock()
	if !since.IsZero() {
		n.cfg.Log.Info("path to upstream works again", "upstream", upstream, "after_ms", n.cfg.Now().Sub(since).Milliseconds(), "others_doubtful", others)
	}
}

// recordDown records that no gateway reached an upstream.
func (n *Network) recordDown(upstream ident.Instance) {
	n.count(func() {
		n.counters.Down++
		n.paths.recordDown(upstream, n.cfg.Now())
	})
}

// Connect opens a connection over this gateway's own path, unless that is lost.
func (n *Network) Connect(ctx context.Context, target httpconn.Target) error {
	if n.Lost(target.ID) {
		return errPathLost
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return n.cfg.Direct.Connect(ctx, target, false)
}

// Run tries lost paths again, one at a time, until ctx ends.
func (n *Network) Run(ctx context.Context) {
	for sleep.For(ctx, retryInterval) {
		n.mu.Lock()
		target, lost := n.paths.anyLost()
		n.mu.Unlock()
		if lost {
			n.retry(target)
		}
	}
}

// Lost reports whether this gateway's path to an upstream is lost.
func (n *Network) Lost(upstream ident.Instance) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.paths.byUpstream[upstream]
	return p != nil && p.lost()
}

// CloseIdle closes the kept connections to an upstream on which another one went silent.
func (n *Network) CloseIdle(upstream ident.Instance) { n.cfg.Direct.CloseIdle(upstream) }

// Forget drops what is known of the path to an upstream that has left, and closes its kept
// connections.
func (n *Network) Forget(upstream ident.Instance) {
	n.count(func() { n.paths.forget(upstream) })
	n.cfg.Direct.Forget(upstream)
}

// Counters returns the counts so far.
func (n *Network) Counters() Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counters
	c.LostNow = n.paths.lost
	return c
}
