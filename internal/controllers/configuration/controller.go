// Package configuration publishes the configuration documents in force on the
// blackboard. It reads the configuration stream of the platform's log and,
// where the log is down or late, gets newer revisions from other processes. It
// never goes back to a lower revision.
package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

const (
	// readWait is how long a read waits for a record at the log's head.
	readWait = 4 * time.Second
	// readTimeout is added to readWait. A read that hangs longer, for
	// example on a connection that went silent, counts as failed. Together
	// they stay under the 12 s in which a change has to be in force.
	readTimeout = 2 * time.Second
	// readLimit bounds the records of one read.
	readLimit = 256
	// firstBackoff and maxBackoff bound the pause after a failed read.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// minPause between two reads at the head keeps this process from sending
	// reads in a tight loop to a log that answers at once instead of waiting
	// for a record.
	minPause = 50 * time.Millisecond
	// peerInterval is the time between two checks of the peers' revisions.
	peerInterval = 500 * time.Millisecond
	// peerGrace is how long a peer may be ahead before it is asked while the
	// log is reachable. Usually the log brings the same records sooner.
	peerGrace = time.Second
	// peerTimeout bounds one request to a peer.
	peerTimeout = 2 * time.Second
)

// Options holds the parameters and dependencies of a Controller.
type Options struct {
	// Instance sets this process's delay before it writes a snapshot, so that
	// not all processes write one at the same time.
	Instance ident.Instance
	Log      platform.Log
	// Peers may be nil.
	Peers     PeerDocuments
	Documents *blackboard.Section[*document.Set]
	Health    *blackboard.Section[blackboard.ConfigurationHealth]
	Logger    hclog.Logger
	// Schema is the newest schema understood; 0 means
	// document.CurrentSchema.
	Schema int
	// Snapshots says when to write snapshots; the zero value means
	// DefaultSnapshotPolicy.
	Snapshots SnapshotPolicy
	// Random returns numbers in [0, 1) that spread retries; nil means
	// math/rand.
	Random func() float64
}

// Controller is the only writer of the sections Documents and Health. Create it
// with New.
type Controller struct {
	options Options
	logger  hclog.Logger
	// progress is the part of the state that other goroutines may read.
	progress atomic.Pointer[progress]
	snapshot snapshotWriter

	// Only the goroutine of Run uses the fields below.

	reader document.Reader
	// set is the last published set, nil before the process is ready.
	set *document.Set
	// problems describes the documents that could not be used in set.
	problems []string
	ready    bool
	// logReachable is whether the last read succeeded.
	logReachable bool
	// logFailed is whether any read has failed.
	logFailed bool
	// backoff is the last pause after a failed read, before jitter.
	backoff time.Duration
	// peerAheadSince is when a peer was first seen to be ahead; zero while none
	// is.
	peerAheadSince time.Time
	// firstKept is the oldest offset that the log keeps.
	firstKept    ident.Offset
	lastSnapshot seenSnapshot
}

// New returns a controller. Run starts it.
func New(options Options) *Controller {
	if options.Schema == 0 {
		options.Schema = document.CurrentSchema
	}
	if options.Snapshots == (SnapshotPolicy{}) {
		options.Snapshots = DefaultSnapshotPolicy
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	c := &Controller{options: options, logger: options.Logger.Named("configuration")}
	c.progress.Store(&progress{})
	return c
}

// State returns the configuration that this process knows, which may be
// incomplete before it is ready. It may be called by any goroutine.
func (c *Controller) State() document.State { return c.progress.Load().state }

// Revision returns the revision to announce to peers: the one up to which this
// process knows all records. It is not the revision in force, because records
// without effect don't raise that one, and so a peer that lacks expired records
// could not see which process has them. It may be called by any goroutine.
func (c *Controller) Revision() ident.Revision { return c.State().CompleteThrough() }

// Delta returns the configuration that a process lacks if it knows all records up
// to the revision above. It may be called by any goroutine.
func (c *Controller) Delta(above ident.Revision) document.Delta { return c.State().Delta(above) }

// readResult is the result of one read of the log.
type readResult struct {
	batch platform.Batch
	err   error
}

// Run follows the log and the peers until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var readers sync.WaitGroup
	defer readers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	results := make(chan readResult, 1)
	read := func() {
		from, wait := c.reader.NextOffset(), c.headWait()
		readers.Go(func() { results <- c.read(ctx, from, wait) })
	}
	peers := time.NewTicker(peerInterval)
	defer peers.Stop()
	retry := time.NewTimer(0)
	defer retry.Stop()
	c.lastSnapshot.readAt = time.Now()
	c.publish()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-retry.C:
			read()
		case result := <-results:
			retry.Reset(c.applyRead(result))
		case <-peers.C:
			c.followPeers(ctx)
		}
		c.publish()
	}
}

// headWait returns how long the next read waits for records at the head. It is
// zero until the process is ready, so that it learns quickly whether the log is
// down.
func (c *Controller) headWait() time.Duration {
	if c.ready {
		return readWait
	}
	return 0
}

func (c *Controller) read(ctx context.Context, from ident.Offset, wait time.Duration) readResult {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	metrics.reads.Add(1)
	batch, err := c.options.Log.Read(ctx, document.StreamName, from, readLimit, wait)
	return readResult{batch, err}
}
