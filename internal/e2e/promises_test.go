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
	// warmUp is how long the load runs before something happens to it.
	warmUp = time.Second
)

// newSmallSystem is a system of two failure domains with gateways in both.
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

// Symptom: callers are cut off while the programs are updated. Sequence: under
// load, one gateway after another gets SIGTERM, with streams and calls open,
// while newer ones serve. Cause: a stop that does not finish or hand over what
// is in progress.
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

// Symptom: a bid is executed twice, or its trader hears something false, after
// a crash. Sequence: a gateway is killed with calls claimed and dispatched;
// callers ask again at others. Cause: a claim taken over because time passed.
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

// Symptom: a bid is executed a second time long after. Sequence: a gateway is
// frozen between claim and dispatch, others settle its calls, it wakes and goes
// on as if nothing had happened. Cause: a check before the freeze, the act
// after it.
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

// Symptom: answers break off when an instance is reclaimed. Sequence: an engine
// and a gateway get notices of a few seconds and are ended when these are over.
// Cause: streams that stay until the end of the notice.
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

// Symptom: answers are lost when a failure domain is reclaimed at once.
// Sequence: everything in hall-a, gateways, engines and the plain service, gets
// a notice of 4 s; each gateway hands over while its neighbours leave too.
// Cause: a hand-over to a peer that is itself leaving.
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

// Symptom: bids hang while the platform's log is down, or run unrecorded.
// Sequence: the log goes down under load and comes back. Cause: a data path
// that waits for the platform, or a call dispatched without its claim.
func TestLogOutageIsToldAtOnce(t *testing.T) {
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

// Symptom: a stuck stop cannot be ended. Sequence: SIGTERM with a long stream
// open, then a second SIGTERM. Cause: signals that are only heard once.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	s := newSmallSystem(t, 2)
	s.load(loadRate, loadDuration, func() {
		time.Sleep(warmUp)
		g := s.gateways[0]
		g.signal(syscall.SIGTERM)
		g.signal(syscall.SIGTERM)
		// Two equal signals can merge into one before the process looks.
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

func TestBadSettingsAreAllToldAndExitWith2(t *testing.T) {
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
