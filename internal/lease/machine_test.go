package lease_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const (
	processCount  = 3
	orderInterval = 250 * time.Millisecond
	// startInterval keeps the processes from polling at the same times.
	startInterval = 370 * time.Millisecond
	// checkInterval is the time between two calls of machine.check.
	checkInterval = 250 * time.Millisecond
	// recoveryTime is enough for undecided records to be decided, for a lease to
	// expire and for each candidate to wait as its rank demands.
	recoveryTime = lease.Horizon + 2*time.Minute
)

// tellingDurations lie below and above the margin, the time between renewals and
// the length of a lease.
var tellingDurations = []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 9 * time.Second, 14 * time.Second}

var leaseNames = []lease.Name{{Service: "spool-llm", FailureDomain: "hall-a"}, {Service: "auktion-app"}}

// noDeadline hides the test's deadline from rapid. The deadline is in real time and
// must not be read in a synctest bubble, which has virtual time.
type noDeadline struct{ rapid.TB }

// failer is a test or a single run of a rapid check.
type failer interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// process is one controller that wants all leases and sends an order every
// orderInterval under each lease that it holds.
type process struct {
	link    *logLink
	manager *lease.Manager
	// kill ends the process without releasing its leases.
	kill context.CancelFunc
	// stopOrders ends the sending of orders, and stop the manager's Run.
	stopOrders, stop       context.CancelFunc
	ordersStopped, stopped chan struct{}
	// orderDelay is how long its next orders take to arrive, and preparation how
	// long it works on its next order before it checks the lease again, both in
	// nanoseconds.
	orderDelay, preparation atomic.Int64
}

// deliveredOrder is an order that arrives at an engine.
type deliveredOrder struct {
	fence ident.Fence
	// frozen means that its sender was frozen between checking the lease and
	// sending the order.
	frozen bool
}

// machine runs several processes against one log and engines that do not
// check fences.
type machine struct {
	log       *fakeLog
	processes []*process
	margin    time.Duration
	// highestFence is the highest fence of an order that arrived, by lease.
	highestFence map[lease.Name]ident.Fence
	// arrivals holds a function for each order that arrived; it records the order.
	arrivals chan func()
	// started counts the started processes, also replaced ones.
	started int
	// problem describes the last order that arrived too late.
	problem string
}

// startProcess starts process i, in place of any earlier one.
func (m *machine) startProcess(i int) {
	processCtx, kill := context.WithCancel(context.Background())
	running, stop := context.WithCancel(processCtx)
	ordering, stopOrders := context.WithCancel(processCtx)
	m.started++
	p := &process{
		link:          newLink(m.log, processCtx),
		kill:          kill,
		stopOrders:    stopOrders,
		stop:          stop,
		ordersStopped: make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	holder := lease.NewHolder(ident.Instance(fmt.Sprintf("entry-%d", i)), ident.Incarnation(m.started))
	p.manager = lease.New(lease.Config{Holder: holder, Margin: m.margin}, p.link)
	p.manager.SetWanted(wantedWithRank(0))
	go func() {
		p.manager.Run(running)
		close(p.stopped)
	}()
	go func() {
		m.sendOrders(p, ordering)
		close(p.ordersStopped)
	}()
	m.processes[i] = p
}

func wantedWithRank(rank int) []lease.Wanted {
	var all []lease.Wanted
	for _, name := range leaseNames {
		all = append(all, lease.Wanted{Name: name, Rank: rank})
	}
	return all
}

// stopGracefully stops sending orders, waits until the last ones have arrived, and
// then releases the process's leases.
func (m *machine) stopGracefully(t failer, p *process) {
	p.link.thaw()
	p.stopOrders()
	<-p.ordersStopped
	m.advance(t, m.margin)
	p.stop()
	<-p.stopped
}

// sendOrders sends orders until running ends. A process that is frozen after it
// has checked the lease sends the order when it is thawed.
func (m *machine) sendOrders(p *process, running context.Context) {
	for running.Err() == nil {
		for _, name := range leaseNames {
			grant, held := p.manager.Grant(name)
			time.Sleep(time.Duration(p.preparation.Swap(0)))
			p.link.waitWhileFrozen()
			if !held || running.Err() != nil || !grant.Valid() {
				continue
			}
			frozen := p.link.waitWhileFrozen()
			order := deliveredOrder{fence: grant.Fence, frozen: frozen}
			delay := time.Duration(p.orderDelay.Load())
			time.AfterFunc(delay, func() { m.arrivals <- func() { m.recordOrder(name, order) } })
		}
		select {
		case <-running.Done():
		case <-time.After(orderInterval):
		}
	}
}

// recordOrder records an arrived order and checks that it did not arrive after an
// order of a newer holder, unless its sender was frozen.
func (m *machine) recordOrder(name lease.Name, order deliveredOrder) {
	if order.fence < m.highestFence[name] && !order.frozen {
		m.problem = fmt.Sprintf("order with fence %d arrived after fence %d", order.fence, m.highestFence[name])
	}
	m.highestFence[name] = max(m.highestFence[name], order.fence)
}

// advance lets virtual time pass and checks all processes every checkInterval.
func (m *machine) advance(t failer, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(checkInterval)
		synctest.Wait()
		m.log.expire()
		m.handleArrivals()
		m.check(t)
	}
}

func (m *machine) handleArrivals() {
	for {
		select {
		case record := <-m.arrivals:
			record()
		default:
			return
		}
	}
}

// check checks that no order arrived too late and that at most one process holds a
// lease, including frozen processes.
func (m *machine) check(t failer) {
	if m.problem != "" {
		t.Fatal(m.problem)
	}
	for _, name := range leaseNames {
		if holders := m.holders(name); len(holders) > 1 {
			t.Fatalf("%v: processes %v hold the lease at once", name, holders)
		}
	}
}

func (m *machine) holders(name lease.Name) []int {
	var holders []int
	for i, p := range m.processes {
		if _, held := p.manager.Grant(name); held {
			holders = append(holders, i)
		}
	}
	return holders
}

// endFaults ends all faults and checks that each lease has one holder within
// recoveryTime.
func (m *machine) endFaults(t failer) {
	m.log.setDown(false)
	for _, p := range m.processes {
		p.link.thaw()
		p.link.setCut(false)
		p.link.setFault(noFault, 0)
	}
	for limit := time.Now().Add(recoveryTime); time.Now().Before(limit); {
		m.advance(t, 10*time.Second)
		if m.allHeld() {
			m.checkAgreement(t)
			return
		}
	}
	t.Fatalf("no holder of a lease %v after all faults ended", recoveryTime)
}

func (m *machine) allHeld() bool {
	for _, name := range leaseNames {
		if len(m.holders(name)) != 1 {
			return false
		}
	}
	return true
}

// checkAgreement checks that all processes that know a lease agree on its newest
// accepted record, whichever record they started reading from.
func (m *machine) checkAgreement(t failer) {
	for _, name := range leaseNames {
		offsets := make(map[ident.Offset]bool)
		for _, p := range m.processes {
			p.manager.Step(context.Background())
		}
		for _, p := range m.processes {
			p.manager.Step(context.Background())
			if entry, known := p.manager.Find(name); known {
				offsets[entry.Offset] = true
			}
		}
		if len(offsets) != 1 {
			t.Fatalf("%v: readers disagree on the newest record: %v", name, offsets)
		}
	}
}

// shutDown stops all processes and waits for their goroutines.
func (m *machine) shutDown() {
	for _, p := range m.processes {
		p.link.thaw()
		p.kill()
		<-p.stopped
		<-p.ordersStopped
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	m.handleArrivals()
}

func newMachine(margin time.Duration) *machine {
	m := &machine{
		log:          &fakeLog{},
		processes:    make([]*process, processCount),
		margin:       margin,
		highestFence: make(map[lease.Name]ident.Fence),
		arrivals:     make(chan func(), 1<<16),
	}
	for i := range m.processes {
		m.startProcess(i)
		time.Sleep(startInterval)
	}
	return m
}

// Guards against two controllers that send orders to the same engine, of which the
// older order prevails, because a holder acts under its lease for longer than the next
// holder waits. Processes are frozen, killed and restarted, the log has outages, appends
// lose their answers or take effect late, and records expire, in any order.
func TestAtMostOneHolderUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			m := newMachine(lease.DefaultMargin)
			defer m.shutDown()
			pick := func() *process { return m.processes[rapid.IntRange(0, processCount-1).Draw(t, "process")] }
			t.Repeat(map[string]func(*rapid.T){
				"wait": func(t *rapid.T) { m.advance(t, drawDuration(t, tellingDurations...)) },
				"waitLong": func(t *rapid.T) {
					if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
						m.advance(t, drawDuration(t, lease.Horizon, 4*lease.Horizon))
					}
				},
				"freeze": func(t *rapid.T) { pick().link.freeze() },
				"thaw":   func(t *rapid.T) { pick().link.thaw() },
				"stall":  func(t *rapid.T) { pick().preparation.Store(int64(drawDuration(t, tellingDurations...))) },
				"cut":    func(t *rapid.T) { pick().link.setCut(true) },
				"join":   func(t *rapid.T) { pick().link.setCut(false) },
				"outage": func(t *rapid.T) { m.log.setDown(rapid.Bool().Draw(t, "down")) },
				"fault":  func(t *rapid.T) { pick().drawFault(t) },
				"flight": func(t *rapid.T) {
					pick().orderDelay.Store(int64(drawDuration(t, 0, lease.DefaultMargin/2, lease.DefaultMargin)))
				},
				"kill": func(t *rapid.T) {
					i := rapid.IntRange(0, processCount-1).Draw(t, "process")
					m.processes[i].kill()
					m.processes[i].link.thaw()
					m.startProcess(i)
				},
				"stop": func(t *rapid.T) {
					i := rapid.IntRange(0, processCount-1).Draw(t, "process")
					m.stopGracefully(t, m.processes[i])
					m.startProcess(i)
				},
				"unwant": func(t *rapid.T) {
					p := pick()
					p.manager.SetWanted(nil)
					p.drawFault(t)
				},
				"wantAgain": func(t *rapid.T) { pick().manager.SetWanted(wantedWithRank(rapid.IntRange(0, 2).Draw(t, "rank"))) },
			})
			for i, p := range m.processes {
				p.manager.SetWanted(wantedWithRank(i))
			}
			m.endFaults(t)
		})
	})
}

// drawFault draws the fault of the process's next append.
func (p *process) drawFault(t *rapid.T) {
	f := rapid.SampledFrom([]fault{noFault, answerLost, appendLate, appendSlow, answerSlow}).Draw(t, "fault")
	p.link.setFault(f, drawDuration(t, tellingDurations...))
}

// drawDuration draws one of the given durations. Drawing from a range would find
// less, because rapid prefers small values.
func drawDuration(t *rapid.T, among ...time.Duration) time.Duration {
	return rapid.SampledFrom(among).Draw(t, "duration")
}
