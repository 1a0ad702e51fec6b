package entry

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

// brokenListing is a store whose listing ends after its first page.
type brokenListing struct{ unchangingStore }

// Newest implements platform.KeyedLog.
func (s *brokenListing) Newest(_ context.Context, _ string, each func([]platform.KeyedRecord)) (platform.KeyedBatch, error) {
	each([]platform.KeyedRecord{{Key: "u1", Value: []byte("x"), Offset: 4}, {Key: "u2", Value: []byte("x"), Offset: 7}})
	return platform.KeyedBatch{}, platform.ErrUnavailable
}

// Guards against using a listing only after its last page: when all gateways were killed at
// once and started again among thousands of upstreams, the callers returned before them.
// All gateways listed the upstreams at the same time, each in several pages over a slow
// link, and each refused all requests for seconds although upstreams were idle.
func TestTheFirstPageOfAListingIsUsedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	ports := Ports{
		Store: &brokenListing{unchangingStore{now: &now}}, UpstreamsTopic: "upstreams",
		DecodeUpstream: func(_, name string, _ []byte) (directory.Upstream, finding.List) {
			return directory.Upstream{ID: ident.Instance(name), Name: ident.Instance(name), Service: "svc", Address: "127.0.0.1:1", State: directory.Ready}, nil
		},
	}
	b := newBoard()
	tracker := rollout.New(rollout.Config{Now: clock, Log: hclog.NewNullLogger(), OrdersKnown: clock, Gateways: func() int { return 1 }})
	u := newUpstreamsFollower(ports, b, announced.NewRegistry(announced.Config{Now: clock}), tracker, nil, clock, func() int { return 0 }, 3*time.Second, hclog.NewNullLogger())
	if err := u.read(t.Context()); err == nil {
		t.Fatal("the listing ended without an error")
	}
	if got := b.upstreams.Value().Count(); got != 2 {
		t.Errorf("%d upstreams are known, want those of the first page", got)
	}
	if _, age := u.state(); age < time.Hour {
		t.Errorf("the view counts as confirmed %v ago", age)
	}
}

// Guards against logging that is most of a gateway's work: thousands of entries that arrive
// together are logged in a few lines, which name some of those that leave.
func TestManyEntriesTogetherAreAFewLines(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	var log bytes.Buffer
	tracker := rollout.New(rollout.Config{Now: clock, Log: hclog.NewNullLogger(), OrdersKnown: clock, Gateways: func() int { return 1 }})
	u := newUpstreamsFollower(Ports{}, newBoard(), announced.NewRegistry(announced.Config{Now: clock}), tracker, httpconn.NewPool(clock), clock, func() int { return 0 }, 3*time.Second, hclog.New(&hclog.LoggerOptions{Output: &log}))
	update := directory.Update{UpTo: 4000}
	for i := range 3000 {
		up := directory.Upstream{ID: ident.Instance(fmt.Sprint("u", i)), Service: "svc", State: directory.Ready}
		if i == 7 {
			up.State = directory.Leaving
		}
		update.Records = append(update.Records, directory.Record{Name: up.ID, Offset: ident.Offset(i), Upstream: &up})
	}
	u.applyUpdate(update)
	if lines := strings.Count(log.String(), "\n"); lines != 1 || !strings.Contains(log.String(), "some_leaving=[\"u7\"]") {
		t.Errorf("%d lines: %.300s", lines, log.String())
	}
	log.Reset()
	u.applyUpdate(directory.Update{UpTo: 4001, Records: []directory.Record{{Name: "u9", Offset: 4000}}})
	if !strings.Contains(log.String(), "upstream entry removed: upstream=u9") {
		t.Errorf("a single change has no line of its own: %s", log.String())
	}
}
