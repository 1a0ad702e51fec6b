package connectplatform_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/instances"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.OneProcessor() }

func TestInstanceListReportsStatesAndIncarnations(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		gateway := platform.Instance{
			ID: "gw-1", Role: platform.RoleEntry, Region: "tirol", FailureDomain: "hall-a",
			Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2",
		}
		engine := platform.Instance{
			ID: "e-1", Role: platform.RoleEngine, Service: "spool-llm", FailureDomain: "hall-b",
			Class: "m1", Reclaimable: true, Address: "127.0.0.1:3",
		}
		s.instances.Register(gateway)
		s.instances.Register(engine)
		gateway.Incarnation, gateway.State = 1, platform.Live
		engine.Incarnation, engine.State = 1, platform.Live
		expectList(t, s, engine, gateway)

		s.instances.SetState("e-1", 1, platform.Leaving)
		engine.State = platform.Leaving
		expectList(t, s, engine, gateway)

		if s.instances.Register(platform.Instance{ID: "e-1"}) != 2 {
			t.Error("the second registration must get incarnation 2")
		}
		if s.instances.SetState("e-1", 1, platform.Ended) {
			t.Error("setting the state of incarnation 1 changed incarnation 2")
		}
	})
}

func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := instances.New(3 * time.Second)
		s := subject{Services: connectplatform.Services{Instances: list}}
		e := platform.Instance{ID: "e-1", Incarnation: 1, State: platform.Live}
		list.Register(e)
		expectList(t, s)
		time.Sleep(3 * time.Second)
		list.SetState("e-1", 1, platform.Leaving)
		expectList(t, s, e)
		time.Sleep(3*time.Second - time.Nanosecond)
		expectList(t, s, e)
		time.Sleep(time.Nanosecond)
		e.State = platform.Leaving
		expectList(t, s, e)
	})
}

func expectList(t *testing.T, s subject, want ...platform.Instance) {
	t.Helper()
	got, err := s.Instances.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
}

func TestInstanceListOutage(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		s.instances.SetOutage(true)
		if _, err := s.Instances.List(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
	})
}

// When the answer to a start is lost, the requester repeats the start. Two instances
// would run where one was wanted if the cloud did not recognize the repeat, or if the
// adapter hid that the first start may have taken effect.
func TestCloudStartErrorsTellWhatHappened(t *testing.T) {
	cases := []struct {
		story  string
		inject func(subject)
		fence  ident.Fence
		want   error
	}{
		{"outage", func(s subject) { s.cloud.SetOutage(true) }, 5, platform.ErrUnavailable},
		{"request lost", func(s subject) { s.cloud.LoseNext(fault.BeforeEffect) }, 5, platform.ErrAnswerLost},
		{"answer lost", func(s subject) { s.cloud.LoseNext(fault.AfterEffect) }, 5, platform.ErrAnswerLost},
		{"no capacity", func(s subject) { s.cloud.SetCapacity("hall-a", "m1", false) }, 5, platform.ErrNoCapacity},
		{"old fencing number", func(subject) {}, 3, platform.ErrOldFence},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			onEachImplementation(t, func(t *testing.T, s subject) {
				if err := s.Cloud.Stop(t.Context(), "old", 4); err != nil {
					t.Fatal(err)
				}
				c.inject(s)
				req := platform.StartRequest{StartID: "s-1", FailureDomain: "hall-a", Class: "m1", Fence: c.fence}
				if _, err := s.Cloud.Start(t.Context(), req); !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				s.cloud.SetOutage(false)
				s.cloud.SetCapacity("hall-a", "m1", true)
				req.Fence = 6
				first := mustStart(t, s, req)
				if second := mustStart(t, s, req); second != first {
					t.Errorf("the repeat started %s in addition to %s", second, first)
				}
			})
		})
	}
}

func mustStart(t *testing.T, s subject, req platform.StartRequest) ident.Instance {
	t.Helper()
	id, err := s.Cloud.Start(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func TestCloudNoticesCountDown(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		s.cloud.Announce("e-1", 3, time.Hour)
		s.cloud.Announce("e-2", 1, time.Hour)
		notices, err := s.Cloud.Notices(t.Context(), 1)
		if err != nil || len(notices) != 1 {
			t.Fatalf("got %+v, %v", notices, err)
		}
		n := notices[0]
		if n.Sequence != 2 || n.Instance != "e-2" || n.Incarnation != 1 {
			t.Errorf("got %+v", n)
		}
		if n.EndsIn <= 0 || n.EndsIn > time.Hour {
			t.Errorf("ends in %v", n.EndsIn)
		}
		if rest, err := s.Cloud.Notices(t.Context(), 2); err != nil || len(rest) != 0 {
			t.Errorf("after the last: got %+v, %v", rest, err)
		}
	})
}

func TestWeightTransfersTakeTurns(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		first, err := s.Weights.Reserve(t.Context(), "spool", "1")
		if err != nil || first.Bytes != 1000 {
			t.Fatalf("got %+v, %v", first, err)
		}
		second, err := s.Weights.Reserve(t.Context(), "spool", "1")
		if err != nil || second.Duration <= first.Duration {
			t.Errorf("first %v, second %v, %v", first.Duration, second.Duration, err)
		}
		s.weights.SetOutage(true)
		if _, err := s.Weights.Reserve(t.Context(), "spool", "1"); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
	})
}
