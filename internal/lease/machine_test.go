package lease_test

import (
	"context"
	"fmt"
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
	processCount = 3
	// checkEvery is the time between two looks of the oracle.
	checkEvery = 200 * time.Millisecond
	// healTime is enough for an undecided state to be settled, for a lease to
	// lapse and for each candidate to wait its rank.
	healTime = lease.Horizon + 2*time.Minute
)

var names = []lease.Name{{Service: "spool-llm", FailureDomain: "hall-a"}, {Service: "auktion-app"}}

// virtualTime hides the test's deadline from rapid: it is in real time, and
// must not be read in a bubble of virtual time.
type virtualTime struct{ rapid.TB }

// process is one controller that wants all leases and sends an order each
// second under each of those that it holds.
type process struct {
	link    *link
	manager *lease.Manager
	kill    context.CancelFunc
	stop    context.CancelFunc
	done    chan struct{}
}

// landed is an order that an engine got.
type landed struct {
	fence ident.Fence
	// frozen: its sender was frozen between the check and the send.
	frozen bool
}

// machine runs several processes against one log and engines that do not
// check fences.
type machine struct {
	log       *fakeLog
	processes []*process
	margin    time.Duration
	flight    time.Duration
	// highest is the highest fence that landed, by lease.
	highest map[lease.Name]ident.Fence
	arrived chan func()
	started int
	problem string
}

func (m *machine) start(i int) {
	dead, kill := context.WithCancel(context.Background())
	running, stop := context.WithCancel(dead)
	m.started++
	p := &process{link: newLink(m.log, dead), kill: kill, stop: stop, done: make(chan struct{})}
	holder := lease.NewHolder(ident.Instance(fmt.Sprintf("entry-%d", i)), ident.Incarnation(m.started))
	p.manager = lease.New(lease.Config{Holder: holder, Margin: m.margin}, p.link)
	p.manager.Want(wanted(i))
	go func() {
		p.manager.Run(running)
		close(p.done)
	}()
	go m.sendOrders(p, running)
	m.processes[i] = p
}

func wanted(rank int) []lease.Wanted {
	var all []lease.Wanted
	for _, name := range names {
		all = append(all, lease.Wanted{Name: name, Rank: rank})
	}
	return all
}

// sendOrders sends orders until the process ends. A frozen process sends the
// order that it had checked right before, whenever it wakes.
func (m *machine) sendOrders(p *process, running context.Context) {
	for running.Err() == nil {
		for _, name := range names {
			grant, held := p.manager.Grant(name)
			if !held {
				continue
			}
			frozen := p.link.pause()
			order := landed{fence: grant.Fence, frozen: frozen}
			time.AfterFunc(m.flight, func() { m.arrived <- func() { m.land(name, order) } })
		}
		select {
		case <-running.Done():
		case <-time.After(time.Second):
		}
	}
}

// land is the oracle of orders: one whose sender was not frozen never lands
// after an order of a newer holder.
func (m *machine) land(name lease.Name, order landed) {
	if order.fence < m.highest[name] && !order.frozen {
		m.problem = fmt.Sprintf("order with fence %d landed after fence %d", order.fence, m.highest[name])
	}
	m.highest[name] = max(m.highest[name], order.fence)
}

// advance lets virtual time pass and looks at every process in between.
func (m *machine) advance(t *rapid.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(checkEvery)
		synctest.Wait()
		m.log.expire()
		m.drain()
		m.check(t)
	}
}

func (m *machine) drain() {
	for {
		select {
		case land := <-m.arrived:
			land()
		default:
			return
		}
	}
}

// check is the oracle of holders: at most one process holds a lease, frozen
// ones included.
func (m *machine) check(t *rapid.T) {
	if m.problem != "" {
		t.Fatal(m.problem)
	}
	for _, name := range names {
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

// heal ends all faults and expects one holder of each lease.
func (m *machine) heal(t *rapid.T) {
	m.log.setDown(false)
	for _, p := range m.processes {
		p.link.thaw()
		p.link.setFault(noFault, 0)
	}
	m.advance(t, healTime)
	for _, name := range names {
		if holders := m.holders(name); len(holders) != 1 {
			t.Fatalf("%v: holders after healing: %v", name, holders)
		}
	}
}

// end stops all goroutines of one check.
func (m *machine) end() {
	for _, p := range m.processes {
		p.link.thaw()
		p.kill()
		<-p.done
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	m.drain()
}

func newMachine(margin, flight time.Duration) *machine {
	m := &machine{
		log:       &fakeLog{},
		processes: make([]*process, processCount),
		margin:    margin,
		flight:    flight,
		highest:   make(map[lease.Name]ident.Fence),
		arrived:   make(chan func(), 1<<16),
	}
	for i := range m.processes {
		m.start(i)
	}
	return m
}

// Symptom: two controllers order the same engine about, and the older order
// wins. Sequence: any mix of freezes, kills, restarts, log outages, appends
// whose answer is lost or that take effect late, and expired records. Cause: a
// holder that believes in its lease for longer than its successor waits.
func TestAtMostOneHolderUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTime{t}, func(t *rapid.T) {
			m := newMachine(lease.DefaultMargin, lease.DefaultMargin)
			defer m.end()
			pick := func() *process { return m.processes[rapid.IntRange(0, processCount-1).Draw(t, "process")] }
			t.Repeat(map[string]func(*rapid.T){
				"wait":     func(t *rapid.T) { m.advance(t, durationUpTo(t, 40*time.Second)) },
				"waitLong": func(t *rapid.T) {
					if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
						m.advance(t, durationUpTo(t, 4*lease.Horizon))
					}
				},
				"freeze":   func(t *rapid.T) { pick().link.freeze() },
				"thaw":     func(t *rapid.T) { pick().link.thaw() },
				"outage":   func(t *rapid.T) { m.log.setDown(rapid.Bool().Draw(t, "down")) },
				"fault": func(t *rapid.T) {
					f := rapid.SampledFrom([]fault{answerLost, appendLate, appendSlow}).Draw(t, "fault")
					pick().link.setFault(f, durationUpTo(t, 40*time.Second))
				},
				"kill": func(t *rapid.T) {
					i := rapid.IntRange(0, processCount-1).Draw(t, "process")
					m.processes[i].kill()
					m.processes[i].link.thaw()
					m.start(i)
				},
				"stop": func(t *rapid.T) {
					i := rapid.IntRange(0, processCount-1).Draw(t, "process")
					m.processes[i].stop()
					m.processes[i].link.thaw()
					<-m.processes[i].done
					m.start(i)
				},
				"unwant":    func(t *rapid.T) { pick().manager.Want(nil) },
				"wantAgain": func(t *rapid.T) { pick().manager.Want(wanted(rapid.IntRange(0, 2).Draw(t, "rank"))) },
			})
			for i, p := range m.processes {
				p.manager.Want(wanted(i))
			}
			m.heal(t)
		})
	})
}

func durationUpTo(t *rapid.T, limit time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(limit/time.Millisecond)).Draw(t, "milliseconds")) * time.Millisecond
}
