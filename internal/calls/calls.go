// Package calls runs calls that must not be repeated: each at most once,
// whichever gateways its caller tries and whatever fails meanwhile.
//
// The right to dispatch a call belongs to the first claim of its key in the
// platform's log (packages journal and fold). A gateway appends a claim, reads
// the log up to it, and dispatches only if the claim won. A claim never passes
// to somebody else because time went by; docs/design/calls.md tells how it
// moves and what callers are told.
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

// Call is one attempt of a caller at a call that must not be repeated.
type Call struct {
	Key     ident.CallKey
	Method  ident.Method
	Payload []byte
	// IssuedAt is when the caller first issued the key, by its own clock. It
	// is the same for every attempt.
	IssuedAt time.Time
	// Attempt counts from 1, which says that no earlier attempt was sent.
	Attempt uint32
	Request ident.Request
}

// isFirstAttempt reports whether no earlier attempt can have run the call.
func (c Call) isFirstAttempt() bool { return c.Attempt == 1 }

// Dispatcher reaches upstreams for calls. Its methods are used concurrently.
type Dispatcher interface {
	// Pick chooses the upstream for a call, none of exclude. ok is false
	// when there is none.
	Pick(ctx context.Context, call Call, exclude []ident.Instance) (target journal.Target, ok bool)
	// Invoke sends the call to the target, once, and never repeats it by
	// itself. upstream.Ran tells what an error means. When the target's
	// address is served by another incarnation, Invoke must not send the
	// call there: a new incarnation has forgotten which fences are too old.
	Invoke(ctx context.Context, call Call, target journal.Target, fence ident.Fence) (upstream.Answer, error)
	// Find asks the target what became of a key. It fails unless the answer
	// comes from the very incarnation of the target.
	Find(ctx context.Context, key ident.CallKey, target journal.Target, fence ident.Fence) (upstream.FindResult, error)
}

// KeyedOutcome is a final outcome with what is needed to tell whose it is.
type KeyedOutcome struct {
	journal.Head
	// Kind is Completed or Failed.
	Kind    outcome.Kind
	Payload []byte
}

// HandedCall is a call that its former holder has given up and will never
// dispatch.
type HandedCall struct {
	Call
	// Claim that the former holder gave up.
	Claim  journal.ClaimID
	Digest journal.Digest
	// Remaining is how long the new holder may take to dispatch it.
	Remaining time.Duration
}

// HandOver is what a leaving gateway gives to a peer.
type HandOver struct {
	Calls    []HandedCall
	Outcomes []KeyedOutcome
}

// PeerAnswer is what a peer knows of a key.
type PeerAnswer struct {
	// Outcome is nil when the peer knows no final outcome.
	Outcome *KeyedOutcome
	// Running: the peer itself has dispatched the call and waits for it.
	Running bool
}

// Peer is another gateway.
type Peer interface {
	ID() ident.Instance
	PutOutcomes(ctx context.Context, outcomes []KeyedOutcome) error
	FindOutcome(ctx context.Context, key ident.CallKey) (PeerAnswer, error)
	// HandOver returns the claims that the peer took. An error that matches
	// ErrNotHanded says that the peer took nothing and never will; after
	// any other it may have taken everything.
	HandOver(ctx context.Context, h HandOver) ([]journal.ClaimID, error)
}

// Peers knows the other gateways.
type Peers interface {
	// Candidates returns the peers believed alive, those of other failure
	// domains first.
	Candidates() []Peer
}

// noPeers is used by a gateway that is alone.
type noPeers struct{}

func (noPeers) Candidates() []Peer { return nil }

// Limits bounds what a Coordinator uses. Zero fields get defaults.
type Limits struct {
	// AppendInterval is the least time between two appends of a partition:
	// what comes meanwhile goes into one.
	AppendInterval time.Duration
	// AppendTimeout bounds one append; what is not answered by then may
	// still take effect.
	AppendTimeout time.Duration
	// SlowAfter: while an append takes longer, new calls are refused at once.
	SlowAfter time.Duration
	// ClaimWait bounds how long a call waits to learn that it owns its key.
	ClaimWait time.Duration
	// MaxBatch is the most records of one append.
	MaxBatch int
	// MaxQueue is the most records that wait for an append.
	MaxQueue int
	// MaxPayload is the largest answer that the journal keeps, in bytes.
	MaxPayload int
	// MaxTargets is how many upstreams one attempt tries, the next one only
	// when the last one said that nothing ran.
	MaxTargets int
	// SettleAfter is how old a claim must be before another gateway asks the
	// upstream about it. It only saves work: no promise rests on it.
	SettleAfter time.Duration
	// MarkEvery is how long a partition may be silent before a mark is
	// appended.
	MarkEvery time.Duration
	// PeerTimeout bounds one question to a peer or an upstream.
	PeerTimeout time.Duration
	// CallTimeout bounds a call whose method names no timeout.
	CallTimeout time.Duration
}

// withDefaults fills zero fields.
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

// Config is what a Coordinator needs. All fields but Peers, Limits and Logger
// are required.
type Config struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Log         platform.Log
	Dispatcher  Dispatcher
	Peers       Peers
	// Documents tells what the upstreams of a service can be trusted with.
	Documents *blackboard.Section[*document.Set]
	// Health is written by the Coordinator alone.
	Health *blackboard.Section[blackboard.JournalHealth]
	Limits Limits
	Logger hclog.Logger
}

// Coordinator runs the calls of one gateway. Create it with New, and let Run
// go on until after Stop has returned.
type Coordinator struct {
	cfg        Config
	limits     Limits
	log        hclog.Logger
	partitions [journal.Partitions]*partition

	stopping atomic.Bool
	// healthMu orders the publications of Health.
	healthMu sync.Mutex
	// work counts the goroutines that calls leave behind; workCtx ends them
	// when Run ends. workMu guards workEnded: no work begins after it is set.
	workMu     sync.Mutex
	workEnded  bool
	work       sync.WaitGroup
	workCtx    context.Context
	cancelWork context.CancelFunc
}

// New returns a Coordinator that serves nothing until Run.
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

// Run reads and writes the journal until ctx ends.
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

// partition returns the partition of a key.
func (c *Coordinator) partition(key ident.CallKey) *partition {
	return c.partitions[journal.Partition(key)]
}
