//go:build e2e

package e2e

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/loadgen"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

const (
	// controlDuration and controlRate are those of the load while leases change
	// hands.
	controlDuration = 15 * time.Second
	controlRate     = 20
	// shortLeases are settings with leases that change hands within a test.
	shortLeases = `
[control]
lease = "3s"
margin = "500ms"
interval = "200ms"
`
)

// engineLeases are the leases under which the engines of newControlledSystem receive
// orders.
var engineLeases = []lease.Name{
	{Service: "spool-llm", FailureDomain: ident.FailureDomain(failureDomain(0))},
	{Service: "spool-llm", FailureDomain: ident.FailureDomain(failureDomain(1))},
}

// newControlledSystem starts a system with two controllers, of which the first holds
// all leases. In each failure domain, one engine checks fencing numbers and one
// ignores them. base is the revision of the model service's document.
func newControlledSystem(t *testing.T) (s *system, holder, other *process, base int) {
	t.Helper()
	s = newSystem(t)
	for i, id := range []string{"engine-1", "engine-2"} {
		s.engine(id, failureDomain(i), "--load-time", "300ms", "--checks-fencing")
	}
	for i, id := range []string{"engine-3", "engine-4"} {
		s.engine(id, failureDomain(i), "--load-time", "300ms")
	}
	s.plain("app-1", failureDomain(0))
	s.plain("app-2", failureDomain(1))
	s.gateway("gateway-1", failureDomain(0))
	s.gateway("gateway-2", failureDomain(1))
	s.run("spoolctl", "publish", filepath.Join(rootDir, "examples", "auktion-app.toml"), "--platform", s.address())
	base = s.publishModel("2026-11", 0)
	for _, g := range s.gateways {
		s.awaitReady(g)
	}
	holder = s.controller("gateway-1", failureDomain(0))
	s.awaitHeld(holder)
	other = s.controller("gateway-2", failureDomain(1))
	s.awaitReady(other)
	return s, holder, other, base
}

// controller starts a controller with the instance ID of a gateway.
func (s *system) controller(gateway, domain string) *process {
	s.t.Helper()
	return launch(s.t, gateway+"/controller", "controller", "--settings", s.settings(gateway, domain, shortLeases))
}

// publishModel publishes the model service's document with a version of the model,
// replacing the revision base, and returns the new revision.
func (s *system) publishModel(version string, base int) int {
	s.t.Helper()
	text, err := os.ReadFile(filepath.Join(rootDir, "examples", "spool-llm.toml"))
	if err != nil {
		s.t.Fatal(err)
	}
	changed := strings.Replace(string(text), `version = "2026-11"`, `version = "`+version+`"`, 1)
	out := s.run("spoolctl", "publish", s.file("spool-llm.toml", changed),
		"--platform", s.address(), "--base", strconv.Itoa(base), "--json")
	var published struct{ Revision int }
	if err := json.Unmarshal([]byte(out), &published); err != nil {
		s.t.Fatalf("%v in %q", err, out)
	}
	return published.Revision
}

// await waits until done returns true. If it does not within waitLimit, the test
// fails with the condition's description.
func (s *system) await(condition string, done func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitLimit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// awaitHeld waits until a controller holds the leases over the engines, and
// returns their fencing numbers.
func (s *system) awaitHeld(controller *process) map[lease.Name]ident.Fence {
	s.t.Helper()
	var fences map[lease.Name]ident.Fence
	s.await(controller.name+" holds the leases over the engines", func() bool {
		fences = heldFences(controller)
		for _, name := range engineLeases {
			if _, ok := fences[name]; !ok {
				return false
			}
		}
		return true
	})
	return fences
}

// heldFences returns the fencing numbers of the leases that a controller holds now.
func heldFences(controller *process) map[lease.Name]ident.Fence {
	fences := make(map[lease.Name]ident.Fence)
	resp, err := http.Get("http://" + controller.addresses.Operators + "/status")
	if err != nil {
		return fences
	}
	defer resp.Body.Close()
	var statuses []struct {
		Lease lease.Name
		Fence ident.Fence
		Held  bool
	}
	if err := json.NewDecoder(resp.Body).Decode(&statuses); err != nil {
		return fences
	}
	for _, status := range statuses {
		if status.Held {
			fences[status.Lease] = status.Fence
		}
	}
	return fences
}

// awaitVersion waits until every engine reports the version and the fencing number
// of the lease over its failure domain.
func (s *system) awaitVersion(version string, fences map[lease.Name]ident.Fence) {
	s.t.Helper()
	dialer := connectupstream.NewDialer(nil, nil)
	defer dialer.Close()
	for i, p := range s.engines {
		s.await(p.name+" runs "+version+" by the holder's order", func() bool {
			report, err := dialer.Engine(p.addresses.Address).Report(s.t.Context())
			return err == nil && report.Version == version && report.AppliedFence == fences[engineLeases[i%len(engineLeases)]]
		})
	}
}

// Guards against leases that never pass on when their holder dies, and against a
// successor that sends no orders: a new model version would never reach engines.
// The controller that holds all leases is killed under load, and then a version is
// published.
func TestKilledHolderIsSucceeded(t *testing.T) {
	s, holder, other, base := newControlledSystem(t)
	result := s.load(controlRate, controlDuration, func() {
		time.Sleep(warmUp)
		holder.kill()
		s.publishModel("2026-12", base)
		s.awaitVersion("2026-12", s.awaitHeld(other))
	})
	expectUndisturbed(t, result)
	other.stop()
}

// Guards against engines that return to an old version for good, because a former
// holder continues with stale state or the current one orders each engine only
// once. The holder is frozen with a version half applied, its leases expire, another
// controller applies a newer version, and the frozen one wakes. Then orders with the
// old fencing numbers arrive, as from a slow connection.
func TestFrozenHolderRevertsNothing(t *testing.T) {
	s, holder, other, base := newControlledSystem(t)
	result := s.load(controlRate, controlDuration, func() {
		time.Sleep(warmUp)
		oldFences := s.awaitHeld(holder)
		base = s.publishModel("2026-12", base)
		holder.signal(syscall.SIGSTOP)
		fences := s.awaitHeld(other)
		s.publishModel("2027-01", base)
		s.awaitVersion("2027-01", fences)
		holder.signal(syscall.SIGCONT)
		s.sendStaleOrders("2026-12", oldFences)
		s.awaitVersion("2027-01", fences)
		s.awaitReady(holder)
		if still := heldFences(holder); len(still) > 0 {
			t.Errorf("the woken controller holds %v beside its successor", still)
		}
	})
	s.awaitVersion("2027-01", s.awaitHeld(other))
	expectUndisturbed(t, result)
	holder.stop()
	other.stop()
}

// sendStaleOrders sends every engine an order with an old fencing number. The engines
// that check fencing numbers must refuse it; the others apply it, and the holder has
// to order them again.
func (s *system) sendStaleOrders(version string, fences map[lease.Name]ident.Fence) {
	s.t.Helper()
	dialer := connectupstream.NewDialer(nil, nil)
	defer dialer.Close()
	for i, p := range s.engines {
		stale := upstream.Order{Fence: fences[engineLeases[i%len(engineLeases)]], Model: "spool-llm", Version: version}
		err := dialer.Engine(p.addresses.Address).Apply(s.t.Context(), stale)
		checks := i < len(engineLeases)
		if refused := errors.Is(err, upstream.ErrOldFence); refused != checks {
			s.t.Errorf("%s: an order with an old fencing number: %v, want refused: %v", p.name, err, checks)
		}
	}
}

// Guards against a controller whose planned stop fails, and against requests that
// need a controller: while controllers are updated, callers would be cut off or
// engines get no orders. Under load, the holder gets SIGTERM; its successor acquires
// the leases, applies a new version and gets SIGTERM too.
func TestPlannedStopOfHoldersCutsNothingOff(t *testing.T) {
	s, holder, other, base := newControlledSystem(t)
	result := s.load(controlRate, controlDuration, func() {
		time.Sleep(warmUp)
		holder.stop()
		fences := s.awaitHeld(other)
		s.publishModel("2026-12", base)
		s.awaitVersion("2026-12", fences)
		other.stop()
	})
	expectUndisturbed(t, result)
}

// Guards against a controller that cannot be stopped during an outage because a
// round, or the release of a lease, waits for an answer. The platform is frozen, so
// that requests hang, and the holder gets SIGTERM.
func TestHolderStopsWhileThePlatformHangs(t *testing.T) {
	s, holder, _, _ := newControlledSystem(t)
	s.platform.signal(syscall.SIGSTOP)
	holder.signal(syscall.SIGTERM)
	select {
	case <-holder.exited:
	case <-time.After(waitLimit):
		t.Fatal("the holder never ended")
	}
	if holder.err != nil {
		t.Errorf("planned stop ended with %v\n%s", holder.err, holder.stderr.String())
	}
}

// expectUndisturbed fails the test if a request did not get its whole answer without
// cuts.
func expectUndisturbed(t *testing.T, r *loadgen.Result) {
	t.Helper()
	expectWhole(t, r)
	expectNoCuts(t, r)
}
