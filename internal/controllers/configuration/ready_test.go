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

// Symptom: as above, after a new instance took an older state from a peer.
// Sequence: the log is down; the peer with the highest revision is known, but
// does not answer at first.
// Cause: ready at less than the highest revision of the reachable peers.
func TestNotReadyBelowTheHighestPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer func() { w.stopAll() }()
		w.land(t, "a", 1, text(service, "a"))
		time.Sleep(inForce)
		w.log.setDown(true)
		w.setDeaf(true)
		w.replace(0)
		time.Sleep(time.Minute)
		if health := w.processes[0].board.Configuration.Value(); health.Ready {
			t.Errorf("ready without documents: %+v", health)
		}
		w.setDeaf(false)
		time.Sleep(inForce)
		if p := w.processes[0]; !p.board.Configuration.Value().Ready || p.board.Documents.Value().Revision != 1 {
			t.Errorf("not ready although a peer answers: %+v", p.board.Configuration.Value())
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
		w := newWorld()
		defer w.stopAll()
		w.land(t, "a", 1, text(service, "a"))
		time.Sleep(inForce)
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
				w := newWorld()
				defer w.stopAll()
				w.land(t, "a", 1, text(service, "a"))
				time.Sleep(inForce)
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
