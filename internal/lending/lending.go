package lending

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// askTimeout bounds a request for a loan to one gateway, including one that is passed on. Gateways
	// are about 1 ms apart, and a caller waits for it.
	askTimeout = 60 * time.Millisecond
	// relayTimeout bounds a request that is passed on.
	relayTimeout = askTimeout / 2
	// silencePause is how long a gateway that didn't answer is not asked again.
	silencePause = 250 * time.Millisecond
	// logInterval is the shortest time between two log lines on tokens that are handed on.
	logInterval = time.Second
)

// Network reaches the other gateways.
type Network interface {
	// AskForLoan sends an encoded request to a gateway and returns its encoded answer.
	AskForLoan(ctx context.Context, keeper gossip.Contact, request []byte) ([]byte, error)
	// Refuses reports whether a gateway's address refuses connections: its process has ended.
	Refuses(ctx context.Context, keeper gossip.Contact) bool
	// MarkUnreachable records that a gateway's process has ended.
	MarkUnreachable(keeper gossip.Contact, now time.Time)
}

// Config configures a Lending. All fields are required.
type Config struct {
	Self    ident.Instance
	Now     boottime.Clock
	Log     hclog.Logger
	Network Network
	// Limiter decides on loans from the pools that this gateway keeps.
	Limiter *quota.Limiter
	// Account returns the limit of an account, or nil if it isn't configured.
	Account func(ident.ClientAccount) *routetable.Account
}

// Counters are totals since the start.
type Counters struct {
	// Asked counts the requests for loans that this gateway sent, Failed those without an answer of a
	// keeper. Answered counts those of other gateways, Relayed those of them that it passed on.
	Asked, Failed, Answered, Relayed int64
}

// Lending connects this gateway's limiter with the others'. It implements quota.Lender and is safe
// for concurrent use.
type Lending struct {
	cfg     Config
	keepers atomic.Pointer[Keepers]

	asked, failed, answered, relayed, turn atomic.Int64

	mu sync.Mutex
	// silentUntil holds the gateways that didn't answer and until when they are not asked.
	silentUntil map[ident.Instance]time.Time
	// givenBackLines bounds the log lines on tokens that are handed to another gateway.
	givenBackLines logthrottle.Throttle
}

// New returns a Lending that knows no keepers.
func New(cfg Config) *Lending {
	l := &Lending{cfg: cfg, silentUntil: make(map[ident.Instance]time.Time)}
	l.keepers.Store(NewKeepers(nil))
	return l
}

// SetKeepers replaces the gateways that keep pools, and logs a change.
func (l *Lending) SetKeepers(k *Keepers) {
	before := l.keepers.Swap(k)
	if !slices.Equal(before.hashes, k.hashes) {
		l.cfg.Log.Info("gateways that keep pools", "count", len(k.contacts), "before", len(before.contacts), "nodes", k.nodes())
	}
}

// KeeperShare implements quota.Lender.
func (l *Lending) KeeperShare(account ident.ClientAccount) float64 {
	keepers := l.keepers.Load().Of(account)
	for _, k := range keepers {
		if k.Node == l.cfg.Self {
			return 1 / float64(len(keepers))
		}
	}
	return 0
}

// Borrow implements quota.Lender.
func (l *Lending) Borrow(request quota.LoanRequest) (quota.LoanAnswer, error) {
	l.asked.Add(1)
	answer, err := quota.BorrowFrom(l.order(request.Account), request, l.askOne)
	if err != nil {
		l.failed.Add(1)
	}
	return answer, err
}

// GiveBack implements quota.Lender.
func (l *Lending) GiveBack(account ident.ClientAccount, amount float64) {
	go func() {
		_, err := l.Borrow(quota.LoanRequest{Account: account, Returned: amount})
		l.logGivenBack(account, amount, err)
	}()
}

// logGivenBack logs that tokens were handed to another gateway, unless that was logged within
// logInterval: when a gateway comes or goes, many accounts' pools move.
func (l *Lending) logGivenBack(account ident.ClientAccount, amount float64, err error) {
	l.mu.Lock()
	unlogged, ok := l.givenBackLines.Pass(l.cfg.Now(), logInterval)
	l.mu.Unlock()
	if ok {
		l.cfg.Log.Info("tokens handed to another gateway", "pool", account, "amount", amount, "error", err, "unlogged", unlogged)
	}
}

// askOne asks one gateway within askTimeout. Each has its own time: if one that is cut off used up that
// of the other, callers would be refused though the other one lends.
func (l *Lending) askOne(keeper gossip.Contact, request quota.LoanRequest) (quota.LoanAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return l.ask(ctx, keeper, request, false)
}

// order returns the other gateways that keep a pool of an account, in the order in which they are asked
// now. It alternates, so that the pools empty evenly.
func (l *Lending) order(account ident.ClientAccount) []gossip.Contact {
	order := l.keepers.Load().Of(account)
	order = slices.DeleteFunc(order, func(c gossip.Contact) bool { return c.Node == l.cfg.Self || l.silent(c.Node) })
	if l.turn.Add(1)%2 == 0 {
		slices.Reverse(order)
	}
	return order
}

// ask asks one gateway for a loan. relayed is set if this gateway passes the request on.
func (l *Lending) ask(ctx context.Context, keeper gossip.Contact, request quota.LoanRequest, relayed bool) (quota.LoanAnswer, error) {
	data, err := encodeRequest(request, relayed)
	if err != nil {
		return quota.LoanAnswer{}, err
	}
	encoded, err := l.cfg.Network.AskForLoan(ctx, keeper, data)
	if err != nil {
		l.recordFailure(ctx, keeper, err)
		return quota.LoanAnswer{}, errors.Wrapf(err, "ask %s for a loan", keeper.Node)
	}
	answer, err := decodeAnswer(encoded)
	answer.Keeper = keeper.Node
	return answer, err
}

// silent reports whether a gateway didn't answer a moment ago.
func (l *Lending) silent(node ident.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cfg.Now().Before(l.silentUntil[node])
}

// recordFailure records that a keeper didn't answer. If its process has ended, another gateway takes
// over at once. If it is only silent it may still lend to others, so another one takes over when
// its reports stop arriving.
func (l *Lending) recordFailure(ctx context.Context, keeper gossip.Contact, err error) {
	ended := l.cfg.Network.Refuses(ctx, keeper)
	now := l.cfg.Now()
	if ended {
		l.cfg.Network.MarkUnreachable(keeper, now)
	}
	l.mu.Lock()
	first := !now.Before(l.silentUntil[keeper.Node])
	maps.DeleteFunc(l.silentUntil, func(_ ident.Instance, until time.Time) bool { return now.After(until) })
	l.silentUntil[keeper.Node] = now.Add(silencePause)
	l.mu.Unlock()
	if first {
		l.cfg.Log.Info("gateway that keeps a pool doesn't answer", "keeper", keeper.Node, "ended", ended, "error", err)
	}
}

// Serve answers another gateway's request for a loan. If this gateway doesn't keep the pool, it passes
// the request on once: while gateways come and go, their views differ for a moment.
func (l *Lending) Serve(ctx context.Context, data []byte) ([]byte, error) {
	request, relayed, err := decodeRequest(data)
	if err != nil {
		return nil, err
	}
	l.answered.Add(1)
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	account := l.cfg.Account(request.Account)
	if account == nil {
		return encodeAnswer(quota.LoanAnswer{}, true)
	}
	answer, err := l.cfg.Limiter.Lend(account, request, l.cfg.Now())
	if errors.Is(err, quota.ErrNotKeeper) && !relayed {
		answer, err = l.relay(ctx, request)
	}
	return encodeAnswer(answer, err != nil)
}

// relay passes another gateway's request on to one that keeps a pool.
func (l *Lending) relay(ctx context.Context, request quota.LoanRequest) (quota.LoanAnswer, error) {
	order := l.order(request.Account)
	if len(order) == 0 {
		return quota.LoanAnswer{}, quota.ErrNotKeeper
	}
	l.relayed.Add(1)
	return l.ask(ctx, order[0], request, true)
}

// Counters returns the totals since the start.
func (l *Lending) Counters() Counters {
	return Counters{Asked: l.asked.Load(), Failed: l.failed.Load(), Answered: l.answered.Load(), Relayed: l.relayed.Load()}
}
