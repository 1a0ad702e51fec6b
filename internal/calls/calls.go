// Package calls runs calls with an idempotency key. It runs each of them at most
// once, whichever gateways its caller tries and whatever fails meanwhile.
//
// The right to dispatch a call belongs to the first claim of its key in the
// platform's log (packages journal and fold). A gateway appends a claim, reads
// the log up to it, and dispatches the call only if the claim won. A claim
// never expires in favor of another holder; docs/design/calls.md describes how
// a claim changes its holder and what callers are told.
package calls

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Call is one attempt of a caller to run a call with an idempotency key.
type Call struct {
	Key     ident.CallKey
	Method  ident.Method
	Payload []byte
	// IssuedAt is the caller's clock time at which it first issued the key.
	// It is the same for every attempt.
	IssuedAt time.Time
	// Attempt counts from 1; 1 means that no earlier attempt was sent.
	Attempt uint32
	Request ident.Request
}

// isFirstAttempt reports whether this is the first attempt, so that no earlier
// one can have run the call.
func (c Call) isFirstAttempt() bool { return c.Attempt == 1 }

// Dispatcher sends calls to upstreams. Its methods are called concurrently.
type Dispatcher interface {
	// Pick chooses an upstream for a call and never one in exclude. ok is
	// false when there is none.
	Pick(ctx context.Context, call Call, exclude []ident.Instance) (target journal.Target, ok bool)
	// Invoke sends the call to the target once and never retries it.
	// upstream.MayHaveRun reports whether the call may have run in spite of the
	// error. When another incarnation serves the target's address, Invoke
	// must not send the call there: a new incarnation no longer knows which
	// fencing numbers are too old.
	Invoke(ctx context.Context, call Call, target journal.Target, fence ident.Fence) (upstream.Answer, error)
	// Find asks the target for the state of a key's call. It returns an error
	// unless the incarnation that the target names has answered. A fence above
	// 0 tells the target to reject calls of the key with a lower fencing
	// number.
	Find(ctx context.Context, key ident.CallKey, target journal.Target, fence ident.Fence) (upstream.FindResult, error)
}

// KeyedOutcome is a final outcome together with the claim and the request that it
// belongs to.
type KeyedOutcome struct {
	journal.Head
	// Kind is Completed or Failed.
	Kind    outcome.Kind
	Payload []byte
}

// HandedCall is a call that a leaving gateway hands over to a peer. The leaving
// gateway will never dispatch it.
type HandedCall struct {
	Call
	// Claim is the leaving gateway's claim, which no longer owns the key once
	// its release is in the journal.
	Claim  journal.ClaimID
	Digest journal.Digest
	// Remaining is how long the peer may take to claim and dispatch the call.
	Remaining time.Duration
}

// HandOver is what a leaving gateway sends to a peer: calls that it will not
// dispatch, and outcomes that the journal may not have yet.
type HandOver struct {
	Calls    []HandedCall
	Outcomes []KeyedOutcome
}

// PeerAnswer is what a peer knows about a key.
type PeerAnswer struct {
	// Outcome is nil when the peer knows no final outcome.
	Outcome *KeyedOutcome
	// Running reports that the peer has dispatched the call and waits for
	// the upstream's answer.
	Running bool
}

// Peer is another gateway.
type Peer interface {
	ID() ident.Instance
	// PutOutcomes stores copies of outcomes at the peer.
	PutOutcomes(ctx context.Context, outcomes []KeyedOutcome) error
	// FindOutcome asks the peer what it knows about a key.
	FindOutcome(ctx context.Context, key ident.CallKey) (PeerAnswer, error)
	// HandOver returns the claims of the calls that the peer accepted. An error
	// that matches ErrNotHanded means that the peer accepted nothing of h and
	// never will; after any other error it may have accepted everything.
	HandOver(ctx context.Context, h HandOver) ([]journal.ClaimID, error)
}

// Peers lists the other gateways.
type Peers interface {
	// Candidates returns the peers believed alive, those in other failure
	// domains first.
	Candidates() []Peer
}

// noPeers is the Peers of a gateway without peers.
type noPeers struct{}

func (noPeers) Candidates() []Peer { return nil }

// Limits are the time and size limits of a Coordinator. Zero fields get
// defaults.
type Limits struct {
	// AppendInterval is the shortest time between the starts of two appends
	// of a partition. Records that are queued meanwhile go into one append.
	AppendInterval time.Duration
	// AppendTimeout bounds one append. An append that timed out may still
	// take effect.
	AppendTimeout time.Duration
	// SlowAfter is how long an append may run before new calls are refused
	// at once.
	SlowAfter time.Duration
	// ClaimWait bounds how long a call waits to learn that it owns its key.
	ClaimWait time.Duration
	// MaxBatch is the largest number of records in one append.
	MaxBatch int
	// MaxQueue is the number of queued records of a partition at which new
	// claims are refused.
	MaxQueue int
	// MaxPayload is the largest answer that the journal stores, in bytes.
	MaxPayload int
	// MaxTargets is how many upstreams one attempt may try. It tries the
	// next one only when the previous one ran nothing.
	MaxTargets int
	// SettleAfter is how old a claim must be before another gateway asks the
	// upstream about the call. It only saves requests; correctness does not
	// depend on it.
	SettleAfter time.Duration
	// MarkEvery is how long a partition may be without new records before a
	// mark is appended.
	MarkEvery time.Duration
	// PeerTimeout bounds one request to a peer, or one Find at an upstream.
	PeerTimeout time.Duration
	// CallTimeout bounds a dispatched call whose method has no timeout.
	CallTimeout time.Duration
}

// withDefaults returns l with its zero fields set to the defaults.
func (l Limits) withDefaults() Limits {
	defaults := Limits{
		AppendInterval: 50 * time.Millisecond,
		AppendTimeout:  2 * time.Second,
		SlowAfter:      time.Second,
		ClaimWait:      4 * time.Second,
		MaxBatch:       500,
		MaxQueue:       5000,
		MaxPayload:     64 << 10,
		MaxTargets:     3,
		SettleAfter:    2 * time.Second,
		MarkEvery:      5 * time.Minute,
		PeerTimeout:    500 * time.Millisecond,
		CallTimeout:    30 * time.Second,
	}
	setDefault(&l.AppendInterval, defaults.AppendInterval)
	setDefault(&l.AppendTimeout, defaults.AppendTimeout)
	setDefault(&l.SlowAfter, defaults.SlowAfter)
	setDefault(&l.ClaimWait, defaults.ClaimWait)
	setDefault(&l.MaxBatch, defaults.MaxBatch)
	setDefault(&l.MaxQueue, defaults.MaxQueue)
	setDefault(&l.MaxPayload, defaults.MaxPayload)
	setDefault(&l.MaxTargets, defaults.MaxTargets)
	setDefault(&l.SettleAfter, defaults.SettleAfter)
	setDefault(&l.MarkEvery, defaults.MarkEvery)
	setDefault(&l.PeerTimeout, defaults.PeerTimeout)
	setDefault(&l.CallTimeout, defaults.CallTimeout)
	return l
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Config holds the dependencies of a Coordinator. All fields but Peers, Limits
// and Logger are required.
type Config struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Log         platform.Log
	Dispatcher  Dispatcher
	Peers       Peers
	// Documents holds the services' documents, which say whether upstreams
	// check fencing numbers and can find outcomes.
	Documents *blackboard.Section[*document.Set]
	// Health has the Coordinator as its only writer.
	Health *blackboard.Section[blackboard.JournalHealth]
	Limits Limits
	Logger hclog.Logger
}

// Coordinator runs the calls of one gateway. Create it with New, and keep Run
// running until Stop has returned. Its methods may be called concurrently.
type Coordinator struct {
	cfg        Config
	limits     Limits
	log        hclog.Logger
	partitions [journal.Partitions]*partition

	stopping atomic.Bool
	// healthMu serializes publications of Health.
	healthMu sync.Mutex
	// work counts the goroutines that outlive their callers; workCtx is
	// cancelled when Run ends. workMu guards workEnded; once that is set, no
	// such goroutine starts.
	workMu     sync.Mutex
	workEnded  bool
	work       sync.WaitGroup
	workCtx    context.Context
	cancelWork context.CancelFunc
}

// New returns a Coordinator. It refuses all calls until Run has read the
// journal.
func New(cfg Config) *Coordinator {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Peers == nil {
		cfg.Peers = noPeers{}
	}
	c := &Coordinator{
		cfg:    cfg,
		limits: cfg.Limits.withDefaults(),
		log:    cfg.Logger.Named("calls"),
	}
	c.workCtx, c.cancelWork = context.WithCancel(context.Background())
	for i := range c.partitions {
		c.partitions[i] = newPartition(i, c)
	}
	return c
}

// Run reads and writes the journal until ctx ends. It then cancels all calls
// that still run and always returns nil.
func (c *Coordinator) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	for _, p := range c.partitions {
		loops.Go(func() { p.readLoop(ctx) })
		loops.Go(func() { p.commitLoop(ctx) })
		loops.Go(func() { p.maintainLoop(ctx) })
	}
	loops.Wait()
	c.endWork()
	return nil
}

// partition returns the partition that holds a key.
func (c *Coordinator) partition(key ident.CallKey) *partition {
	return c.partitions[journal.Partition(key)]
}
