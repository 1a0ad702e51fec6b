package forward

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// closingTime is how long after the end of an answer its upstream's process is probed. The kernel
// closes the connections of a process that ends one by one, and its listener with them or last;
// until then it makes new connections.
const closingTime = 5 * time.Millisecond

// probeTimeout bounds the probe of an upstream that broke an answer off. A host whose
// process has ended refuses connections at once; a host that is cut off does not respond.
const probeTimeout = 100 * time.Millisecond

// processEnded probes whether the upstream's process has ended, and not just one of its
// connections. It takes closingTime and at most probeTimeout more. inDoubt: nothing has failed yet.
func (f *Forwarder) processEnded(ctx context.Context, target httpconn.Target, inDoubt bool) bool {
	refused, _, _ := f.probes.Do(string(target.ID), func() (any, error) {
		// A caller that goes away must not cancel the probe that other calls wait for.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.probeAfter+probeTimeout)
		defer cancel()
		sleep.For(ctx, f.probeAfter)
		return f.cfg.Network.Refuses(ctx, target, inDoubt), nil
	})
	return refused.(bool)
}

// upstreamEnded reports whether the process of the attempt's upstream has ended, and records that
// once. It probes, unless it has already found the end. inDoubt: the attempt has not failed.
func (s *session) upstreamEnded(choice Choice, inDoubt bool) bool {
	if s.ended.Process != completion.NotKnown {
		return true
	}
	if !s.f.processEnded(s.ctx, choice.target(), inDoubt) {
		return false
	}
	s.ended.Process = completion.EndedAsAnnounced
	if s.f.cfg.Placement.UpstreamEnded(choice) {
		s.ended.Process = completion.EndedUnexpectedly
	}
	return true
}

// doubtEnd finds out whether the upstream's process has ended, where nothing else could tell
// whether the last answer is complete, and only if something speaks for it: the process also closes
// its other connections then, or the request is suspected of ending upstreams. An upstream that goes
// on gets no connection for that, and its answer is completed at once.
func (s *session) doubtEnd(choice Choice, answer *httpconn.Answer) {
	if s.ended.DependsOnProcess() && (len(s.call.FeaturesKnownTo(s.f.cfg.Guard)) > 0 || s.f.suspects(answer)) {
		s.upstreamEnded(choice, true)
	}
}
