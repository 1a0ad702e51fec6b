package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

var resumable = &routetable.Route{Kind: routetable.Streaming, Resumable: true, Objective: 300 * time.Millisecond, Attempts: 2}

// setVersions gives the upstreams of a fixture software versions and states.
func (f *fixture) setVersions(versions map[ident.Instance]ident.SoftwareVersion, leaving ...ident.Instance) {
	var list []directory.Upstream
	for _, u := range f.view.Of("svc") {
		u.SoftwareVersion = versions[u.ID]
		if contains(leaving, u.ID) {
			u.State = directory.Leaving
		}
		list = append(list, u)
	}
	f.view = directory.NewView(list)
}

// Guards against events of another software version in a stream, whatever else speaks for the upstream,
// and against callers that wait for a version of which no upstream is left, or are told that none is left
// while one is merely full.
func TestAStreamGoesOnAtItsSoftwareAlone(t *testing.T) {
	versions := map[ident.Instance]ident.SoftwareVersion{"a0": "v1", "a1": "v1", "b0": "v1", "b1": "v1", "c0": "v2", "c1": "v2a"}
	full := Load{Running: 100}
	for _, c := range []struct {
		name    string
		origin  origin.Origin
		leaving []ident.Instance
		tried   []ident.Instance
		others  map[ident.Instance]Load
		want    ident.Instance
		blocked forward.Block
		// passedOver are the reasons that are told if none is found.
		passedOver []string
	}{
		{name: "one of six", origin: origin.Origin{Service: "svc", SoftwareVersion: "v2"}, want: "c0"},
		{name: "one letter more", origin: origin.Origin{Service: "svc", SoftwareVersion: "v2a"}, want: "c1"},
		{name: "not listed", origin: origin.Origin{Service: "svc", SoftwareVersion: "v3"}, blocked: forward.BlockedBySoftware, passedOver: []string{"other_software"}},
		{name: "unnamed", origin: origin.Origin{Service: "svc"}, blocked: forward.BlockedBySoftware, passedOver: []string{"other_software"}},
		{name: "another service", origin: origin.Origin{Service: "other", SoftwareVersion: "v1"}, blocked: forward.BlockedBySoftware, passedOver: []string{"other_software"}},
		{name: "the last one leaves", origin: origin.Origin{Service: "svc", SoftwareVersion: "v2"}, leaving: []ident.Instance{"c0"}, blocked: forward.BlockedBySoftware, passedOver: []string{"leaves", "other_software"}},
		{name: "the last one is full", origin: origin.Origin{Service: "svc", SoftwareVersion: "v2"}, others: map[ident.Instance]Load{"c0": full}, passedOver: []string{"other_software", "full"}},
		{name: "the last one was tried", origin: origin.Origin{Service: "svc", SoftwareVersion: "v2"}, tried: []ident.Instance{"c0"}, passedOver: []string{"other_software", "tried"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.setVersions(versions, c.leaving...)
			f.others = c.others
			call := &forward.Call{Route: resumable, Service: plain, Origin: &c.origin, Expires: f.now.Add(time.Minute)}
			choice, found := f.Choose(call, c.tried, f.now)
			if found != (c.want != "") || choice.Upstream != c.want || choice.Blocked != c.blocked {
				t.Errorf("got %q, found %v, blocked %d; want %q, %d", choice.Upstream, found, choice.Blocked, c.want, c.blocked)
			}
			if !slices.Equal(choice.PassedOver, c.passedOver) {
				t.Errorf("passed over for %v, want %v", choice.PassedOver, c.passedOver)
			}
		})
	}
}

// Guards against a stream that goes on at another upstream that names no software version either, though
// the service's upstreams have several; and against one that is refused where none names any.
func TestAStreamOfAnUnnamedVersion(t *testing.T) {
	f := newFixture()
	call := &forward.Call{Route: resumable, Service: plain, Origin: &origin.Origin{Service: "svc"}, Expires: f.now.Add(time.Minute)}
	if _, found := f.Choose(call, nil, f.now); !found {
		t.Error("where no upstream names a version, it does not go on")
	}
	f.setVersions(map[ident.Instance]ident.SoftwareVersion{"c1": "v1"})
	if choice, found := f.Choose(call, nil, f.now); found || choice.Blocked != forward.BlockedBySoftware {
		t.Errorf("beside a named version it went on at %q, blocked %d", choice.Upstream, choice.Blocked)
	}
}

// Guards against streams that begin at a version of which other gateways have not heard, though another
// version takes them; and against ones that are refused where only the new version has room.
func TestAVersionThatHasJustAppearedBeginsStreamsLast(t *testing.T) {
	f := newFixture()
	f.setVersions(map[ident.Instance]ident.SoftwareVersion{"a0": "v2", "a1": "v2", "b0": "v1", "b1": "v2", "c0": "v2", "c1": "v2"})
	f.cfg.HoldsBack = func(_ ident.Service, v ident.SoftwareVersion, _ time.Time) bool { return v == "v2" }
	began := &forward.Call{Route: resumable, Service: plain, Expires: f.now.Add(time.Minute)}
	for i := range 8 {
		if choice, found := f.Choose(began, nil, f.now); !found || choice.Upstream != "b0" {
			t.Fatalf("stream %d began at %q, want b0", i, choice.Upstream)
		}
	}
	goesOn := &forward.Call{Route: resumable, Service: plain, Origin: &origin.Origin{Service: "svc", SoftwareVersion: "v2"}, Expires: f.now.Add(time.Minute)}
	if choice, found := f.Choose(goesOn, nil, f.now); !found || choice.Upstream == "b0" {
		t.Errorf("a stream of v2 went on at %q", choice.Upstream)
	}
	f.others["b0"] = Load{Running: 100}
	if choice, found := f.Choose(began, nil, f.now); !found || choice.Upstream == "b0" {
		t.Errorf("with v1 full, a stream began at %q", choice.Upstream)
	}
	f.cfg.MayBegin = func(ident.Service, ident.SoftwareVersion) bool { return false }
	if choice, found := f.Choose(began, nil, f.now); found {
		t.Errorf("a stream began at %q, of whose version others cannot find out", choice.Upstream)
	}
	f.cfg.MayBegin = func(ident.Service, ident.SoftwareVersion) bool { return true }
	request := &forward.Call{Route: route, Service: plain, Expires: f.now.Add(time.Minute)}
	f.others["b0"] = Load{}
	if choice, found := f.Choose(request, nil, f.now); !found || choice.Upstream == "b0" {
		t.Errorf("a request that nobody takes up went to %q, want an idle upstream", choice.Upstream)
	}
}
