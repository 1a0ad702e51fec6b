package capacity

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/configuration"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
)

const (
	// documentAccounts and documentDomains are the numbers of client accounts with
	// their own limits, and of failure domains with prices, in a document of the
	// system's target size.
	documentAccounts = 20
	documentDomains  = 10
	// timedChanges is how many changes timeUntilInForce measures.
	timedChanges = 3
)

// documentText returns the document of a service.
func documentText(name ident.Service) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "schema = 1\nservice = %q\nkind = \"model\"\n[model]\nname = \"m\"\nversion = \"1\"\n", name)
	b.WriteString("[[classes]]\nname = \"short\"\nfirst_token = \"460ms\"\nbetween_tokens = \"44ms\"\ncompletion = \"15s\"\npriority = 20\n")
	b.WriteString("[default_account]\nrequests_per_second = 50.0\nburst = 100\nmax_in_flight = 64\nshare = 1.0\n")
	for i := range documentAccounts {
		fmt.Fprintf(&b, "[[accounts]]\naccount = \"client-account-%d\"\nrequests_per_second = 200.0\nburst = 400\nmax_in_flight = 256\nshare = 3.0\n", i)
	}
	b.WriteString("[placement]\nmin = 2\nmax = 69\non_demand_share = 0.32\n")
	for i := range documentDomains {
		for _, reclaimable := range []bool{false, true} {
			fmt.Fprintf(&b, "[[placement.prices]]\nfailure_domain = %q\nclass = \"runner-large\"\nreclaimable = %t\ncents_per_hour = 310\n",
				domainOf(i, documentDomains), reclaimable)
		}
	}
	return []byte(b.String())
}

func serviceAt(i int) ident.Service { return ident.Service(fmt.Sprintf("service-%03d", i)) }

// publication returns the record that publishes a service's document.
func publication(name ident.Service, base ident.Revision) ([]byte, error) {
	return document.EncodePublication(document.Publication{
		Service: name, BaseRevision: base, PublishID: uuid.NewString(), Schema: document.CurrentSchema, Document: documentText(name),
	})
}

// foldedDocuments is the configuration that a process has after it has read a number of
// documents.
type foldedDocuments struct {
	state document.State
	set   *document.Set
}

func foldDocuments(documents int) (*foldedDocuments, error) {
	f := &foldedDocuments{}
	var records []platform.Record
	for i := range documents {
		data, err := publication(serviceAt(i), 0)
		if err != nil {
			return nil, err
		}
		records = append(records, platform.Record{Offset: ident.Offset(i), Data: data})
	}
	f.state, _ = document.Fold(document.State{}, records)
	var problems []string
	f.set, problems = document.BuildSet(f.state, nil, document.CurrentSchema)
	if len(problems) > 0 {
		return nil, errcode.New(errcode.Internal, problems[0])
	}
	return f, nil
}

// documentMemory returns the memory of a number of documents.
func documentMemory(documents int) (float64, error) {
	var err error
	used := memoryHeldBy(func() any {
		var f *foldedDocuments
		f, err = foldDocuments(documents)
		return f
	})
	return used, err
}

// changeCost returns the cost of one change among a number of documents: to fold the record
// and to build the new set.
func changeCost(documents int) (float64, error) {
	f, err := foldDocuments(documents)
	if err != nil {
		return 0, err
	}
	data, err := publication(serviceAt(0), 1)
	if err != nil {
		return 0, err
	}
	record := []platform.Record{{Offset: ident.Offset(documents), Data: data}}
	return microsPerCall(func() {
		next, _ := document.Fold(f.state, record)
		document.BuildSet(next, f.set, document.CurrentSchema)
	}), nil
}

// snapshotBytes returns the size of the snapshot record of a number of documents.
func snapshotBytes(documents int) (float64, error) {
	f, err := foldDocuments(documents)
	if err != nil {
		return 0, err
	}
	data, err := document.EncodeSnapshot(f.state)
	return float64(len(data)), err
}

// timeUntilInForce returns the longest time in milliseconds from the append of a change until
// all processes use the changed configuration. The log answers at once.
func timeUntilInForce(processes int) (float64, error) {
	log := logstore.New(logstore.Options{})
	loops := newBackgroundLoops()
	defer loops.stop()
	var sections []*blackboard.Section[*document.Set]
	for i := range processes {
		section := blackboard.NewSection(&document.Set{})
		sections = append(sections, section)
		c := configuration.New(configuration.Options{
			Instance: gatewayAt(i, 10).ID, Log: log, Documents: section,
			Health: blackboard.NewSection(blackboard.ConfigurationHealth{}),
		})
		loops.run(func(ctx context.Context) { _ = c.Run(ctx) })
	}
	longest := time.Duration(0)
	for i := range timedChanges {
		// By then the processes wait at the log's head.
		time.Sleep(300 * time.Millisecond)
		data, err := publication(serviceAt(i), 0)
		if err != nil {
			return 0, err
		}
		began := time.Now()
		offset, err := log.Append(loops.ctx, document.StreamName, [][]byte{data})
		if err != nil {
			return 0, err
		}
		if err := awaitRevision(sections, ident.Revision(offset)+1); err != nil {
			return 0, err
		}
		longest = max(longest, time.Since(began))
	}
	return longest.Seconds() * 1000, nil
}

// awaitRevision waits until all processes use a revision, at most 10 s.
func awaitRevision(sections []*blackboard.Section[*document.Set], wanted ident.Revision) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, section := range sections {
		snap := section.Load()
		for snap.Value.Revision < wanted {
			next, err := section.Wait(ctx, snap.Version)
			if err != nil {
				return err
			}
			snap = next
		}
	}
	return nil
}

// The series of the configuration.
const (
	ChangeCost     ID = "configuration.cpu"
	DocumentMemory ID = "configuration.memory"
	SnapshotBytes  ID = "configuration.bytes"
	InForce        ID = "configuration.in_force"
)

func configurationSeries() []Series {
	documents := []int{2, 20, 80, 320}
	return []Series{
		{ID: ChangeCost, Description: "one change: fold and new set", Package: "document", SizeUnit: "documents", Unit: Microseconds,
			Sizes: documents, Measure: changeCost},
		{ID: DocumentMemory, Description: "records and parsed documents", Package: "document", SizeUnit: "documents", Unit: Bytes,
			Sizes: documents, Measure: documentMemory},
		{ID: SnapshotBytes, Description: "the snapshot record; its slope is one revision", Package: "document", SizeUnit: "documents", Unit: Bytes,
			Sizes: documents, Measure: snapshotBytes},
		{ID: InForce, Description: "append to in force at all, wall clock, log without delay", Package: "controllers/configuration", SizeUnit: "processes",
			Unit: Milliseconds, Sizes: []int{8, 32, 128, 330}, Measure: timeUntilInForce},
	}
}
