package gossip

import (
	"cmp"
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Network carries requests to other gateways.
type Network interface {
	// Send sends a request to an address and returns the answer, or an error if it is not known to
	// be complete. It returns when ctx ends.
	Send(ctx context.Context, address string, request []byte) ([]byte, error)
}

// HTTPNetwork is a Network that uses HTTP/1.1 connections and reuses each for several exchanges.
type HTTPNetwork struct {
	Pool *httpconn.Pool
	// Path is the requests' URL path; "" means that of exchanges.
	Path string
}

// Send implements Network.
func (n HTTPNetwork) Send(ctx context.Context, address string, request []byte) ([]byte, error) {
	target := httpconn.Target{ID: ident.Instance(address), Address: address}
	answer, failure := n.Pool.Send(ctx, target, &httpconn.Request{Method: http.MethodPost, URI: cmp.Or(n.Path, exchangePath), Host: address, Body: request, ForGateway: true})
	if failure != nil {
		return nil, failure
	}
	defer answer.Close()
	data, err := httpconn.ReadAll(answer, completion.Undelimited, maxMessageBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read the answer of another gateway")
	}
	if answer.Status != http.StatusOK {
		return nil, errors.Errorf("%s answered with status %d", address, answer.Status)
	}
	return data, nil
}
