package spoolctl

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const (
	service     ident.Service = "auktion-app"
	testTimeout               = 30 * time.Second
)

// publishOnce publishes once, as an operator does, and returns the result.
func publishOnce(t *rapid.T, log *logstore.Log, id string, base *uint64) publication {
	s := &configStream{log: log, timeout: testTimeout}
	p := document.Publication{Service: service, PublishID: "", Schema: 1, Document: []byte(id)}
	result, err := publish(context.Background(), s, p, base)
	if err != nil {
		return publication{Verdict: notPublished, Detail: err.Error()}
	}
	return result
}

// readVerdicts reads the log from the start and returns the verdict on each
// publication by publish ID.
func readVerdicts(t *rapid.T, log *logstore.Log) map[string]publication {
	s := &configStream{log: log, timeout: testTimeout}
	if err := s.readToHead(context.Background()); err != nil {
		t.Fatal(err)
	}
	out := map[string]publication{}
	for _, d := range s.decisions {
		decided := lost
		if d.Kind == document.AcceptedRecord {
			decided = accepted
		}
		if _, twice := out[d.Publication.PublishID]; twice {
			t.Fatalf("%s was appended twice", d.Publication.PublishID)
		}
		out[d.Publication.PublishID] = publication{Verdict: decided, Revision: d.CurrentRevision}
	}
	return out
}

// Guards against a verdict that is taken from the append's answer instead of the
// log's order: an operator is told "accepted" for a change that is not in force,
// or "lost" for one that is, or a change is appended twice. Operators race for
// one service while the log loses answers before or after the append takes
// effect, applies appends late, and has outages.
func TestVerdictsAreTrue(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		testkit.Bubble(t, func() { raceOperators(r) })
	})
}

func raceOperators(t *rapid.T) {
	log := logstore.New(logstore.Options{})
	log.SetLateness(time.Duration(rapid.IntRange(1, 60).Draw(t, "late")) * time.Second)
	var results []publication
	for round := range rapid.IntRange(1, 4).Draw(t, "rounds") {
		operators := rapid.IntRange(1, 4).Draw(t, "operators")
		for range operators {
			log.LoseNext(rapid.SampledFrom([]fault.Loss{
				fault.None, fault.None, fault.BeforeEffect, fault.AfterEffect, fault.Late,
			}).Draw(t, "loss"))
		}
		finished := make(chan publication, operators)
		for i := range operators {
			go func() { finished <- publishOnce(t, log, fmt.Sprintf("%d-%d", round, i), nil) }()
		}
		if rapid.Bool().Draw(t, "outage") {
			log.SetOutage(true)
			time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(t, "outage")) * time.Second)
			log.SetOutage(false)
		}
		for range operators {
			results = append(results, <-finished)
		}
	}
	time.Sleep(time.Minute)
	checkVerdicts(t, results, readVerdicts(t, log))
}

// checkVerdicts compares the operators' results with the verdicts in the log.
func checkVerdicts(t *rapid.T, results []publication, logged map[string]publication) {
	for _, p := range results {
		inLog, found := logged[p.PublishID]
		switch p.Verdict {
		case accepted:
			if inLog.Verdict != accepted || inLog.Revision != p.Revision {
				t.Fatalf("operator got %+v, log has %+v", p, inLog)
			}
		case lost:
			if inLog.Verdict == accepted {
				t.Fatalf("operator got lost, but the log accepted it at revision %d", inLog.Revision)
			}
		case notPublished:
			if found && p.PublishID != "" {
				t.Fatalf("operator got not published, but the log has it: %+v", inLog)
			}
		}
	}
}

// Guards against a second append of a change whose first append was not looked
// for. The log loses the answer and appends the record only after the operator's
// command gave up; the operator then runs it again with the same publish ID.
func TestUndecidedPublicationIsSettledByItsID(t *testing.T) {
	testkit.Bubble(t, func() {
		log := logstore.New(logstore.Options{})
		log.SetLateness(time.Minute)
		log.LoseNext(fault.Late)
		first := &configStream{log: log, timeout: testTimeout}
		p := document.Publication{Service: service, Schema: 1, Document: []byte("x")}
		result, err := publish(context.Background(), first, p, nil)
		if err != nil || result.Verdict != undecided {
			t.Fatalf("first: %+v, %v", result, err)
		}
		time.Sleep(time.Minute)
		p.PublishID = result.PublishID
		base := uint64(result.Base)
		again, err := publish(context.Background(), &configStream{log: log, timeout: testTimeout}, p, &base)
		if err != nil || again.Verdict != accepted || again.Revision != 1 {
			t.Errorf("again: %+v, %v", again, err)
		}
		if log.Appends() != 1 {
			t.Errorf("%d appends", log.Appends())
		}
	})
}

// Guards against a state that no operator can end: all instances were stopped for
// longer than the log keeps records, so that all records expired and no snapshot
// is left. Nobody can tell what was in force, no instance gets ready and nothing
// can be published until an operator starts over.
func TestStartOverAfterTheLogLostTheDocuments(t *testing.T) {
	testkit.Bubble(t, func() {
		ctx := context.Background()
		log := logstore.New(logstore.Options{})
		p := document.Publication{Service: service, Schema: 1, Document: []byte("x")}
		open := func() *configStream { return &configStream{log: log, timeout: testTimeout} }
		if _, err := publish(ctx, open(), p, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := open().startOver(ctx, true); err == nil {
			t.Error("started over although the documents are there")
		}
		log.Expire(document.StreamName, 1)
		if _, err := publish(ctx, open(), p, nil); err == nil {
			t.Error("published although nobody can tell what is in force")
		}
		if _, err := open().startOver(ctx, false); err == nil {
			t.Error("started over without a confirmation")
		}
		log.LoseNext(fault.AfterEffect)
		if covers, err := open().startOver(ctx, true); err != nil || covers != 1 {
			t.Errorf("covers %d: %v", covers, err)
		}
		if result, err := publish(ctx, open(), p, nil); err != nil || result.Verdict != accepted || result.Base != 0 {
			t.Errorf("%+v, %v", result, err)
		}
	})
}

// Guards against history and show leaving out a version whose record was read but
// not applied, so that they find no document of a service that has one. The first
// records expire, and the record of the version in force is still there, before
// the snapshot that covers it.
func TestHistoryFromASnapshot(t *testing.T) {
	testkit.Bubble(t, func() {
		ctx := context.Background()
		log := logstore.New(logstore.Options{})
		for _, text := range []string{"x", "y"} {
			p := document.Publication{Service: service, Schema: 1, Document: []byte(text)}
			if _, err := publish(ctx, &configStream{log: log, timeout: testTimeout}, p, nil); err != nil {
				t.Fatal(err)
			}
		}
		writer := &configStream{log: log, timeout: testTimeout}
		if err := writer.readToHead(ctx); err != nil {
			t.Fatal(err)
		}
		snapshot, err := document.EncodeSnapshot(writer.reader.State())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(ctx, document.StreamName, [][]byte{snapshot}); err != nil {
			t.Fatal(err)
		}
		log.Expire(document.StreamName, 1)
		s := &configStream{log: log, timeout: testTimeout}
		if err := s.readToHead(ctx); err != nil {
			t.Fatal(err)
		}
		list := s.versions(service)
		if len(list) != 1 || !list[0].InForce || list[0].At == nil || string(list[0].document) != "y" {
			t.Errorf("%+v", list)
		}
	})
}
