package capacity

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

const (
	// answerBytes is the length of a call's answer in bytes.
	answerBytes = 256
	// recordsPerKey is the number of records of a key: a claim and an outcome.
	recordsPerKey = 2
	// journalRunTime is how long the appends of coordinators are counted.
	journalRunTime = 4 * time.Second
	// callRate is how many calls with an idempotency key a gateway receives per
	// second meanwhile: a fifth of the requests of one gateway of 330.
	callRate = 2.5
	// busyRate is the same in a load spike, and busyGateways the number of gateways
	// then, which is today's.
	busyRate     = 25
	busyGateways = 8
)

// newClaim returns the i-th claim, with a new key and issued at the given time.
func newClaim(i int, at time.Time) journal.Claim {
	key := ident.CallKey{Service: plainService, Account: ident.ClientAccount(fmt.Sprintf("client-account-%d", i%50)), Key: ident.Key(uuid.NewString())}
	target := gatewayAt(i%20, 10)
	return journal.Claim{
		Head:   journal.Head{Key: key, ID: journal.NewClaimID(), Digest: journal.NewDigest(key, plainMethod, at, nil), IssuedAt: at},
		Holder: gatewayAt(i%330, 10).ID, HolderIncarnation: 1_700_000_000, Attempt: 1,
		Target: journal.Target{Instance: target.ID, Incarnation: target.Incarnation, Address: target.Address},
	}
}

// keyRecords returns the encoded claims and outcomes of a number of keys.
func keyRecords(keys int) ([][]byte, error) {
	now := time.Now()
	payload := make([]byte, answerBytes)
	records := make([][]byte, 0, recordsPerKey*keys)
	for i := range keys {
		c := newClaim(i, now)
		_, _ = rand.Read(payload)
		for _, event := range []journal.Event{c, journal.Outcome{Head: c.Head, Kind: outcome.Completed, Payload: payload}} {
			data, err := journal.Encode(event)
			if err != nil {
				return nil, err
			}
			records = append(records, data)
		}
	}
	return records, nil
}

// foldAll decodes and folds records as a gateway does.
func foldAll(records [][]byte) (*fold.Fold, error) {
	f := fold.New(false)
	now := time.Now()
	for i, data := range records {
		event, err := journal.Decode(data)
		if err != nil {
			return nil, err
		}
		f.Apply(ident.Offset(i), now, now, event)
	}
	return f, nil
}

// foldMemory returns the memory of a fold with a number of keys.
func foldMemory(keys int) (float64, error) {
	records, err := keyRecords(keys)
	if err != nil {
		return 0, err
	}
	used := memoryHeldBy(func() any {
		var f *fold.Fold
		f, err = foldAll(records)
		return f
	})
	// The records must be in use both before and after the measurement.
	runtime.KeepAlive(records)
	return used, err
}

// foldCost returns the cost of decoding and folding the records of a number of keys.
func foldCost(keys int) (float64, error) {
	records, err := keyRecords(keys)
	if err != nil {
		return 0, err
	}
	return microsPerCall(func() { _, err = foldAll(records) }), err
}

// readOverWire returns the cost of one read of the log that returns a number of journal
// records.
func readOverWire(records int) (wireFigures, error) {
	log := logstore.New(logstore.Options{})
	encoded, err := keyRecords(records/recordsPerKey + 1)
	if err != nil {
		return wireFigures{}, err
	}
	if records > 0 {
		if _, err := log.Append(context.Background(), journal.Stream(0), encoded[:records]); err != nil {
			return wireFigures{}, err
		}
	}
	mux := http.NewServeMux()
	connectplatform.Mount(mux, connectplatform.Services{Log: log})
	l, err := newLoopbackServer(mux)
	if err != nil {
		return wireFigures{}, err
	}
	client := connectplatform.NewClient(transport.NewClient(transport.Options{}), l.url())
	return measureServer(l, func() error {
		_, err := client.Read(context.Background(), journal.Stream(0), 0, records+1, 0)
		return err
	})
}

// instantDispatcher sends every call to the same upstream, which answers at once.
type instantDispatcher struct{ answer []byte }

// Pick implements calls.Dispatcher.
func (instantDispatcher) Pick(context.Context, calls.Call, []ident.Instance) (journal.Target, bool) {
	u := runnerAt(0, 10)
	return journal.Target{Instance: u.ID, Incarnation: u.Incarnation, Address: u.Address}, true
}

// Invoke implements calls.Dispatcher.
func (d instantDispatcher) Invoke(context.Context, calls.Call, journal.Target, ident.Fence) (upstream.Answer, error) {
	return upstream.Answer{Payload: d.answer}, nil
}

// Find implements calls.Dispatcher.
func (instantDispatcher) Find(context.Context, ident.CallKey, journal.Target, ident.Fence) (upstream.FindResult, error) {
	return upstream.FindResult{State: upstream.Absent}, nil
}

// measureAppends runs the call coordinators of several gateways on one log, each with its
// own calls, and returns the appends per second of all together.
func measureAppends(gateways int, perSecond float64, interval time.Duration) (float64, error) {
	log := logstore.New(logstore.Options{})
	documents := blackboard.NewSection(&document.Set{Services: map[ident.Service]document.Entry{plainService: {Document: &document.Document{
		Service: plainService, Kind: document.Plain, Methods: []document.Method{{Name: plainMethod, Timeout: 3 * time.Second}},
	}}}})
	loops := newBackgroundLoops()
	var failures sync.Map
	for i := range gateways {
		health := blackboard.NewSection(blackboard.JournalHealth{})
		c := calls.New(calls.Config{
			Instance: gatewayAt(i, 10).ID, Incarnation: 1, Log: log, Dispatcher: instantDispatcher{make([]byte, answerBytes)},
			Documents: documents, Health: health, Limits: calls.Limits{AppendInterval: interval},
		})
		loops.run(func(ctx context.Context) { _ = c.Run(ctx) })
		loops.run(func(ctx context.Context) {
			for snap := health.Load(); !snap.Value.Ready; {
				var err error
				if snap, err = health.Wait(ctx, snap.Version); err != nil {
					return
				}
			}
			// Gateways start at different times, as their callers do.
			time.Sleep(time.Duration(float64(time.Second) / perSecond * float64(i) / float64(gateways)))
			sendCalls(ctx, c, perSecond, &failures)
		})
	}
	time.Sleep(time.Second)
	before, began := log.Appends(), time.Now()
	time.Sleep(journalRunTime)
	appends, took := log.Appends()-before, time.Since(began)
	loops.stop()
	var failed error
	failures.Range(func(message, _ any) bool {
		failed = errcode.New(errcode.Internal, message.(string))
		return false
	})
	return float64(appends) / took.Seconds(), failed
}

// sendCalls sends calls at a steady rate until ctx is done, each in a goroutine of its own.
// It stores the messages of failed calls in failures.
func sendCalls(ctx context.Context, c *calls.Coordinator, perSecond float64, failures *sync.Map) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		running.Go(func() {
			o := c.Do(context.WithoutCancel(ctx), calls.Call{
				Key:    ident.CallKey{Service: plainService, Account: "trader", Key: ident.Key(uuid.NewString())},
				Method: plainMethod, IssuedAt: time.Now(), Attempt: 1,
			})
			if o.Kind != outcome.Completed && ctx.Err() == nil {
				failures.Store(o.Message, nil)
			}
		})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// appendsByGateways returns the appends per second of a number of gateways.
func appendsByGateways(gateways int) (float64, error) {
	return measureAppends(gateways, callRate, settings.DefaultBatchWait)
}

// appendsByInterval returns the appends per second of busy gateways that append at most so
// many batches per second to a partition.
func appendsByInterval(batches int) (float64, error) {
	return measureAppends(busyGateways, busyRate, time.Second/time.Duration(batches))
}

// The series of the journal.
const (
	KeyMemory       ID = "journal.memory"
	KeyProcessor    ID = "journal.cpu"
	ReadWire        ID = "journal.read"
	ReadWireBytes   ID = "journal.bytes"
	AppendsGateways ID = "journal.appends"
	AppendsInterval ID = "journal.batching"
)

func journalSeries() []Series {
	read := newMemoized(readOverWire)
	keys := []int{1000, 4000, 16000, 64000}
	records := []int{0, 32, 256, 1024}
	return []Series{
		{ID: KeyMemory, Description: "keys of a window, claim and outcome of 256 B", Package: "calls/fold", SizeUnit: "keys", Unit: Bytes,
			Sizes: keys, Measure: foldMemory},
		{ID: KeyProcessor, Description: "reading the records of keys, without the network", Package: "calls/fold", SizeUnit: "keys", Unit: Microseconds,
			Sizes: keys, Measure: foldCost},
		{ID: ReadWire, Description: "one read of the log over loopback, one end", Package: "platform/connectplatform", SizeUnit: "records", Unit: Microseconds,
			Sizes: records, Measure: func(n int) (float64, error) { w, err := read.at(n); return w.processor, err }},
		{ID: ReadWireBytes, Description: "one read of the log, both directions", Package: "platform/connectplatform", SizeUnit: "records", Unit: Bytes,
			Sizes: records, Measure: func(n int) (float64, error) { w, err := read.at(n); return w.bytes, err }},
		{ID: AppendsGateways, Description: "appends of all gateways, 2.5 keyed calls/s each", Package: "calls", SizeUnit: "gateways", Unit: PerSecond,
			Sizes: []int{4, 8, 16, 32}, Measure: appendsByGateways},
		{ID: AppendsInterval, Description: "appends of 8 gateways, 25 keyed calls/s each", Package: "calls", SizeUnit: "batches/s allowed", Unit: PerSecond,
			Sizes: []int{6, 12, 25, 50, 100}, Measure: appendsByInterval},
	}
}
