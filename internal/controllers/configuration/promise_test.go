package configuration

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	configv1 "github.com/goldcrestspool/goldcrestspool/api/config/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const (
	// newSchema is the newest schema that the newer program understands; the
	// older program understands one less.
	newSchema = 2
	// changeDeadline is the time within which all processes must use an
	// accepted change.
	changeDeadline = 12 * time.Second
	outage         = 2 * time.Minute
)

// documentText returns a document whose model version is the publication's ID.
func documentText(service ident.Service, publishID string) []byte {
	return fmt.Appendf(nil, `
schema = 1
service = "%s"
kind = "model"
model = { name = "m", version = "%s" }
classes = [{ name = "short", completion = "1s" }]
placement = { max = 1, prices = [{ failure_domain = "hall-a", class = "c", cents_per_hour = 1 }] }
`, service, publishID)
}

// oracle is the plain list of accepted publications in the order of the log.
type oracle struct{ accepted []oracleEntry }

type oracleEntry struct {
	service  ident.Service
	revision ident.Revision
	id       string
	schema   int
}

// newOracle reads the whole log, expired records included. It uses only the
// wire types and shares no code with the fold of package document.
func newOracle(records []platform.Record) oracle {
	var o oracle
	for _, r := range records {
		var record configv1.Record
		if err := proto.Unmarshal(r.Data, &record); err != nil {
			continue
		}
		p := record.GetPublication()
		if p.GetService() == "" || p.GetPublishId() == "" {
			continue
		}
		if uint64(o.currentRevision(ident.Service(p.Service))) != p.BaseRevision {
			continue
		}
		o.accepted = append(o.accepted, oracleEntry{
			service:  ident.Service(p.Service),
			revision: ident.Revision(r.Offset) + 1,
			id:       p.PublishId,
			schema:   int(p.Schema),
		})
	}
	return o
}

func (o oracle) currentRevision(service ident.Service) ident.Revision {
	revision := ident.Revision(0)
	for _, e := range o.accepted {
		if e.service == service {
			revision = e.revision
		}
	}
	return revision
}

// servedAt returns the publications that a program with the given schema has to
// use at a revision.
func (o oracle) servedAt(revision ident.Revision, schema int) map[ident.Service]oracleEntry {
	out := map[ident.Service]oracleEntry{}
	for _, e := range o.accepted {
		if e.revision <= revision && e.schema <= schema {
			out[e.service] = e
		}
	}
	return out
}

func (o oracle) lastRevision() ident.Revision {
	if len(o.accepted) == 0 {
		return 0
	}
	return o.accepted[len(o.accepted)-1].revision
}

// checkPublished checks that a set published by a process equals the oracle's
// at that revision and that no service goes back to an older revision.
func (c *cluster) checkPublished(p *process, set *document.Set) {
	want := newOracle(c.log.records()).servedAt(set.Revision, p.schema)
	if len(want) != len(set.Services) {
		c.recordFault("%s at revision %d has %d services, want %d", p.name, set.Revision, len(set.Services), len(want))
	}
	for service, entry := range set.Services {
		e := want[service]
		if e.revision != entry.Revision || e.id != entry.Document.Model.Version {
			c.recordFault("%s at revision %d uses %s at revision %d (%s), want %d (%s)", p.name, set.Revision, service,
				entry.Revision, entry.Document.Model.Version, e.revision, e.id)
		}
		if entry.Revision < p.served[service] {
			c.recordFault("%s went back from %d to %d", p.name, p.served[service], entry.Revision)
		}
		p.served[service] = entry.Revision
	}
}

// machine is the rapid state machine; its methods are the events.
type machine struct {
	*cluster
	published int
	// delayed holds records whose append is still on its way to the log.
	delayed [][]byte
}

var serviceNames = []ident.Service{"spool-llm", "auktion-app", "appli-jumelage"}

func (m *machine) record(t *rapid.T, service ident.Service, base ident.Revision) []byte {
	m.published++
	id := fmt.Sprintf("p%d", m.published)
	data, err := document.EncodePublication(document.Publication{
		Service: service, BaseRevision: base, PublishID: id,
		Schema:   rapid.IntRange(1, newSchema).Draw(t, "schema"),
		Document: documentText(service, id),
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// publish lets operators publish with the same base at once. Some bases are
// stale. Because answers get lost, a record is appended now, later or twice.
func (m *machine) publish(t *rapid.T) {
	service := rapid.SampledFrom(serviceNames).Draw(t, "service")
	base := newOracle(m.log.records()).currentRevision(service)
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		base = ident.Revision(rapid.IntRange(0, int(base)).Draw(t, "base"))
	}
	for range rapid.IntRange(1, 3).Draw(t, "operators") {
		data := m.record(t, service, base)
		switch rapid.SampledFrom([]string{"now", "later", "twice"}).Draw(t, "lands") {
		case "now":
			m.log.append(data)
		case "later":
			m.delayed = append(m.delayed, data)
		case "twice":
			m.log.append(data)
			m.delayed = append(m.delayed, data)
		}
	}
}

func (m *machine) appendDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("nothing is under way")
	}
	m.log.append(m.delayed[0])
	m.delayed = m.delayed[1:]
}

func (m *machine) appendGarbage(t *rapid.T) {
	m.log.append(rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "bytes"))
}

func (m *machine) logDown(t *rapid.T) { m.log.setDown(rapid.Bool().Draw(t, "down")) }

func (m *machine) cutDomains(t *rapid.T) { m.setPartitioned(rapid.Bool().Draw(t, "apart")) }

// cutFromLog disconnects one failure domain from the log, or makes its
// connections hang, or ends both faults.
func (m *machine) cutFromLog(t *rapid.T) {
	domain := rapid.IntRange(0, domains-1).Draw(t, "domain")
	cut, hang := rapid.Bool().Draw(t, "cut"), rapid.Bool().Draw(t, "hang")
	for _, p := range m.processes {
		if p.domain == domain {
			p.link.set(cut, hang)
		}
	}
}

func (m *machine) replaceOne(t *rapid.T) {
	m.replace(rapid.IntRange(0, len(m.processes)-1).Draw(t, "place"))
}

func (m *machine) replaceDomain(t *rapid.T) {
	domain := rapid.IntRange(0, domains-1).Draw(t, "domain")
	for place, p := range m.processes {
		if p.domain == domain {
			m.replace(place)
		}
	}
}

// expire removes old records from the log, also ones that no snapshot covers.
func (m *machine) expire(t *rapid.T) {
	m.log.expire(ident.Offset(rapid.IntRange(0, len(m.log.records())).Draw(t, "first")))
}

func (m *machine) passTime(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{
		100 * time.Millisecond, time.Second, 5 * time.Second, time.Minute,
	}).Draw(t, "time"))
}

// replacedInOutage replaces a whole failure domain while the log is down. The
// new processes must use the documents that the other domain has.
func (m *machine) replacedInOutage(t *rapid.T) {
	m.log.setDown(true)
	m.setPartitioned(false)
	m.replaceDomain(t)
	highest := ident.Revision(0)
	for _, p := range m.processes {
		highest = max(highest, p.controller.State().Revision())
	}
	time.Sleep(outage)
	for _, p := range m.processes {
		set, health := p.board.Documents.Value(), p.board.Configuration.Value()
		if set.Revision < highest || highest > 0 && !health.Ready {
			t.Fatalf("%s is at %d without the log, peers at %d; health %+v", p.name, set.Revision, highest, health)
		}
	}
}

// heal ends all faults. As long as the documents exist anywhere, all processes
// must use the oracle's documents within changeDeadline.
func (m *machine) heal(t *rapid.T) { m.healed(t) }

func (m *machine) healed(t *rapid.T) bool {
	m.log.setDown(false)
	m.setPartitioned(false)
	for _, p := range m.processes {
		p.link.set(false, false)
	}
	m.publish(t)
	if !m.recoverable() {
		return false
	}
	time.Sleep(changeDeadline)
	synctest.Wait()
	m.checkEverywhere(t)
	return true
}

// quiet checks that without faults a snapshot of everything is written in time,
// so that the next expiry loses nothing.
func (m *machine) quiet(t *rapid.T) {
	if !m.healed(t) {
		return
	}
	published := ident.Offset(len(m.log.records()))
	time.Sleep(DefaultSnapshotPolicy.Interval + DefaultSnapshotPolicy.Spread + 2*minSnapshotDelay)
	if m.log.snapshotCovers() < published {
		t.Fatalf("snapshot covers %d of %d records", m.log.snapshotCovers(), published)
	}
}

func (m *machine) checkEverywhere(t *rapid.T) {
	want := newOracle(m.log.records()).lastRevision()
	for _, p := range m.processes {
		health := p.board.Configuration.Value()
		if set := p.board.Documents.Value(); set.Revision != want || !health.Ready {
			t.Fatalf("%s is at %d, want %d; health %+v", p.name, set.Revision, want, health)
		}
	}
}

// recoverable reports whether the documents still exist anywhere. They don't
// once the records have expired, no snapshot covers them and every process that
// had read them is gone.
func (m *machine) recoverable() bool {
	covers := m.log.snapshotCovers()
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	for _, p := range m.processes {
		if p.controller.State().Next() >= m.log.first {
			return true
		}
	}
	return covers >= m.log.first
}

// snapshotCovers returns the offset that the newest kept snapshot covers.
func (l *memoryLog) snapshotCovers() ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	covers := ident.Offset(0)
	for _, r := range l.all[l.first:] {
		var record configv1.Record
		if proto.Unmarshal(r.Data, &record) == nil && record.GetSnapshot() != nil {
			covers = max(covers, ident.Offset(record.GetSnapshot().Covers))
		}
	}
	return covers
}

func (m *machine) check(t *rapid.T) {
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.faults) > 0 {
		t.Fatal(m.faults)
	}
}

// Compares the documents in use with a plain list of the log's records. An
// instance must not use a document that was never accepted or a mix of
// revisions, go back to an older revision, or miss a change, in any order of
// racing operators, lost and late answers, garbage, outages, partitions, silent
// connections, expired records, and replaced instances and failure domains.
// Some of the processes run an older program.
func TestDocumentsNeverRevertAndArriveEverywhere(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		testkit.Bubble(t, func() { runMachine(r) })
	})
}

func runMachine(t *rapid.T) {
	m := &machine{cluster: newCluster()}
	defer m.stopAll()
	t.Repeat(map[string]func(*rapid.T){
		"publish":       m.publish,
		"landLate":      m.appendDelayed,
		"garbage":       m.appendGarbage,
		"logDown":       m.logDown,
		"cutDomains":    m.cutDomains,
		"cutFromLog":    m.cutFromLog,
		"replaceOne":    m.replaceOne,
		"replaceDomain": m.replaceDomain,
		"expire":        m.expire,
		"pass":          m.passTime,
		"outage":        m.replacedInOutage,
		"heal":          m.heal,
		"quiet":         m.quiet,
		"":              m.check,
	})
}
