package configuration

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// applyRead applies the result of a read and returns the pause before the next
// read.
func (c *Controller) applyRead(result readResult) time.Duration {
	if errors.Is(result.err, platform.ErrExpired) {
		c.markReachable()
		c.reader.HandleExpired(result.batch.First)
		c.logger.Warn("configuration records expired in the log before they were read", "first_kept", result.batch.First)
		return c.nextBackoff()
	}
	if result.err != nil {
		c.markUnreachable(result.err)
		return c.nextBackoff()
	}
	c.markReachable()
	c.firstKept = result.batch.First
	before := c.reader.NextOffset()
	c.recordDecisions(c.reader.ApplyBatch(result.batch))
	if c.reader.AtHead() {
		c.ready = true
		c.backoff = 0
		return minPause
	}
	if c.reader.NextOffset() == before {
		return c.nextBackoff()
	}
	c.backoff = 0
	return 0
}

func (c *Controller) markReachable() {
	if !c.logReachable {
		c.logger.Info("platform's log is reachable")
	}
	c.logReachable = true
}

func (c *Controller) markUnreachable(err error) {
	metrics.readFailures.Add(1)
	if c.logReachable || !c.logFailed {
		c.logger.Warn("cannot read the configuration stream from the platform's log", "error", err)
	}
	c.logReachable = false
	c.logFailed = true
}

// nextBackoff returns the time to back off after a failed read. It doubles up
// to maxBackoff; its random half keeps processes whose reads failed at the same
// moment from retrying at the same moment.
func (c *Controller) nextBackoff() time.Duration {
	c.backoff = min(max(2*c.backoff, firstBackoff), maxBackoff)
	return c.backoff/2 + time.Duration(c.options.Random()*float64(c.backoff/2))
}

// recordDecisions logs and counts how each new record was decided.
func (c *Controller) recordDecisions(decisions []document.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case document.AcceptedRecord:
			metrics.accepted.Add(1)
			c.logger.Info("document accepted", "service", d.Publication.Service,
				"revision", d.CurrentRevision, "publish_id", d.Publication.PublishID)
		case document.RefusedRecord:
			metrics.refused.Add(1)
		case document.SnapshotRecord:
			c.lastSnapshot = seenSnapshot{covers: d.Covers, readAt: time.Now()}
		case document.UnreadableRecord:
			metrics.unreadable.Add(1)
		}
		if d.Problem != "" {
			c.logger.Error("configuration record has a problem", "offset", d.Offset, "problem", d.Problem)
		}
	}
	c.lastSnapshot.records += len(decisions)
}

// followPeers merges the records that the most advanced peer has and this
// process lacks.
func (c *Controller) followPeers(ctx context.Context) {
	if c.options.Peers == nil {
		return
	}
	peer, ok := c.options.Peers.HighestPeer()
	if !ok {
		return
	}
	if peer.Revision <= c.reader.State().CompleteThrough() {
		c.peerAheadSince = time.Time{}
	} else if c.shouldAskPeer() {
		c.merge(ctx, peer)
	}
	if peer.Revision <= c.reader.State().CompleteThrough() {
		c.readyFromPeers()
	}
}

// shouldAskPeer reports whether to ask the peer that is ahead: at once while
// the log is unreachable, otherwise after peerGrace.
func (c *Controller) shouldAskPeer() bool {
	if c.peerAheadSince.IsZero() {
		c.peerAheadSince = time.Now()
	}
	return !c.logReachable && c.logFailed || time.Since(c.peerAheadSince) >= peerGrace
}

func (c *Controller) merge(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	delta, err := c.options.Peers.GetDocuments(ctx, peer, c.reader.State().CompleteThrough())
	if err == nil {
		err = c.reader.Merge(delta)
	}
	if err != nil {
		metrics.mergeFailures.Add(1)
		c.logger.Warn("cannot get configuration documents from peer", "peer", peer.ID, "error", err)
		return
	}
	metrics.merges.Add(1)
	c.logger.Info("merged configuration documents from peer", "peer", peer.ID, "revision", c.reader.State().Revision())
}

// readyFromPeers makes a process ready that has caught up with its reachable
// peers while the log is down. A process without any document does not become
// ready this way, since its peers may be just as new.
func (c *Controller) readyFromPeers() {
	if !c.logReachable && c.logFailed && c.reader.State().Revision() > 0 {
		c.ready = true
	}
}

// publish updates the blackboard's sections and the shared progress. Documents
// stay empty until the process is ready, so that no caller is served with an
// older document than one that another instance has already used.
func (c *Controller) publish() {
	state := c.reader.State()
	if c.ready && (c.set == nil || c.set.Revision != state.Revision()) {
		c.set, c.problems = document.BuildSet(state, c.set, c.options.Schema)
		c.options.Documents.Publish(c.set)
		metrics.revision.Set(int64(state.Revision()))
	}
	health := blackboard.ConfigurationHealth{
		Ready:        c.ready,
		LogReachable: c.logReachable,
		Problem:      c.problem(),
	}
	if c.options.Health.Value() != health {
		c.options.Health.Publish(health)
		if health.Problem != "" && c.readTried() {
			c.logger.Warn("configuration has a problem", "ready", health.Ready, "problem", health.Problem)
		}
	}
	c.progress.Store(&progress{
		state:          state,
		newestSnapshot: c.lastSnapshot,
		firstKept:      c.firstKept,
		atHead:         c.ready && c.logReachable && c.reader.AtHead(),
	})
}

// readTried reports whether any read has ended. Before that, being not ready is
// no problem to log.
func (c *Controller) readTried() bool { return c.logReachable || c.logFailed }

// problem describes why the process is not ready and which records or documents
// it cannot use; it is empty if all is well.
func (c *Controller) problem() string {
	var all []string
	if !c.ready {
		all = append(all, c.notReady())
	}
	if p := c.reader.Problem(); p != "" && c.logReachable {
		all = append(all, p)
	}
	return strings.Join(append(all, c.problems...), "; ")
}

func (c *Controller) notReady() string {
	switch {
	case c.logReachable:
		return "reading the configuration stream"
	case c.logFailed:
		return "the platform's log does not answer and no reachable peer has documents"
	}
	return "the platform's log was not read yet"
}
