//go:build e2e

package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/loadgen"
)

const (
	loadRate     = 40
	loadDuration = 5 * time.Second
	// warmUp is how long the load runs before the first fault or stop.
	warmUp = time.Second
)

// newSmallSystem starts a system of two failure domains, each with two engines, a
// plain service and half of the gateways.
func newSmallSystem(t *testing.T, gateways int) *system {
	s := newSystem(t)
	for i, id := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
		s.engine(id, failureDomain(i))
	}
	s.plain("app-1", failureDomain(0))
	s.plain("app-2", failureDomain(1))
	for i := range gateways {
		s.gateway("gateway-"+string(rune('1'+i)), failureDomain(i))
	}
	s.publish()
	return s
}

func failureDomain(i int) string { return []string{"hall-a", "hall-b"}[i%2] }

// Guards against a stop that neither finishes nor hands over requests in progress,
// so that callers are cut off while the programs are updated. Under load, one
// gateway after another gets SIGTERM while others serve.
func TestRollingReplacementCutsNothingOff(t *testing.T) {
	s := newSmallSystem(t, 6)
	result := s.load(loadRate, loadDuration, func() {
		time.Sleep(warmUp)
		for _, g := range s.gateways[:4] {
			g.stop()
		}
	})
	expectWhole(t, result)
	expectNoCuts(t, result)
}

// Guards against a claim that is taken over only because time has passed: after a
// crash, a bid would be executed twice or its caller get a false outcome. Gateways
// are killed with calls claimed and dispatched, and the callers send them again to
// others.
func TestKilledGatewayDoublesNothing(t *testing.T) {
	s := newSmallSystem(t, 4)
	result := s.load(loadRate, loadDuration, func() {
		time.Sleep(warmUp)
		s.gateways[0].kill()
		time.Sleep(warmUp)
		s.gateways[1].kill()
	})
	expectNoBrokenPromise(t, result)
}

// Guards against a gateway that checks its right to a call before a freeze and
// dispatches the call after it. A gateway is frozen between claim and dispatch,
// others settle its calls, and it wakes and continues: a bid would be executed a
// second time long after the first.
func TestFrozenGatewayDoublesNothing(t *testing.T) {
	s := newSmallSystem(t, 4)
	result := s.load(loadRate, loadDuration, func() {
		time.Sleep(warmUp)
		s.gateways[0].signal(syscall.SIGSTOP)
		time.Sleep(4 * warmUp)
		s.gateways[0].signal(syscall.SIGCONT)
	})
	expectNoBrokenPromise(t, result)
	s.gateways[0].stop()
}

// Guards against streams that stay at a reclaimed instance until the end of its
// notice, so that their answers break off. An engine and a gateway get notices of
// 4 s and end after them.
func TestReclaimedInstancesLoseNothing(t *testing.T) {
	s := newSmallSystem(t, 4)
	result := s.load(loadRate, loadDuration, func() {
		time.Sleep(warmUp)
		s.admin("notice", "--id", "engine-1", "--seconds", "4")
		s.admin("notice", "--id", "gateway-1", "--seconds", "4")
		<-s.gateways[0].exited
		if s.gateways[0].err != nil {
			t.Errorf("the reclaimed gateway ended with %v\n%s", s.gateways[0].err, s.gateways[0].stderr.String())
		}
	})
	expectWhole(t, result)
}

// Guards against a hand-over to a peer that is itself leaving, so that answers are
// lost when a whole failure domain is reclaimed. All gateways, engines and plain
// services of hall-a get a notice of 4 s, and each gateway hands over while the
// others in its failure domain leave too.
func TestReclaimedFailureDomainLosesNothing(t *testing.T) {
	s := newSmallSystem(t, 4)
	result := s.load(loadRate, loadDuration, func() {
		time.Sleep(warmUp)
		for _, id := range []string{"gateway-1", "gateway-3", "engine-1", "engine-3", "app-1"} {
			s.admin("notice", "--id", id, "--seconds", "4")
		}
		<-s.gateways[0].exited
		<-s.gateways[2].exited
	})
	expectWhole(t, result)
}

// Guards against requests that wait for the platform, and against calls that are
// dispatched without a claim in the log: bids would hang or run unrecorded. The log
// has an outage under load.
func TestLogOutageIsReportedAtOnce(t *testing.T) {
	s := newSmallSystem(t, 2)
	result := s.load(loadRate, loadDuration, func() {
		time.Sleep(warmUp)
		s.admin("outage", "on")
		time.Sleep(2 * warmUp)
		s.admin("outage", "off")
	})
	expectNoBrokenPromise(t, result)
	for _, kind := range []loadgen.Kind{loadgen.Short, loadgen.Long} {
		if k := result.Kinds[kind]; k.Verdicts[loadgen.Whole] != k.Sent {
			t.Errorf("%s: streams need no log: %v", kind, k.Verdicts)
		}
	}
}

// Guards against a gateway that handles only the first signal, so that a stop that
// hangs cannot be ended. It gets SIGTERM with streams open, and then again.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	s := newSmallSystem(t, 2)
	s.load(loadRate, loadDuration, func() {
		time.Sleep(warmUp)
		g := s.gateways[0]
		g.signal(syscall.SIGTERM)
		g.signal(syscall.SIGTERM)
		// Two equal signals can be delivered as one.
		for {
			select {
			case <-g.exited:
				return
			case <-time.After(50 * time.Millisecond):
				g.signal(syscall.SIGTERM)
			}
		}
	})
}

func TestAllBadSettingsAreReportedWithExitStatus2(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.toml")
	bad := "[instance]\nid = \"\"\n[limits]\nstop_timeout = \"soon\"\nunknown = 1\n"
	if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, program := range []string{"gateway", "controller"} {
		out, err := exec.Command(filepath.Join(binDir, program), "--check-settings", "--settings", file).CombinedOutput()
		exit, ok := err.(*exec.ExitError)
		if !ok || exit.ExitCode() != 2 {
			t.Errorf("%s: %v, want exit status 2", program, err)
		}
		for _, place := range []string{file + ":2:", file + ":4:", file + ":5:"} {
			if !strings.Contains(string(out), place) {
				t.Errorf("%s: no finding at %s in\n%s", program, place, out)
			}
		}
	}
}
