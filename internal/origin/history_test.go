package origin

import (
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// viewOf returns a view with an upstream of each version.
func viewOf(versions ...ident.SoftwareVersion) *directory.View {
	var list []directory.Upstream
	for _, v := range versions {
		list = append(list, directory.Upstream{ID: "u-" + ident.Instance(v), Service: "svc", SoftwareVersion: v, State: directory.Ready})
	}
	return directory.NewView(list)
}

// Guards against streams that begin at a version of which other gateways have not heard; against a
// gateway that takes a version for new because it has itself just started, or has not heard of the
// upstreams for a while; and against versions that are forgotten while their streams may be taken up.
func TestVersionsThatAppearAndGo(t *testing.T) {
	for _, c := range []struct {
		name string
		// complete: the gateway knew all entries before, viewAge is how old its view had become.
		complete bool
		viewAge  time.Duration
		before   []ident.SoftwareVersion
		isNew    bool
	}{
		{"beside another", true, 0, []ident.SoftwareVersion{"v1"}, true},
		{"after a start", false, 0, []ident.SoftwareVersion{"v1"}, false},
		{"after a silence", true, 2 * viewLag, []ident.SoftwareVersion{"v1"}, false},
		{"alone", true, 0, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, now := NewHistory(), start
			h.Observe(viewOf(c.before...), 0, now)
			if c.complete {
				h.MarkComplete(now.Add(-time.Minute))
			}
			h.Observe(viewOf(append(c.before, "v2")...), c.viewAge, now)
			for _, at := range []time.Duration{0, unusedFor - 1, unusedFor, holdBack - 1, holdBack} {
				then := now.Add(at)
				if got, want := h.HoldsBack("svc", "v2", then), c.isNew && at < holdBack; got != want {
					t.Errorf("after %v it is held back: %v, want %v", at, got, want)
				}
				if h.HoldsBack("svc", "v1", then) {
					t.Errorf("after %v v1 is held back", at)
				}
				listed := h.Listed("svc", now, then)
				if got, want := slices.Contains(listed.Unused, "v2"), c.isNew && at < unusedFor; got != want || got == slices.Contains(listed.Versions, "v2") {
					t.Errorf("after %v it is unused: %v, want %v; listed %v", at, got, want, listed.Versions)
				}
			}
		})
	}
	h := NewHistory()
	h.Observe(viewOf("v1", "v2"), 0, start)
	h.Observe(viewOf("v2"), 0, start.Add(time.Second))
	for _, c := range []struct {
		since time.Duration
		want  []ident.SoftwareVersion
	}{{0, []ident.SoftwareVersion{"v1", "v2"}}, {time.Second, []ident.SoftwareVersion{"v1", "v2"}}, {time.Second + 1, []ident.SoftwareVersion{"v2"}}} {
		if got := h.Listed("svc", start.Add(c.since), start.Add(time.Minute)).Versions; !slices.Equal(got, c.want) {
			t.Errorf("listed since %v: %v, want %v", c.since, got, c.want)
		}
	}
}

// Guards against a stream that goes on at another version after a start: a version that the store's history
// lists is taken for one that began no streams yet, since this gateway heard of it a moment ago.
func TestAVersionThatTheHistoryListsIsNotUnused(t *testing.T) {
	h, now := NewHistory(), start
	h.Observe(viewOf("v1"), 0, now)
	h.MarkComplete(now)
	now = now.Add(300 * time.Millisecond)
	h.Observe(viewOf("v1", "v2"), 0, now)
	h.AddEarlier("svc", "v2", now)
	h.MarkComplete(now.Add(-time.Minute))
	listed := h.Listed("svc", now.Add(-10*time.Second), now)
	if !slices.Equal(listed.Versions, []ident.SoftwareVersion{"v1", "v2"}) || len(listed.Unused) > 0 {
		t.Errorf("listed %v, unused %v, want both versions listed", listed.Versions, listed.Unused)
	}
}
