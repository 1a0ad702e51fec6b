package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// virtualTime hides the test's deadline from rapid: it is in real time, and
// must not be read in a synctest bubble, which has virtual time.
type virtualTime struct{ rapid.TB }

const (
	// healTime is enough for back-offs of two minutes, for starts that were
	// never listed to count as failed, and for the estimate of a past load
	// spike to decay.
	healTime = 30 * time.Minute
	// steadyTime is for how long nothing may change then.
	steadyTime = 3 * time.Minute
	// steadySize is the right number of upstreams without load: spread over
	// three failure domains, the required 3 are left when a domain is lost.
	steadySize = 5
)

// machine runs two controllers on one simulation.
type machine struct {
	*simulation
	processes    [2]*process
	incarnations int
	// busy makes gateways send a request to each upstream each second.
	busy bool
}

func newMachine() *machine {
	m := &machine{simulation: newSimulation()}
	for i := range m.processes {
		m.start(i)
	}
	return m
}

func (m *machine) start(i int) {
	m.incarnations++
	m.processes[i] = m.startProcess(ident.Instance(fmt.Sprintf("entry-%d-%d", i, m.incarnations)), i)
}

// stop ends a process. Its last requests may still take effect later.
func (m *machine) stop(i int) {
	m.processes[i].stop()
	m.processes[i].done.Wait()
}

// fataler is what *testing.T and *rapid.T have in common here.
type fataler interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

func (m *machine) advance(t fataler, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Second)
		if m.busy {
			m.send()
		}
		m.check(t)
	}
}

func (m *machine) check(t fataler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.problems) > 0 {
		t.Fatal(m.problems[0])
	}
}

// stopAll stops all goroutines.
func (m *machine) stopAll() {
	m.stop(0)
	m.stop(1)
	time.Sleep(time.Minute)
}

func (m *machine) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countUpstreams()
}

func (m *machine) stopCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stops
}

func (m *machine) setGatewaysCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gatewaysCut = cut
}

// heal ends all faults and checks that the fleet settles at the right size.
func (m *machine) heal(t fataler) {
	m.cloud.SetOutage(false)
	m.log.SetOutage(false)
	m.setGatewaysCut(false)
	m.busy = false
	for _, domain := range domains {
		m.cloud.SetCapacity(domain, "cpu", true)
	}
	began := time.Now()
	stops, steadySince := -1, began
	for time.Since(steadySince) < steadyTime {
		if time.Since(began) > healTime {
			t.Fatalf("not steady: %d upstreams, want %d", m.size(), steadySize)
		}
		m.advance(t, 10*time.Second)
		if m.size() != steadySize || m.stopCount() != stops {
			stops, steadySince = m.stopCount(), time.Now()
		}
	}
}

// Guards against a holder that acts on outdated knowledge instead of the current
// state: there would be more upstreams than the document allows or fewer than it
// requires, or a planned stop would abort requests. Meanwhile controllers restart,
// starts and stops lose their answers or take effect late, starts are refused, whole
// failure domains are reclaimed, and gateways and log are unreachable.
func TestFleetKeepsItsBoundsUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTime{t}, func(t *rapid.T) {
			m := newMachine()
			defer m.stopAll()
			domain := func() ident.FailureDomain { return rapid.SampledFrom(domains).Draw(t, "domain") }
			t.Repeat(map[string]func(*rapid.T){
				"wait": func(t *rapid.T) {
					waits := []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, time.Minute}
					m.advance(t, rapid.SampledFrom(waits).Draw(t, "wait"))
				},
				"load":   func(t *rapid.T) { m.busy = rapid.Bool().Draw(t, "busy") },
				"refuse": func(t *rapid.T) { m.cloud.SetCapacity(domain(), "cpu", false) },
				"allow":  func(t *rapid.T) { m.cloud.SetCapacity(domain(), "cpu", true) },
				"lose": func(t *rapid.T) {
					m.cloud.SetLateness(3 * time.Second)
					losses := []fault.Loss{fault.BeforeEffect, fault.AfterEffect, fault.Late}
					m.cloud.LoseNext(rapid.SampledFrom(losses).Draw(t, "loss"))
				},
				"dud": func(t *rapid.T) {
					m.mu.Lock()
					defer m.mu.Unlock()
					m.unlistedStarts = 1
				},
				"cloud":    func(t *rapid.T) { m.cloud.SetOutage(rapid.Bool().Draw(t, "down")) },
				"log":      func(t *rapid.T) { m.log.SetOutage(rapid.Bool().Draw(t, "down")) },
				"gateways": func(t *rapid.T) { m.setGatewaysCut(rapid.Bool().Draw(t, "cut")) },
				"reclaim":  func(t *rapid.T) { m.reclaim(domain()) },
				"restart": func(t *rapid.T) {
					i := rapid.IntRange(0, 1).Draw(t, "process")
					m.stop(i)
					m.start(i)
				},
			})
			m.heal(t)
		})
	})
}
