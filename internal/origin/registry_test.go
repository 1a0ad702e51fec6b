package origin

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Guards against a gateway that has just started, is refused by the store, and takes the entries that
// another one sends for all that were ever listed: it read the history before it knew any entry.
func TestWhatWasListedEarlierTellsNothingWithoutWhatIsListedNow(t *testing.T) {
	now, reads := start, 0
	listedEarlier := []Origin(nil)
	r := NewRegistry(Config{
		Now: func() time.Time { return now }, Log: hclog.NewNullLogger(), ViewAge: func() time.Duration { return 0 }, Refresh: func(context.Context) bool { return true }, Beginnings: &simBeginnings{}, OnBegun: func() {},
		Earlier: func(context.Context, time.Duration) (Earlier, error) {
			reads++
			return Earlier{Listed: listedEarlier, For: time.Hour}, nil
		},
	})
	q := Question{Stream: Stream{"acct", "first"}, Services: []ident.Service{"svc"}, Within: time.Minute}
	ask := func() Source {
		now = now.Add(2 * earlierInterval)
		return r.Find(t.Context(), q).Source
	}
	if got := ask(); got != NotKnown || reads > 0 {
		t.Fatalf("with no entries: %v after %d reads, want not_known and none", got, reads)
	}
	r.Observe(directory.NewView([]directory.Upstream{{ID: "u0", Service: "svc", SoftwareVersion: "v3"}}), 0)
	if got := ask(); got != NotKnown || reads > 0 {
		t.Errorf("with some entries: %v after %d reads, want not_known and none", got, reads)
	}
	r.MarkComplete(now)
	listedEarlier = []Origin{{"svc", "v2"}, {"svc", "v3"}}
	if got := ask(); got != NotKnown || reads != 1 {
		t.Errorf("with another version listed earlier: %v after %d reads, want not_known and one", got, reads)
	}
	now = now.Add(2 * time.Minute)
	if got := ask(); got != OnlyVersion {
		t.Errorf("long after the other version was gone: %v, want only_version", got)
	}
}

// Guards against a gateway that stood still, has not heard of the others since, and takes the one version
// that it knows for the only one because nobody disagrees; and against a gateway without any others that
// refuses streams while the store is away.
func TestAGatewayThatHearsOfNobodyKnowsNoOnlyVersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		hadPeers bool
		want     Source
	}{{"others were known", true, NotKnown}, {"there never were others", false, OnlyVersion}} {
		t.Run(c.name, func(t *testing.T) {
			now := start
			r := NewRegistry(Config{
				Now: func() time.Time { return now }, Log: hclog.NewNullLogger(), ViewAge: func() time.Duration { return 2 * maxViewAge }, Refresh: func(context.Context) bool { return false }, Beginnings: &simBeginnings{}, OnBegun: func() {},
				Earlier: func(context.Context, time.Duration) (Earlier, error) { return Earlier{}, context.DeadlineExceeded },
			})
			r.Observe(viewOf("v1"), 0)
			r.MarkComplete(now.Add(-time.Hour))
			if c.hadPeers {
				r.SetPeers([]Peer{{Node: "gw1"}})
				r.SetPeers(nil)
			}
			now = now.Add(2 * startPeriod)
			q := Question{Stream: Stream{"acct", "first"}, Services: []ident.Service{"svc"}, Within: time.Minute}
			v := r.Find(t.Context(), q)
			if v.Source != c.want {
				t.Errorf("got %v, want %v", v.Source, c.want)
			}
			if !v.Known() && !v.MayBecomeKnown() {
				t.Error("its caller is not told to come back, though the others may be heard again")
			}
		})
	}
}

// Guards against callers of a gateway that has just started, and has not heard of the others, who are not
// told to come back once it has read that several versions were listed.
func TestAJustStartedGatewayTellsCallersToComeBack(t *testing.T) {
	now := start
	r := NewRegistry(Config{
		Now: func() time.Time { return now }, Log: hclog.NewNullLogger(), ViewAge: func() time.Duration { return 0 }, Refresh: func(context.Context) bool { return true }, Beginnings: &simBeginnings{}, OnBegun: func() {},
		Earlier: func(context.Context, time.Duration) (Earlier, error) {
			return Earlier{Listed: []Origin{{"svc", "v1"}, {"svc", "v2"}}, For: time.Hour}, nil
		},
	})
	r.Observe(viewOf("v2"), 0)
	r.MarkComplete(now)
	now = now.Add(100 * time.Millisecond)
	v := r.Find(t.Context(), Question{Stream: Stream{"acct", "first"}, Services: []ident.Service{"svc"}, Within: time.Minute})
	if v.Source != NotKnown || !v.MayBecomeKnown() {
		t.Errorf("got %v, may become known %v; want not_known, true", v.Source, v.MayBecomeKnown())
	}
}

// Guards against reading the store's history where it can tell nothing more.
func TestTheHistoryIsNotReadWhereItIsKnown(t *testing.T) {
	now, reads := start, 0
	r := NewRegistry(Config{
		Now: func() time.Time { return now }, Log: hclog.NewNullLogger(), ViewAge: func() time.Duration { return 2 * maxViewAge }, Refresh: func(context.Context) bool { return false }, Beginnings: &simBeginnings{}, OnBegun: func() {},
		Earlier: func(context.Context, time.Duration) (Earlier, error) { reads++; return Earlier{}, nil },
	})
	r.Observe(viewOf("v1"), 0)
	r.MarkComplete(now.Add(-time.Hour))
	r.SetPeers([]Peer{{Node: "gw1"}})
	r.SetPeers(nil)
	r.Find(t.Context(), Question{Stream: Stream{"acct", "first"}, Services: []ident.Service{"svc"}, Within: time.Minute})
	if reads > 0 {
		t.Errorf("read %d times, though an hour is known", reads)
	}
}
