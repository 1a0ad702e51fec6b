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
func (s *brokenListing) Newest(_ context.Context, _ string, each func(platform.KeyedBatch)) (platform.KeyedBatch, error) {
	each(platform.KeyedBatch{Records: []platform.KeyedRecord{{Key: "u1", Value: []byte("x"), At: ident.NewPosition(0, 4)}, {Key: "u2", Value: []byte("x"), At: ident.NewPosition(0, 7)}}, End: ident.NewPosition(0, 8)})
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
		Store: &brokenListing{unchangingStore{now: &now}}, Eras: platform.NewEras(), UpstreamsTopic: "upstreams",
		DecodeUpstream: func(_, name string, _ []byte) (directory.Upstream, finding.List) {
			return directory.Upstream{ID: ident.Instance(name), Name: ident.Instance(name), Service: "svc", Address: "127.0.0.1:1", State: directory.Ready}, nil
		},
	}
	b := newBoard()
	tracker := rollout.New(rollout.Config{Now: clock, Log: hclog.NewNullLogger(), OrdersKnown: clock, Gateways: func() int { return 1 }})
	u := newUpstreamsFollower(ports, b, announced.NewRegistry(announced.Config{Now: clock}), []viewObserver{func(v *directory.View, _ time.Duration) { tracker.Observe(v) }}, func(time.Time) {}, nil, clock, func() int { return 0 }, 3*time.Second, time.Second, hclog.NewNullLogger())
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

// slowListing is a store whose listing takes a second for each page. u1 is dropped after the first
// page, and u2 leaves.
type slowListing struct {
	unchangingStore
	afterPage func(page int)
}

// Newest implements platform.KeyedLog.
func (s *slowListing) Newest(_ context.Context, _ string, each func(platform.KeyedBatch)) (platform.KeyedBatch, error) {
	all := platform.KeyedBatch{End: ident.NewPosition(0, 10)}
	for page, key := range []string{"u1", "u2", "u3", "u4", "u5"} {
		record := platform.KeyedRecord{Key: key, Value: []byte("ready"), At: ident.NewPosition(0, uint64(page))}
		all.Records = append(all.Records, record)
		each(platform.KeyedBatch{Records: []platform.KeyedRecord{record}, End: all.End})
		s.afterPage(page)
		*s.now = s.now.Add(time.Second)
	}
	return all, nil
}

// Follow implements platform.KeyedLog.
func (s *slowListing) Follow(_ context.Context, _ string, from ident.Position, _ time.Duration) (platform.KeyedBatch, error) {
	batch := platform.KeyedBatch{End: ident.NewPosition(0, 10)}
	if s.now.Sub(time.Unix(1000, 0)) >= time.Second {
		batch.End = ident.NewPosition(0, 12)
		for _, r := range []platform.KeyedRecord{{Key: "u1", At: ident.NewPosition(0, 10)}, {Key: "u2", Value: []byte("leaving"), At: ident.NewPosition(0, 11)}} {
			if !r.At.Before(from) {
				batch.Records = append(batch.Records, r)
			}
		}
	}
	return batch, nil
}

// Guards against requests that a gateway sends, for as long as its listing of thousands of upstreams
// takes, to upstreams that were dropped or began to leave since it read their page.
func TestChangesDuringAListingAreApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	store := &slowListing{unchangingStore: unchangingStore{now: &now}}
	ports := Ports{
		Store: store, Eras: platform.NewEras(), UpstreamsTopic: "upstreams",
		DecodeUpstream: func(_, name string, value []byte) (directory.Upstream, finding.List) {
			u := directory.Upstream{ID: ident.Instance(name), Name: ident.Instance(name), Service: "svc", Address: "127.0.0.1:1", State: directory.Ready}
			if string(value) == "leaving" {
				u.State = directory.Leaving
			}
			return u, nil
		},
	}
	b := newBoard()
	tracker := rollout.New(rollout.Config{Now: clock, Log: hclog.NewNullLogger(), OrdersKnown: clock, Gateways: func() int { return 1 }})
	u := newUpstreamsFollower(ports, b, announced.NewRegistry(announced.Config{Now: clock}), []viewObserver{func(v *directory.View, _ time.Duration) { tracker.Observe(v) }}, func(time.Time) {}, httpconn.NewPool(clock), clock, func() int { return 0 }, 2*time.Second, time.Second, hclog.NewNullLogger())
	check := func(page int) {
		view := b.upstreams.Value()
		_, listed := view.Upstream("u1")
		if u2, _ := view.Upstream("u2"); listed || u2.State != directory.Leaving {
			t.Errorf("after page %d: u1 is listed: %v, state of u2: %v", page, listed, u2.State)
		}
		if _, used := view.Upstream("u3"); !used && page >= 2 {
			t.Errorf("after page %d: u3 is not used yet", page)
		}
	}
	store.afterPage = func(page int) {
		if page >= 1 {
			check(page)
		}
	}
	if err := u.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	check(5)
}

// Guards against logging that is most of a gateway's work: thousands of entries that arrive
// together are logged in a few lines, which name some of those that leave.
func TestManyEntriesTogetherAreAFewLines(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	var log bytes.Buffer
	tracker := rollout.New(rollout.Config{Now: clock, Log: hclog.NewNullLogger(), OrdersKnown: clock, Gateways: func() int { return 1 }})
	u := newUpstreamsFollower(Ports{Eras: platform.NewEras()}, newBoard(), announced.NewRegistry(announced.Config{Now: clock}), []viewObserver{func(v *directory.View, _ time.Duration) { tracker.Observe(v) }}, func(time.Time) {}, httpconn.NewPool(clock), clock, func() int { return 0 }, 3*time.Second, time.Second, hclog.New(&hclog.LoggerOptions{Output: &log}))
	update := directory.Update{UpTo: ident.NewPosition(0, 4000)}
	for i := range 3000 {
		up := directory.Upstream{ID: ident.Instance(fmt.Sprint("u", i)), Service: "svc", State: directory.Ready}
		if i == 7 {
			up.State = directory.Leaving
		}
		update.Records = append(update.Records, directory.Record{Name: up.ID, At: ident.NewPosition(0, uint64(i)), Upstream: &up})
	}
	u.applyUpdate(update)
	if lines := strings.Count(log.String(), "\n"); lines != 1 || !strings.Contains(log.String(), "some_leaving=[\"u7\"]") {
		t.Errorf("%d lines: %.300s", lines, log.String())
	}
	log.Reset()
	u.applyUpdate(directory.Update{UpTo: ident.NewPosition(0, 4001), Records: []directory.Record{{Name: "u9", At: ident.NewPosition(0, 4000)}}})
	if !strings.Contains(log.String(), "upstream entry removed: upstream=u9") {
		t.Errorf("a single change has no line of its own: %s", log.String())
	}
}
