package configuration

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

const service ident.Service = "spool-llm"

// land publishes the next version of the service's document.
func (w *world) land(t *testing.T, id string, schema int, text []byte) {
	t.Helper()
	data, err := document.EncodePublication(document.Publication{
		Service: service, Base: newOracle(w.log.records()).current(service),
		PublishID: id, Schema: schema, Document: text,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.log.land(data)
}

// newServingWorld returns processes that all serve by publication "a".
func newServingWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld()
	w.land(t, "a", 1, text(service, "a"))
	time.Sleep(inForce)
	return w
}

// slowLog gives one record a second.
type slowLog struct{ platform.Log }

func (l slowLog) Read(ctx context.Context, stream string, from ident.Offset, _ int, wait time.Duration) (platform.Batch, error) {
	time.Sleep(time.Second)
	return l.Log.Read(ctx, stream, from, 1, wait)
}

// Symptom: callers of one service are served by an older document than before.
// Sequence: a new instance begins to read the stream and serves by the first
// of its records while the others serve by the last.
// Cause: documents on the blackboard before the log's head is reached.
func TestNothingIsServedByBeforeTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{log: newMemoryLog()}
		for _, id := range []string{"a", "b", "c"} {
			w.land(t, id, 1, text(service, id))
		}
		p := w.startWith(0, slowLog{&link{log: w.log}})
		defer p.stop()
		snap, err := p.board.Documents.Wait(t.Context(), 0)
		if err != nil || snap.Value.Revision != 3 {
			t.Errorf("first served by revision %d, want 3; %v", snap.Value.Revision, err)
		}
	})
}

// Symptom: as above, after a new instance took an older state from the log.
// Sequence: the log goes down while a new instance reads it; the peer with the
// highest revision is known, but does not answer at first.
// Cause: ready at less than the highest revision of the reachable peers.
func TestNotReadyBelowTheHighestPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer func() { w.stopAll() }()
		for _, id := range []string{"a", "b", "c"} {
			w.land(t, id, 1, text(service, id))
		}
		time.Sleep(inForce)
		w.setDeaf(true)
		p := w.startWith(0, slowLog{&link{log: w.log}})
		defer p.stop()
		time.Sleep(1500 * time.Millisecond)
		w.log.setDown(true)
		time.Sleep(time.Minute)
		if health := p.board.Configuration.Value(); health.Ready || p.controller.Revision() != 1 {
			t.Errorf("at revision %d, peers at 3; health %+v", p.controller.Revision(), health)
		}
		w.setDeaf(false)
		time.Sleep(inForce)
		if !p.board.Configuration.Value().Ready || p.board.Documents.Value().Revision != 3 {
			t.Errorf("not ready although a peer answers: %+v", p.board.Configuration.Value())
		}
	})
}

// Symptom: an instance reports a gap in the log for minutes although its peers
// have none; if all restart meanwhile, the documents are lost.
// Sequence: an instance is cut from the log while records without effect are
// appended and expire; no snapshot covers them.
// Cause: a gap is closed by a snapshot or by a peer's newer revision alone, or
// snapshots are written by age alone.
func TestGapIsClosedByPeersAndThenByASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newServingWorld(t)
		defer w.stopAll()
		w.processes[0].link.set(true, false)
		time.Sleep(inForce)
		w.log.land([]byte("?"))
		time.Sleep(inForce)
		w.log.expire(2)
		w.processes[0].link.set(false, false)
		w.log.land([]byte("?"))
		time.Sleep(minSpread)
		if health := w.processes[0].board.Configuration.Value(); health.Problem != "" || !health.LogReachable {
			t.Errorf("gap stays open: %+v", health)
		}
		time.Sleep(DefaultSnapshotPolicy.Spread + 2*minSpread)
		if covers := w.log.snapshotCovers(); covers < 2 {
			t.Errorf("snapshot covers %d, records below 2 are gone", covers)
		}
	})
}

// Symptom: a failure domain has no documents, or older ones, until the log is
// back.
// Sequence: the log is down for hours; all processes of a failure domain are
// replaced meanwhile; the records expire before the log is back, and then new
// documents are published.
// Cause: documents that live in the log and nowhere else.
func TestFailureDomainReplacedWhileTheLogIsDownForHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newServingWorld(t)
		defer w.stopAll()
		w.log.setDown(true)
		time.Sleep(2 * time.Hour)
		w.replace(0)
		w.replace(1)
		time.Sleep(inForce)
		w.expectEverywhere(t, "a")
		time.Sleep(2 * time.Hour)
		w.log.expire(ident.Offset(len(w.log.records())))
		w.log.setDown(false)
		w.land(t, "b", 1, text(service, "b"))
		time.Sleep(inForce)
		w.expectEverywhere(t, "b")
	})
}

// Symptom: an accepted change is gone.
// Sequence: the platform restores its log from a copy that lacks the newest
// records.
// Cause: following the log to a lower revision.
func TestShorterLogRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stopAll()
		w.land(t, "a", 1, text(service, "a"))
		w.land(t, "b", 1, text(service, "b"))
		time.Sleep(inForce)
		w.log.truncate(1)
		time.Sleep(inForce)
		w.expectEverywhere(t, "b")
		if p := w.processes[0].board.Configuration.Value().Problem; !strings.Contains(p, "not reverting") {
			t.Errorf("problem %q", p)
		}
	})
}

// expectEverywhere checks that all processes serve by a publication.
func (w *world) expectEverywhere(t *testing.T, id string) {
	t.Helper()
	synctest.Wait()
	for _, p := range w.processes {
		served, ok := p.board.Documents.Value().Find(service)
		health := p.board.Configuration.Value()
		if !ok || served.Model.Version != id || !health.Ready {
			t.Errorf("%s serves by %+v, want %s; health %+v", p.name, served, id, health)
		}
	}
}

// Symptom: a service vanishes from the instances of an older program, or of
// all, once its newest document cannot be understood.
// Sequence: a newer program publishes a newer schema; a faulty one publishes
// what is no document.
// Cause: serving by the newest document or by none.
func TestServesByTheLastDocumentUnderstood(t *testing.T) {
	cases := []struct {
		name    string
		schema  int
		text    []byte
		problem string
	}{
		{"a newer schema", newSchema + 1, text(service, "b"), "has schema 3"},
		{"no document", 1, []byte("?"), "is not valid"},
		{"another service's document", 1, text("auktion-app", "b"), "describes service"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newServingWorld(t)
				defer w.stopAll()
				w.land(t, "b", c.schema, c.text)
				time.Sleep(inForce)
				for _, p := range w.processes {
					served, ok := p.board.Documents.Value().Find(service)
					health := p.board.Configuration.Value()
					if !ok || served.Model.Version != "a" || !health.Ready || !strings.Contains(health.Problem, c.problem) {
						t.Errorf("%s serves by %+v; health %+v", p.name, served, health)
					}
				}
			})
		})
	}
}
