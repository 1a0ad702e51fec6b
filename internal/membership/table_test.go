package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawEntry(t *rapid.T) Entry {
	at := func(label string) time.Time {
		s := rapid.IntRange(0, 3).Draw(t, label)
		if s == 0 {
			return time.Time{}
		}
		return epoch.Add(time.Duration(s) * time.Second)
	}
	e := Entry{
		ID:            "a",
		Incarnation:   ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		State:         rapid.SampledFrom([]blackboard.MemberState{blackboard.Alive, blackboard.Leaving, blackboard.Gone}).Draw(t, "state"),
		FailureDomain: rapid.SampledFrom([]ident.FailureDomain{"", "one"}).Draw(t, "domain"),
		PeerAddress:   rapid.SampledFrom([]string{"", "x:1"}).Draw(t, "peer"),
		LastSeen:      at("seen"),
		GoneAt:        at("gone"),
		Load:          Load{Running: rapid.Uint32Range(0, 2).Draw(t, "running"), At: at("load")},
	}
	if rapid.Bool().Draw(t, "described") {
		e.Description = &platform.Instance{Address: rapid.SampledFrom([]string{"y:1", "y:2"}).Draw(t, "address")}
	}
	return e
}

// The result of merging must not depend on the order, grouping or repetition of
// messages.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntry(t), drawEntry(t), drawEntry(t)
		if d := cmp.Diff(Merge(a, b), Merge(b, a)); d != "" {
			t.Fatalf("not commutative: %s", d)
		}
		if d := cmp.Diff(Merge(Merge(a, b), c), Merge(a, Merge(b, c))); d != "" {
			t.Fatalf("not associative: %s", d)
		}
		if d := cmp.Diff(Merge(a, a), a); d != "" {
			t.Fatalf("not idempotent: %s", d)
		}
	})
}

// tableMachine runs the tables of three processes against a simulated set of
// instances that live, leave, end and restart. Only the simulation knows their
// true state; the processes get answers to probes of running instances, lists
// that lag, and each other's digests, possibly after a long time without contact.
type tableMachine struct {
	now    time.Time
	world  map[ident.Instance]*platform.Instance
	lists  []recordedList
	tables []*Table
	// highestLeft holds, for each process, the highest incarnation of each
	// instance that the process ever knew to be leaving or gone.
	highestLeft []map[ident.Instance]ident.Incarnation
}

type recordedList struct {
	at   time.Time
	list []platform.Instance
}

const machineProcesses = 3

func newTableMachine() *tableMachine {
	m := &tableMachine{now: epoch, world: map[ident.Instance]*platform.Instance{}}
	for i := range 4 {
		id := ident.Instance(fmt.Sprintf("u%d", i))
		m.world[id] = &platform.Instance{ID: id, Incarnation: 1, State: platform.Live, FailureDomain: "one", Address: "a:1"}
	}
	for i := range machineProcesses {
		m.tables = append(m.tables, NewTable(ident.Instance(fmt.Sprintf("g%d", i)), "one", DefaultLimits()))
		m.highestLeft = append(m.highestLeft, map[ident.Instance]ident.Incarnation{})
	}
	m.snapshot()
	return m
}

func (m *tableMachine) snapshot() {
	var list []platform.Instance
	for _, i := range m.world {
		// Some platforms remove ended instances from the list, others keep them
		// for a while, as here u0.
		if i.State != platform.Ended || i.ID == "u0" {
			list = append(list, *i)
		}
	}
	m.lists = append(m.lists, recordedList{at: m.now, list: list})
}

func (m *tableMachine) drawInstance(t *rapid.T) *platform.Instance {
	return m.world[ident.Instance(fmt.Sprintf("u%d", rapid.IntRange(0, 3).Draw(t, "instance")))]
}

func (m *tableMachine) drawTable(t *rapid.T, label string) int {
	return rapid.IntRange(0, machineProcesses-1).Draw(t, label)
}

func (m *tableMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			seconds := rapid.SampledFrom([]int{1, 10, 50, 90, 200, 650}).Draw(t, "seconds")
			m.now = m.now.Add(time.Duration(seconds) * time.Second)
			m.snapshot()
		},
		"leave": func(t *rapid.T) {
			i := m.drawInstance(t)
			i.State = max(i.State, platform.Leaving)
			m.snapshot()
		},
		"end": func(t *rapid.T) {
			m.drawInstance(t).State = platform.Ended
			m.snapshot()
		},
		"restart": func(t *rapid.T) {
			i := m.drawInstance(t)
			i.Incarnation++
			i.State = platform.Live
			m.snapshot()
		},
		"probe": func(t *rapid.T) {
			i, p := m.drawInstance(t), m.drawTable(t, "prober")
			if i.State == platform.Ended {
				return
			}
			m.tables[p].Observe(Entry{ID: i.ID, Incarnation: i.Incarnation, State: memberState(i.State), FailureDomain: "one", LastSeen: m.now}, m.now)
		},
		"list": func(t *rapid.T) {
			p := m.drawTable(t, "reader")
			m.tables[p].ApplyList(m.drawList(t), m.now)
		},
		"digest": func(t *rapid.T) {
			from, to := m.drawTable(t, "from"), m.drawTable(t, "to")
			after := rapid.Uint64Range(0, m.tables[from].Sequence()).Draw(t, "after")
			d := m.tables[from].DeltaSince(Position{after, after / 2}, m.tables[to].self, 2)
			m.deliver(from, to, d)
		},
		"full": func(t *rapid.T) {
			from, to := m.drawTable(t, "from"), m.drawTable(t, "to")
			m.deliver(from, to, m.tables[from].Full())
		},
		// One process keeps reading the list while the others get no messages.
		"apart": func(t *rapid.T) {
			p := m.drawTable(t, "connected")
			for _, seconds := range []int{70, 70, 610} {
				m.tables[p].ApplyList(m.drawList(t), m.now)
				m.now = m.now.Add(time.Duration(seconds) * time.Second)
				m.snapshot()
				m.tables[p].Forget(m.now)
				m.check(t)
			}
		},
		"forget": func(t *rapid.T) { m.tables[m.drawTable(t, "table")].Forget(m.now) },
		"":       m.check,
	}
}

// drawList returns a list that is at most MaxListLag old; it may be older than
// one that was returned before.
func (m *tableMachine) drawList(t *rapid.T) []platform.Instance {
	first := len(m.lists) - 1
	for first > 0 && m.now.Sub(m.lists[first].at) < DefaultLimits().MaxListLag {
		first--
	}
	return m.lists[rapid.IntRange(first, len(m.lists)-1).Draw(t, "list")].list
}

// deliver merges a digest of process from into the table of process to.
func (m *tableMachine) deliver(from, to int, d Digest) {
	for _, e := range append(d.Facts, d.Figures...) {
		m.tables[to].MergePeer(m.tables[from].self, e, m.now)
	}
}

func (m *tableMachine) check(t *rapid.T) {
	for p, table := range m.tables {
		cached := table.Checksum()
		table.checksumSequence = table.lastFactSequence + 1
		if computed := table.Checksum(); cached != computed {
			t.Fatalf("process %d: cached checksum %x, want %x", p, cached, computed)
		}
		for e := range table.All {
			left := m.highestLeft[p][e.ID]
			if e.State == blackboard.Alive && e.Incarnation <= left {
				t.Fatalf("process %d: %s incarnation %d is alive again, %d had left", p, e.ID, e.Incarnation, left)
			}
			if e.State >= blackboard.Leaving {
				m.highestLeft[p][e.ID] = max(left, e.Incarnation)
			}
			truth := m.world[e.ID]
			if e.State == blackboard.Gone && truth.Incarnation == e.Incarnation && truth.State != platform.Ended {
				t.Fatalf("process %d: %s incarnation %d counts as gone, but is %v", p, e.ID, e.Incarnation, truth.State)
			}
		}
	}
}

// converge lets all processes exchange full digests and compares their facts.
func (m *tableMachine) converge(t *rapid.T) {
	for range 2 {
		for from := range m.tables {
			for to := range m.tables {
				m.deliver(from, to, m.tables[from].Full())
			}
		}
	}
	for p, table := range m.tables {
		for e := range table.All {
			for q, other := range m.tables {
				o, ok := other.Find(e.ID)
				// A later incarnation without a recent proof of life is not
				// accepted by others, but ends the earlier one there.
				same := o.Incarnation == e.Incarnation && o.State == e.State
				ended := o.Incarnation < e.Incarnation && o.State == blackboard.Gone
				if ok && !same && !ended && o.Incarnation <= e.Incarnation {
					t.Fatalf("process %d holds %v, process %d holds %v", p, e, q, o)
				}
			}
		}
	}
	m.check(t)
}

// Guards against an upstream that has left and gets requests again, because a stale
// "alive" is taken for a new one. Lists lag or are older than the one before;
// processes are cut off from each other for longer than they remember gone instances
// and then exchange their entries; instances restart under the same ID.
func TestTableNeverRevives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableMachine()
		t.Repeat(m.actions())
		m.converge(t)
	})
}

// Guards against a running upstream that counts as gone and never gets requests
// again, because its absence from an incomplete list is taken for its end. The
// platform's list lacks it for minutes, while it answers probes.
func TestAbsentButAnsweringStays(t *testing.T) {
	table := NewTable("g", "one", DefaultLimits())
	up := platform.Instance{ID: "u", Incarnation: 1, State: platform.Live}
	now := epoch
	table.ApplyList([]platform.Instance{up}, now)
	for range 300 {
		now = now.Add(time.Second)
		table.Observe(Entry{ID: "u", Incarnation: 1, State: blackboard.Alive, LastSeen: now}, now)
		table.ApplyList(nil, now)
	}
	if e, _ := table.Find("u"); e.State != blackboard.Alive {
		t.Fatalf("state %v, want alive", e.State)
	}
}

// Guards against a table that grows with every instance that ever ended, because a
// peer's entry of a gone instance counts as a new end: one process forgets a gone
// instance, another that still remembers it sends a full digest, and so on in turn.
func TestForgottenIsNotLearntAgain(t *testing.T) {
	tables := []*Table{NewTable("g0", "one", DefaultLimits()), NewTable("g1", "one", DefaultLimits())}
	now := epoch
	tables[0].Observe(Entry{ID: "u", Incarnation: 1, State: blackboard.Gone}, now)
	for range 20 {
		now = now.Add(time.Minute)
		for i, table := range tables {
			for _, e := range table.Full().Facts {
				tables[1-i].MergePeer(table.self, e, now)
			}
			table.Forget(now)
		}
	}
	if n := tables[0].Len() + tables[1].Len(); n != 0 {
		t.Fatalf("%d entries are left, want none", n)
	}
}

// Guards against an upstream that has ended and gets requests again, because its end
// is forgotten while older messages can still arrive: a list from before the end, or
// the last proof of life from a peer that was cut off.
func TestStaleAliveAfterTheEnd(t *testing.T) {
	limits := DefaultLimits()
	up := platform.Instance{ID: "u", Incarnation: 1, State: platform.Live}
	proof := Entry{ID: "u", Incarnation: 1, State: blackboard.Alive, LastSeen: epoch}
	for delay := time.Duration(0); delay < 2*limits.ForgetAfter; delay += time.Second {
		table := NewTable("g", "one", limits)
		table.Observe(Entry{ID: "u", Incarnation: 1, State: blackboard.Gone}, epoch)
		now := epoch.Add(delay)
		table.Forget(now)
		if delay <= limits.MaxListLag {
			table.ApplyList([]platform.Instance{up}, now)
		}
		table.MergePeer("p", proof, now)
		if e, ok := table.Find("u"); ok && e.State == blackboard.Alive {
			t.Fatalf("alive again %v after the end", delay)
		}
	}
}

// Guards against an upstream that has ended and gets requests again, or whose earlier
// incarnation still does. A process remembers an earlier incarnation, as alive or as
// leaving, but not the later one, which ended long ago; a peer that was cut off reports
// the later one as alive, without a recent proof of life. The fault comes about when any
// later incarnation of a known ID is accepted, or when it is rejected and the fact that
// the earlier one is over is dropped with it.
func TestUnprovedLaterIncarnationOnlyEndsTheEarlier(t *testing.T) {
	for _, state := range []blackboard.MemberState{blackboard.Alive, blackboard.Leaving} {
		table := NewTable("g", "one", DefaultLimits())
		now := epoch.Add(time.Hour)
		table.Observe(Entry{ID: "u", Incarnation: 1, State: state, LastSeen: now}, now)
		table.MergePeer("p", Entry{ID: "u", Incarnation: 2, State: blackboard.Alive, LastSeen: epoch}, now)
		if e, _ := table.Find("u"); e.State != blackboard.Gone || e.Incarnation != 1 {
			t.Errorf("incarnation %d in state %v, want 1 gone", e.Incarnation, e.State)
		}
	}
}
