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
	// controlDuration is that of the load while control changes hands.
	controlDuration = 15 * time.Second
	controlRate     = 20
	// shortLeases lets control change hands within a test.
	shortLeases = `
[control]
lease = "3s"
margin = "500ms"
interval = "200ms"
`
)

// engineLeases are those under which the engines of controlled get orders.
var engineLeases = []lease.Name{
	{Service: "spool-llm", FailureDomain: ident.FailureDomain(failureDomain(0))},
	{Service: "spool-llm", FailureDomain: ident.FailureDomain(failureDomain(1))},
}

// newControlledSystem is a system whose engines check fencing numbers or ignore them,
// one of each in each failure domain, with the first controller holding all
// leases and a second one beside it. It returns the document's revision.
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

// controller starts the controller beside a gateway.
func (s *system) controller(gateway, domain string) *process {
	s.t.Helper()
	return launch(s.t, gateway+"/controller", "controller", "--settings", s.settings(gateway, domain, shortLeases))
}

// publishModel publishes the model service's document with another version of
// the model, in the place of the revision base, and returns the new revision.
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

// await waits until done; what names it if that never comes.
func (s *system) await(what string, done func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitLimit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("never: %s", what)
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

// awaitVersion waits until every engine reports a version, and the fencing
// number of its failure domain's holder.
func (s *system) awaitVersion(version string, fences map[lease.Name]ident.Fence) {
	s.t.Helper()
	dialer := connectupstream.NewDialer(nil)
	defer dialer.Close()
	for i, p := range s.engines {
		s.await(p.name+" runs "+version+" by the holder's order", func() bool {
			report, err := dialer.Engine(p.addresses.Address).Report(s.t.Context())
			return err == nil && report.Version == version && report.AppliedFence == fences[engineLeases[i%len(engineLeases)]]
		})
	}
}

// Symptom: a new model version never reaches engines after a machine died.
// Sequence: the controller that holds all leases is killed under load; then a
// version is published. Cause: a lease that outlives its holder, or a successor
// that orders nothing.
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

// Symptom: engines go back to an old version for good. Sequence: the holder is
// frozen with a version half applied, its leases run out, another holder
// applies a newer version, the frozen one wakes; then orders of its time
// arrive, as from a slow connection. Cause: a holder that goes on by what it
// knew, or one that orders each engine only once.
func TestFrozenHolderRevertsNothing(t *testing.T) {
	s, holder, other, base := newControlledSystem(t)
	result := s.load(controlRate, controlDuration, func() {
		time.Sleep(warmUp)
		old := s.awaitHeld(holder)
		base = s.publishModel("2026-12", base)
		holder.signal(syscall.SIGSTOP)
		fences := s.awaitHeld(other)
		s.publishModel("2027-01", base)
		s.awaitVersion("2027-01", fences)
		holder.signal(syscall.SIGCONT)
		s.sendStaleOrders("2026-12", old)
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
// that check it must refuse; the others are the holder's to repair.
func (s *system) sendStaleOrders(version string, fences map[lease.Name]ident.Fence) {
	s.t.Helper()
	dialer := connectupstream.NewDialer(nil)
	defer dialer.Close()
	for i, p := range s.engines {
		late := upstream.Order{Fence: fences[engineLeases[i%len(engineLeases)]], Model: "spool-llm", Version: version}
		err := dialer.Engine(p.addresses.Address).Apply(s.t.Context(), late)
		checks := i < len(engineLeases)
		if refused := errors.Is(err, upstream.ErrOldFence); refused != checks {
			s.t.Errorf("%s: an order with an old fencing number: %v, want refused: %v", p.name, err, checks)
		}
	}
}

// Symptom: callers are cut off, or nobody orders, while controllers are
// updated. Sequence: under load the holder gets SIGTERM, its successor gets
// leases and a new version, and then SIGTERM too. Cause: a stop that fails, or
// a data path that needs a controller.
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

// Symptom: a controller cannot be stopped during an outage. Sequence: the
// platform is frozen, so that requests hang; the holder gets SIGTERM. Cause: a
// round, or a release, that waits for an answer.
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

// expectUndisturbed fails the test if a caller noticed anything.
func expectUndisturbed(t *testing.T, r *loadgen.Result) {
	t.Helper()
	expectWhole(t, r)
	expectNoCuts(t, r)
}
