package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

var (
	// ErrNotSent: the other gateway sent nothing to the upstream.
	ErrNotSent = errors.New("the other gateway did not send the request")
	// ErrUnknownSender: the other gateway does not know this one. It wraps ErrNotSent.
	ErrUnknownSender = errors.WithMessage(ErrNotSent, "it does not know this gateway")
	// ErrNotReached: the other gateway does not reach the upstream either. It wraps ErrNotSent.
	ErrNotReached = errors.WithMessage(ErrNotSent, "it does not reach the upstream")
	// ErrRefused: the upstream's host refuses the other gateway's connections too.
	ErrRefused = errors.WithMessage(ErrNotReached, "connections are refused")
	// ErrNoAnswer: the other gateway may have sent the request, and got no valid answer.
	ErrNoAnswer = errors.New("the other gateway got no valid answer")
)

// hopDialTimeout bounds a connection attempt to another gateway. Gateways are some milliseconds
// apart.
const hopDialTimeout = 100 * time.Millisecond

// Client passes requests to other gateways.
type Client struct {
	Self ident.Instance
	Pool *httpconn.Pool
}

// Send sends a request to the target through another gateway. Its failures tell whether the
// request may have been sent to the upstream, as those of httpconn.Pool.Send; one that was not sent
// wraps ErrNotSent if the other gateway said so.
func (c *Client) Send(ctx context.Context, by gossip.Contact, target httpconn.Target, id ident.Request, timeLeft time.Duration, req *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	message := request{From: c.Self, Upstream: target.ID, Address: target.Address, TimeLeft: timeLeft, ID: id, HTTP: *req}
	answer, failure := c.exchange(ctx, by, &message, req.BeforeSend)
	if failure != nil {
		return nil, failure
	}
	outcome, reason := answer.Header.Get(fieldOutcome), answer.Header.Get(fieldReason)
	if outcome == "" && answer.Status == http.StatusNotFound {
		outcome, reason = outcomeNotSent, "it relays nothing" // a gateway of an older build
	}
	if outcome != outcomeAnswer {
		answer.Close()
		return nil, failureOf(outcome, reason, by)
	}
	answer.Header.Del(fieldOutcome)
	answer.Header.Del("Keep-Alive") // that of the connection to the gateway
	if length := answer.Header.Get(fieldLength); length != "" {
		answer.Header.Set("Content-Length", length)
		answer.Header.Del(fieldLength)
	}
	answer.Relayed = &httpconn.RelayedEnd{By: by.Node, Ended: endReader(answer.Status)}
	return answer, nil
}

// Connect asks another gateway to open a connection to the target. It returns nil if that was made,
// an error that wraps ErrNotReached if not, and another error if the gateway does not know or say.
func (c *Client) Connect(ctx context.Context, by gossip.Contact, target httpconn.Target) error {
	message := request{From: c.Self, Upstream: target.ID, Address: target.Address, ConnectOnly: true}
	answer, failure := c.exchange(ctx, by, &message, nil)
	if failure != nil {
		return failure
	}
	defer answer.Close()
	outcome := answer.Header.Get(fieldOutcome)
	if outcome == outcomeConnected {
		return nil
	}
	return failureOf(outcome, answer.Header.Get(fieldReason), by).Err
}

func (c *Client) exchange(ctx context.Context, by gossip.Contact, message *request, beforeSend func() error) (*httpconn.Answer, *httpconn.Failure) {
	body, err := message.encode()
	if err != nil {
		return nil, &httpconn.Failure{Stage: httpconn.StageConnect, Err: err}
	}
	header := http.Header{"Content-Type": {"application/x-protobuf"}}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
	target := httpconn.Target{ID: ident.Instance(by.Address), Address: by.Address, DialTimeout: hopDialTimeout}
	return c.Pool.Send(ctx, target, &httpconn.Request{Method: http.MethodPost, URI: Path, Host: by.Address, Header: header, Body: body, BeforeSend: beforeSend})
}

// failureOf returns the failure that an outcome other than an answer means.
func failureOf(outcome, reason string, by gossip.Contact) *httpconn.Failure {
	err, sent := ErrNoAnswer, true
	switch outcome {
	case outcomeNotSent:
		err, sent = ErrNotSent, false
	case outcomeUnknownSender:
		err, sent = ErrUnknownSender, false
	case outcomeNotReached:
		err, sent = ErrNotReached, false
	case outcomeRefused:
		err, sent = ErrRefused, false
	}
	stage := httpconn.StageConnect
	if sent {
		stage = httpconn.StageHeader
	}
	return &httpconn.Failure{Stage: stage, MaybeSent: sent, Err: errors.WithMessagef(err, "through %s: %s", by.Node, reason)}
}

// endReader returns how the end of an answer is read from the relayed answer's trailer.
func endReader(status int) func(http.Header) (completion.End, bool) {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		// There is no body, and so no trailer.
		return func(http.Header) (completion.End, bool) {
			return completion.End{Framing: completion.ByLength, Ending: completion.AtFrame}, false
		}
	}
	return func(trailer http.Header) (completion.End, bool) {
		end, worthAsking, ok := decodeEnd(trailer.Get(fieldEnd))
		if !ok {
			// Without it nobody says that the upstream completed the answer.
			return completion.End{Framing: completion.ByChunks, Ending: completion.NotEnded}, false
		}
		return end, worthAsking
	}
}
