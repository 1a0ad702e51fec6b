package connectplatform

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/cloud"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/instances"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/weights"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// shortTimeout replaces the adapter's timeouts where no answer ever comes.
const shortTimeout = 100 * time.Millisecond

// newRelayedClient returns a client that reaches its platform through a relay.
func newRelayedClient(t *testing.T, options transport.Options) (*Client, *testkit.Relay) {
	t.Helper()
	mux := http.NewServeMux()
	Mount(mux, Services{
		Log:       logstore.New(logstore.Options{}),
		Instances: instances.New(0),
		Cloud:     cloud.New(cloud.Options{}),
		Weights:   weights.New(weights.Options{BytesPerSecond: 1}),
	})
	relay := testkit.NewRelay(t, testkit.Serve(t, mux))
	client := transport.NewClient(options)
	t.Cleanup(client.CloseIdleConnections)
	return NewClient(client, relay.URL()), relay
}

// A kept connection goes silent while new ones work, and a request without a deadline
// is sent on it. Without a timeout of the adapter's own, a reader, a writer or a
// watcher of notices would hang for good. An append that ends without an answer must
// not be reported as refused.
func TestRequestsOverASilentConnectionEnd(t *testing.T) {
	cases := []struct {
		story   string
		request func(context.Context, *Client) error
		want    error
	}{
		{"append", func(ctx context.Context, c *Client) error {
			_, err := c.Append(ctx, "s", [][]byte{{1}})
			return err
		}, platform.ErrAnswerLost},
		{"read", func(ctx context.Context, c *Client) error {
			_, err := c.Read(ctx, "s", 0, 1, 0)
			return err
		}, platform.ErrUnavailable},
		{"list", func(ctx context.Context, c *Client) error {
			_, err := c.List(ctx)
			return err
		}, platform.ErrUnavailable},
		{"start", func(ctx context.Context, c *Client) error {
			_, err := c.Start(ctx, platform.StartRequest{StartID: "s-1"})
			return err
		}, platform.ErrAnswerLost},
		{"stop", func(ctx context.Context, c *Client) error {
			return c.Stop(ctx, "e-1", 0)
		}, platform.ErrAnswerLost},
		{"notices", func(ctx context.Context, c *Client) error {
			_, err := c.Notices(ctx, 0)
			return err
		}, platform.ErrUnavailable},
		{"reserve", func(ctx context.Context, c *Client) error {
			_, err := c.Reserve(ctx, "m", "1")
			return err
		}, platform.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			client, relay := newRelayedClient(t, transport.Options{})
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
			defer cancel()
			if err := c.request(ctx, client); err != nil {
				t.Fatal(err)
			}
			relay.Silence()
			client.timeout, client.readGrace = shortTimeout, shortTimeout
			if err := c.request(ctx, client); !errors.Is(err, c.want) || ctx.Err() != nil {
				t.Errorf("on the silent connection: got %v, want %v", err, c.want)
			}
			client.timeout, client.readGrace = requestTimeout, readGrace
			if err := c.request(ctx, client); err != nil {
				t.Errorf("the next request, on a new connection: %v", err)
			}
		})
	}
}

// A client that dials a connection for each request is not affected by silent
// connections. With kept connections, each silence would cost an append's timeout and a
// search for its record.
func TestFreshConnectionsAvoidSilentOnes(t *testing.T) {
	client, relay := newRelayedClient(t, transport.Options{FreshConnections: true})
	for _, text := range []string{"a", "b", "c"} {
		if _, err := client.Append(t.Context(), "s", [][]byte{[]byte(text)}); err != nil {
			t.Error(err)
		}
		relay.Silence()
	}
	batch, err := client.Read(t.Context(), "s", 0, 10, 0)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range batch.Records {
		got = append(got, string(r.Data))
	}
	if want := []string{"a", "b", "c"}; !cmp.Equal(got, want) {
		t.Errorf("the log holds %v, want %v", got, want)
	}
}
