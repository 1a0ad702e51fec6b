package document

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const schemaCount = 3

// readerMachine is a reader that gets the log's answers late, with the whole log
// beside it to compare with.
type readerMachine struct {
	reader Reader
	log    []platform.Record
	// first is the offset of the first record that has not expired.
	first ident.Offset
	// pendingAnswers are answers of the log that the reader has not got yet.
	pendingAnswers []logAnswer
	// deltas are answers of peers that the reader has not got yet.
	deltas []Delta
	// lastOffset is the state's next offset at the last check.
	lastOffset ident.Offset
}

// logAnswer is the answer to one read of the log.
type logAnswer struct {
	batch   platform.Batch
	expired bool
}

func (m *readerMachine) append(data []byte) {
	m.log = append(m.log, platform.Record{Offset: ident.Offset(len(m.log)), Data: data})
}

// stateAt returns the state of a reader that read all records below an offset in
// order.
func (m *readerMachine) stateAt(next ident.Offset) State {
	state, _ := Fold(State{}, m.log[:next])
	return state
}

// drawPrefix returns the state at a drawn offset.
func (m *readerMachine) drawPrefix(t *rapid.T) State {
	return m.stateAt(ident.Offset(rapid.IntRange(0, len(m.log)).Draw(t, "prefix")))
}

func (m *readerMachine) publish(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "records") {
		m.publishOne(t)
	}
}

func (m *readerMachine) publishOne(t *rapid.T) {
	service := rapid.SampledFrom([]ident.Service{"spool-llm", "auktion-app"}).Draw(t, "service")
	current, _ := m.stateAt(ident.Offset(len(m.log))).Current(service)
	base := current.Revision
	if rapid.Bool().Draw(t, "stale") {
		base = ident.Revision(rapid.IntRange(0, len(m.log)).Draw(t, "base"))
	}
	data, err := EncodePublication(Publication{
		Service: service, BaseRevision: base, PublishID: fmt.Sprint(len(m.log)),
		Schema: rapid.IntRange(1, schemaCount).Draw(t, "schema"),
	})
	if err != nil {
		t.Fatal(err)
	}
	m.append(data)
}

// writeSnapshot appends the snapshot of some process, which may have read the state
// long before.
func (m *readerMachine) writeSnapshot(t *rapid.T) {
	data, err := EncodeSnapshot(m.drawPrefix(t))
	if err != nil {
		t.Fatal(err)
	}
	m.append(data)
}

// restart replaces the reader by that of a new process.
func (m *readerMachine) restart(*rapid.T) {
	m.reader, m.lastOffset, m.pendingAnswers, m.deltas = Reader{}, 0, nil, nil
}

// search lets a new process find that its records have expired and look for a
// snapshot. A peer's answer may come between those of the log.
func (m *readerMachine) search(t *rapid.T) {
	m.restart(t)
	m.expire(t)
	for range 3 {
		m.read(t)
		m.deliver(t)
	}
	m.read(t)
	if rapid.Bool().Draw(t, "peer") {
		m.askPeer(t)
		m.mergePeer(t)
	}
}

func (m *readerMachine) expire(t *rapid.T) {
	m.first = ident.Offset(rapid.IntRange(int(m.first), len(m.log)).Draw(t, "first"))
}

func (m *readerMachine) read(t *rapid.T) {
	from := m.reader.NextOffset()
	batch := platform.Batch{Head: ident.Offset(len(m.log)), First: m.first}
	if from < m.first {
		m.pendingAnswers = append(m.pendingAnswers, logAnswer{batch: batch, expired: true})
		return
	}
	if from < batch.Head {
		end := min(int(from)+rapid.IntRange(1, 4).Draw(t, "limit"), len(m.log))
		batch.Records = m.log[from:end]
	}
	m.pendingAnswers = append(m.pendingAnswers, logAnswer{batch: batch})
}

func (m *readerMachine) deliver(t *rapid.T) {
	if len(m.pendingAnswers) == 0 {
		t.Skip("no answer is pending")
	}
	next := m.pendingAnswers[0]
	m.pendingAnswers = m.pendingAnswers[1:]
	if next.expired {
		m.reader.HandleExpired(next.batch.First)
		return
	}
	m.reader.ApplyBatch(next.batch)
}

// askPeer requests a delta from a peer that has read some part of the log.
func (m *readerMachine) askPeer(t *rapid.T) {
	m.deltas = append(m.deltas, m.drawPrefix(t).Delta(m.reader.State().CompleteThrough()))
}

func (m *readerMachine) mergePeer(t *rapid.T) {
	if len(m.deltas) == 0 {
		t.Skip("no peer was asked")
	}
	_ = m.reader.Merge(m.deltas[0])
	m.deltas = m.deltas[1:]
}

// check checks that the state equals that of reading all records in order, however
// the reader reached it.
func (m *readerMachine) check(t *rapid.T) {
	state := m.reader.State()
	if state.Next() < m.lastOffset {
		t.Fatalf("went back from %d to %d", m.lastOffset, state.Next())
	}
	m.lastOffset = state.Next()
	got, err := EncodeSnapshot(state)
	if err != nil {
		t.Fatal(err)
	}
	want, err := EncodeSnapshot(m.stateAt(state.Next()))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("state at %d is %v, want %v", state.Next(), state, m.stateAt(state.Next()))
	}
	for _, service := range state.Services() {
		if kept := len(state.Versions(service)); kept > schemaCount {
			t.Fatalf("%d versions kept of %s", kept, service)
		}
	}
}

// Guards against two instances at the same offset that use different documents, because
// one of them has skipped a record or applied it twice. That instance missed
// records and took a snapshot or a peer's documents instead; then an older answer of the
// log arrived.
func TestAllWaysToAnOffsetGiveOneState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &readerMachine{}
		t.Repeat(map[string]func(*rapid.T){
			"publish":  m.publish,
			"snapshot": m.writeSnapshot,
			"expire":   m.expire,
			"read":     m.read,
			"deliver":  m.deliver,
			"askPeer":  m.askPeer,
			"hearPeer": m.mergePeer,
			"restart":  m.restart,
			"search":   m.search,
			"":         m.check,
		})
	})
}

// Guards against accepted documents that disappear from an instance that was cut off,
// because it takes a snapshot that reverts a service. Its records expire; an operator
// starts the stream over with an empty snapshot, believing that no process knows the
// documents any more.
func TestSnapshotThatLacksADocumentIsNotTaken(t *testing.T) {
	publication, err := EncodePublication(Publication{Service: "spool-llm", PublishID: "a", Schema: 1})
	if err != nil {
		t.Fatal(err)
	}
	empty, err := EncodeSnapshot(EmptyState(5))
	if err != nil {
		t.Fatal(err)
	}
	var r Reader
	r.ApplyBatch(platform.Batch{Records: []platform.Record{{Data: publication}}, Head: 1})
	r.HandleExpired(5)
	r.ApplyBatch(platform.Batch{Records: []platform.Record{{Offset: 5, Data: empty}}, Head: 6, First: 5})
	if _, kept := r.State().Current("spool-llm"); !kept || !r.Searching() {
		t.Errorf("state %v, searching %v", r.State(), r.Searching())
	}
}
