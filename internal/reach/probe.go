package reach

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/relay"
)

// retry tries a lost path again.
func (n *Network) retry(target httpconn.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), retryTimeout)
	defer cancel()
	if n.cfg.Direct.Connect(ctx, target, false) == nil {
		n.recordWorks(target.ID)
	}
}

// watch checks the path of an exchange that stays without any answer for a time, and returns how to
// stop that. A connection over a path that is cut takes a request without an error, and a call that
// may not be repeated would not show it before its deadline.
func (n *Network) watch(target httpconn.Target, after time.Duration) (stop func()) {
	answers := n.cfg.Direct.Answers(target.ID)
	timer := time.AfterFunc(min(max(after, minSilence), maxSilence), func() {
		if n.cfg.Direct.Answers(target.ID) != answers {
			return
		}
		n.mu.Lock()
		check := n.paths.mayVerify(target.ID, n.cfg.Now())
		n.mu.Unlock()
		if check {
			n.verify(target)
		}
	})
	return func() { timer.Stop() }
}

// verify checks a path, and asks other gateways if it fails.
func (n *Network) verify(target httpconn.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if err := n.cfg.Direct.Connect(ctx, target, false); err != nil && connectFailed(err) {
		n.askRelays(context.Background(), target, err)
	}
}

// Refuses reports whether the process of an upstream has ended: this gateway's connection is refused,
// and so is that of another one, if one can be asked. inDoubt: nothing has failed.
func (n *Network) Refuses(ctx context.Context, target httpconn.Target, inDoubt bool) bool {
	err := n.cfg.Direct.Connect(ctx, target, inDoubt)
	if err == nil {
		n.recordWorks(target.ID)
		return false
	}
	if !connectFailed(err) {
		return false
	}
	// The others have a time of their own: the own connection may have used up that of ctx.
	refused, asked := n.askRelays(context.WithoutCancel(ctx), target, err)
	if asked {
		return refused
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// askRelays asks other gateways whether they reach an upstream that this one does not, and records
// the answer. Whatever it is, kept connections to the upstream are doubtful. asked is set if one
// answered, and refused if connections are refused there too.
func (n *Network) askRelays(ctx context.Context, target httpconn.Target, direct error) (refused, asked bool) {
	n.mu.Lock()
	denied, refused := n.paths.denied(target.ID, n.cfg.Now())
	n.mu.Unlock()
	if denied {
		return refused, true
	}
	n.cfg.Direct.Suspect(target.ID)
	ctx, cancel := context.WithTimeout(ctx, relayCheckTimeout)
	defer cancel()
	order := n.order(target.ID)
	answers := make(chan relayAnswer, len(order))
	for _, by := range order {
		go func() { answers <- relayAnswer{by, n.cfg.Relay.Connect(ctx, by, target)} }()
	}
	for range order {
		answer := <-answers
		switch {
		case answer.err == nil:
			n.count(func() { n.relays.took(answer.by.Node, target.ID, n.cfg.Now()) })
			n.recordLost(target, answer.by.Node, direct)
			return false, true
		case errors.Is(answer.err, relay.ErrRefused):
			refused, asked = true, true
		case errors.Is(answer.err, relay.ErrNotReached):
			asked = true
		}
		n.count(func() { n.relays.doesNotReach(answer.by.Node, n.cfg.Now()) })
	}
	if asked {
		n.count(func() { n.paths.recordDenied(target.ID, refused, n.cfg.Now()) })
	}
	return refused, asked
}

// relayAnswer is what another gateway answers when it is asked whether it reaches an upstream: a nil
// error if it does.
type relayAnswer struct {
	by  gossip.Contact
	err error
}
