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

// publishNext publishes the next version of the service's document.
func (c *cluster) publishNext(t *testing.T, id string, schema int, text []byte) {
	t.Helper()
	data, err := document.EncodePublication(document.Publication{
		Service: service, BaseRevision: newOracle(c.log.records()).currentRevision(service),
		PublishID: id, Schema: schema, Document: text,
	})
	if err != nil {
		t.Fatal(err)
	}
	c.log.append(data)
}

// newServingCluster returns processes that all use publication "a".
func newServingCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster()
	c.publishNext(t, "a", 1, documentText(service, "a"))
	time.Sleep(changeDeadline)
	return c
}

// slowLog returns one record a second.
type slowLog struct{ platform.Log }

func (l slowLog) Read(ctx context.Context, stream string, from ident.Offset, _ int, wait time.Duration) (platform.Batch, error) {
	time.Sleep(time.Second)
	return l.Log.Read(ctx, stream, from, 1, wait)
}

// Documents must not be published on the blackboard before the log's head is
// reached. Otherwise a new instance uses the stream's first records while the
// others use the last, and callers of a service are served with an older
// document than before.
func TestNothingIsPublishedBeforeTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{log: newMemoryLog()}
		for _, id := range []string{"a", "b", "c"} {
			c.publishNext(t, id, 1, documentText(service, id))
		}
		p := c.startWithLog(0, slowLog{&link{log: c.log}})
		defer p.stop()
		snap, err := p.board.Documents.Wait(t.Context(), 0)
		if err != nil || snap.Value.Revision != 3 {
			t.Errorf("first revision in use %d, want 3; %v", snap.Value.Revision, err)
		}
	})
}

// A process must not be ready below the highest revision of its reachable
// peers. Here the log goes down while a new instance reads it, and the peer
// with the highest revision is known but does not answer at first.
func TestNotReadyBelowTheHighestPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer func() { c.stopAll() }()
		for _, id := range []string{"a", "b", "c"} {
			c.publishNext(t, id, 1, documentText(service, id))
		}
		time.Sleep(changeDeadline)
		c.setDocumentsBlocked(true)
		p := c.startWithLog(0, slowLog{&link{log: c.log}})
		defer p.stop()
		time.Sleep(1500 * time.Millisecond)
		c.log.setDown(true)
		time.Sleep(time.Minute)
		if health := p.board.Configuration.Value(); health.Ready || p.controller.Revision() != 1 {
			t.Errorf("at revision %d, peers at 3; health %+v", p.controller.Revision(), health)
		}
		c.setDocumentsBlocked(false)
		time.Sleep(changeDeadline)
		if !p.board.Configuration.Value().Ready || p.board.Documents.Value().Revision != 3 {
			t.Errorf("not ready although a peer answers: %+v", p.board.Configuration.Value())
		}
	})
}

// An instance that is disconnected from the log while records without effect
// are appended and expire must close the gap from its peers, and a snapshot
// must soon cover the gap. If only a snapshot or a newer revision closed it,
// the instance would report the gap for minutes; if snapshots were written by
// age alone, the documents would be lost when all processes restart meanwhile.
func TestGapIsClosedByPeersAndThenByASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newServingCluster(t)
		defer c.stopAll()
		c.processes[0].link.set(true, false)
		time.Sleep(changeDeadline)
		c.log.append([]byte("?"))
		time.Sleep(changeDeadline)
		c.log.expire(2)
		c.processes[0].link.set(false, false)
		c.log.append([]byte("?"))
		time.Sleep(minSnapshotDelay)
		if health := c.processes[0].board.Configuration.Value(); health.Problem != "" || !health.LogReachable {
			t.Errorf("gap stays open: %+v", health)
		}
		time.Sleep(DefaultSnapshotPolicy.Spread + 2*minSnapshotDelay)
		if covers := c.log.snapshotCovers(); covers < 2 {
			t.Errorf("snapshot covers %d, records below 2 are gone", covers)
		}
	})
}

// Documents must not exist in the log alone. Here the log is down for hours,
// all processes of a failure domain are replaced meanwhile, the records expire
// before the log is back, and then new documents are published. The failure
// domain must not be without documents, or have older ones, until the log is
// back.
func TestFailureDomainReplacedWhileTheLogIsDownForHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newServingCluster(t)
		defer c.stopAll()
		c.log.setDown(true)
		time.Sleep(2 * time.Hour)
		c.replace(0)
		c.replace(1)
		time.Sleep(changeDeadline)
		c.expectEverywhere(t, "a")
		time.Sleep(2 * time.Hour)
		c.log.expire(ident.Offset(len(c.log.records())))
		c.log.setDown(false)
		c.publishNext(t, "b", 1, documentText(service, "b"))
		time.Sleep(changeDeadline)
		c.expectEverywhere(t, "b")
	})
}

// No process may follow the log to a lower revision: if the platform restores
// its log from a copy that lacks the newest records, accepted changes would be
// undone.
func TestShorterLogRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stopAll()
		c.publishNext(t, "a", 1, documentText(service, "a"))
		c.publishNext(t, "b", 1, documentText(service, "b"))
		time.Sleep(changeDeadline)
		c.log.truncate(1)
		time.Sleep(changeDeadline)
		c.expectEverywhere(t, "b")
		if p := c.processes[0].board.Configuration.Value().Problem; !strings.Contains(p, "not reverting") {
			t.Errorf("problem %q", p)
		}
	})
}

// expectEverywhere checks that all processes use the publication with this ID.
func (c *cluster) expectEverywhere(t *testing.T, id string) {
	t.Helper()
	synctest.Wait()
	for _, p := range c.processes {
		served, ok := p.board.Documents.Value().Find(service)
		health := p.board.Configuration.Value()
		if !ok || served.Model.Version != id || !health.Ready {
			t.Errorf("%s uses %+v, want %s; health %+v", p.name, served, id, health)
		}
	}
}

// A process that can't use a service's newest document must keep using the last
// one that it understood, or the service would vanish from the instances of an
// older program when a newer program publishes a newer schema, and from all
// instances when a faulty program publishes something that is no document.
func TestLastUnderstoodDocumentStaysInUse(t *testing.T) {
	cases := []struct {
		name    string
		schema  int
		text    []byte
		problem string
	}{
		{"a newer schema", newSchema + 1, documentText(service, "b"), "has schema 3"},
		{"no document", 1, []byte("?"), "is not valid"},
		{"another service's document", 1, documentText("auktion-app", "b"), "describes service"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newServingCluster(t)
				defer c.stopAll()
				c.publishNext(t, "b", tc.schema, tc.text)
				time.Sleep(changeDeadline)
				for _, p := range c.processes {
					served, ok := p.board.Documents.Value().Find(service)
					health := p.board.Configuration.Value()
					if !ok || served.Model.Version != "a" || !health.Ready || !strings.Contains(health.Problem, tc.problem) {
						t.Errorf("%s uses %+v; health %+v", p.name, served, health)
					}
				}
			})
		})
	}
}
