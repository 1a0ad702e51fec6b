package orders_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/orders"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func init() { testkit.OneProcessor() }

// pollInterval is the time between two reads of the engine's report.
const pollInterval = 50 * time.Millisecond

// sceneOptions holds the parameters of a scene.
type sceneOptions struct {
	// checksFencing is whether the engine checks fencing numbers.
	checksFencing bool
	loadTime      time.Duration
	margin        time.Duration
	// version is the one that the engine runs at the start.
	version string
	// pauseBeforeCheck pauses holders before their last check of the lease
	// instead of after it.
	pauseBeforeCheck bool
	// interval is the time between two rounds, and between two reads of the
	// leases.
	interval time.Duration
}

// link is one process's connection to the log and to the engines.
type link struct {
	log platform.Log
	// orderDelay is the time after which the engine applies an order. It
	// applies it even if its sender has timed out by then.
	orderDelay time.Duration

	mu sync.Mutex
	// logCut is whether the log is unreachable.
	logCut bool
	// resumed is closed while the process is not paused.
	resumed chan struct{}
}

func newLink(log platform.Log) *link {
	l := &link{log: log, resumed: make(chan struct{})}
	close(l.resumed)
	return l
}

func (l *link) setLogCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logCut = cut
}

func (l *link) isLogCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.logCut
}

// pauseProcess pauses the process at its next append, read or order until the
// returned function is called. Reports still work, so that a round gets as far
// as its first order: the process is paused between the check and the send.
func (l *link) pauseProcess() func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	resumed := make(chan struct{})
	l.resumed = resumed
	return func() { close(resumed) }
}

func (l *link) waitWhilePaused() {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	<-resumed
}

func (l *link) Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error) {
	l.waitWhilePaused()
	if l.isLogCut() {
		return 0, platform.ErrUnavailable
	}
	return l.log.Append(ctx, stream, records)
}

func (l *link) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	l.waitWhilePaused()
	if l.isLogCut() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return l.log.Read(ctx, stream, from, limit, wait)
}

// remoteEngine is an engine as one process reaches it.
type remoteEngine struct {
	upstream.Engine
	link *link
}

func (r remoteEngine) Apply(ctx context.Context, order upstream.Order) error {
	r.link.waitWhilePaused()
	answer := make(chan error, 1)
	time.AfterFunc(r.link.orderDelay, func() { answer <- r.Engine.Apply(context.Background(), order) })
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// holder is one controller process with its own documents and list.
type holder struct {
	link      *link
	leases    *lease.Manager
	documents *blackboard.Section[*document.Set]
	listing   *blackboard.Section[blackboard.Listing]
}

// dialer implements orders.Dialer. It has one engine for all addresses.
type dialer struct{ engine upstream.Engine }

func (d dialer) Engine(string) upstream.Engine { return d.engine }

// weights grants every transfer, but if pauses is set, only while the process
// is not paused.
type weights struct {
	link   *link
	pauses bool
}

func (w weights) Reserve(context.Context, string, string) (platform.Transfer, error) {
	if w.pauses {
		w.link.waitWhilePaused()
	}
	return platform.Transfer{}, nil
}

func startHolder(t *testing.T, ctx context.Context, id ident.Instance, log platform.Log, e upstream.Engine, with sceneOptions) *holder {
	t.Helper()
	h := &holder{
		link:      newLink(log),
		documents: blackboard.NewSection(documentOf("1")),
		listing:   blackboard.NewSection(blackboard.Listing{}),
	}
	h.leases = lease.New(lease.Config{Holder: lease.NewHolder(id, 1), Margin: with.margin, Poll: with.interval}, h.link)
	go h.leases.Run(ctx)
	controller := orders.New(
		orders.Config{Interval: with.interval, RequestTimeout: lease.DefaultMargin, MaxParallel: 4},
		orders.Deps{
			Documents: h.documents,
			Listing:   h.listing,
			Leases:    h.leases,
			Dialer:    dialer{remoteEngine{Engine: e, link: h.link}},
			Weights:   weights{link: h.link, pauses: with.pauseBeforeCheck},
			Log:       hclog.NewNullLogger(),
		})
	go func() { _ = controller.Run(ctx) }()
	return h
}

var leaseName = lease.Name{Service: "spool-llm", FailureDomain: "hall-a"}

// listEngine adds the engine to the holder's list of instances.
func (h *holder) listEngine() {
	h.listing.Publish(blackboard.Listing{Instances: []platform.Instance{{
		ID: "engine-1", Incarnation: 1, Role: platform.RoleEngine, Service: leaseName.Service,
		FailureDomain: leaseName.FailureDomain, Address: "engine-1", State: platform.Live,
	}}})
}

func (h *holder) wantLease() { h.leases.SetWanted([]lease.Wanted{{Name: leaseName}}) }

func documentOf(version string) *document.Set {
	doc := &document.Document{Service: leaseName.Service, Kind: document.Model, Model: document.ModelSpec{Name: "m", Version: version}}
	return &document.Set{Services: map[ident.Service]document.Entry{leaseName.Service: {Document: doc}}}
}

// scene is one engine, an old holder that wants version 1, and a new holder
// that wants version 2.
type scene struct {
	engine   *engine.Engine
	old, new *holder
}

func newScene(t *testing.T, ctx context.Context, with sceneOptions) *scene {
	e := engine.New(engine.Config{
		Instance: "engine-1", Incarnation: 1, Parameters: engine.DefaultParameters(),
		ChecksFencing: with.checksFencing, LoadTime: with.loadTime, Model: "m", Version: with.version,
	})
	t.Cleanup(e.Close)
	log := logstore.New(logstore.Options{})
	s := &scene{engine: e}
	s.old = startHolder(t, ctx, "entry-1", log, e, with)
	time.Sleep(with.interval / 3)
	s.new = startHolder(t, ctx, "entry-2", log, e, with)
	s.new.documents.Publish(documentOf("2"))
	s.new.listEngine()
	s.old.wantLease()
	time.Sleep(5 * time.Second)
	s.new.wantLease()
	// From now on the new holder sees each renewal when it is appended.
	time.Sleep(5 * time.Second)
	return s
}

// timeAtOldVersion watches the engine for the time watch and returns for how
// long it did not run version 2 after it first did.
func (s *scene) timeAtOldVersion(t *testing.T, watch time.Duration) time.Duration {
	t.Helper()
	var total time.Duration
	reached := false
	for range int(watch / pollInterval) {
		time.Sleep(pollInterval)
		report, err := s.engine.Report(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		reached = reached || report.Version == "2"
		if reached && report.Version != "2" {
			total += pollInterval
		}
	}
	if report, _ := s.engine.Report(context.Background()); report.Version != "2" {
		t.Errorf("the engine ends at version %q, want 2", report.Version)
	}
	return total
}

// inBubble runs a test in virtual time and stops its processes at the end.
func inBubble(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer func() {
			stop()
			time.Sleep(time.Minute)
		}()
		run(t, ctx)
	})
}

// A holder is paused right before it sends an order, after it has checked its
// lease. Another process gets the lease and orders the new version; then the
// old holder resumes and its order arrives. The engine must not go back to the
// old version for good.
func TestLateOrderOfAFrozenHolderIsRepaired(t *testing.T) {
	const (
		interval = time.Second
		delay    = 200 * time.Millisecond
		// bound is the time of one round, after which the report is read,
		// plus the order's delay, plus the resolution of the test.
		bound = interval + delay + pollInterval
	)
	cases := []struct {
		name  string
		with  sceneOptions
		limit time.Duration
	}{
		{"engine checks the number: never applied", sceneOptions{checksFencing: true}, 0},
		{"engine checks the number and had the version before", sceneOptions{checksFencing: true, version: "2"}, 0},
		{"engine ignores it: repaired within the bound", sceneOptions{}, bound},
		{"engine ignores it and loads slowly: seen by the number before it is loaded", sceneOptions{loadTime: 10 * time.Second}, 0},
		{"engine ignores it, freeze before the check: never sent", sceneOptions{pauseBeforeCheck: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var worst time.Duration
			for wake := time.Duration(0); wake < interval; wake += pollInterval {
				inBubble(t, func(t *testing.T, ctx context.Context) {
					c.with.margin, c.with.interval = lease.DefaultMargin, interval
					s := newScene(t, ctx, c.with)
					s.old.link.orderDelay, s.new.link.orderDelay = delay, delay
					resume := s.old.link.pauseProcess()
					s.old.listEngine()
					time.Sleep(40 * time.Second)
					if report, _ := s.engine.Report(ctx); report.Version != "2" {
						t.Fatalf("the new holder has not ordered version 2, but %q", report.Version)
					}
					time.AfterFunc(wake, resume)
					worst = max(worst, s.timeAtOldVersion(t, 40*time.Second))
				})
			}
			t.Logf("at the old version for %v at worst, bound %v", worst, c.limit)
			if worst > c.limit {
				t.Errorf("at the old version for %v, want at most %v", worst, c.limit)
			}
			if c.limit > 0 && worst == 0 {
				t.Error("the late order changed nothing: the test proves nothing")
			}
		})
	}
}

// The margin keeps an order that was sent under a valid lease from being
// applied after the lease has passed to another holder. The old holder loses
// the log; an engine appears shortly before the lease's deadline and gets an
// order that takes a while; meanwhile the new holder gets the lease.
func TestMarginKeepsOrdersInFlightOutOfTheNextLease(t *testing.T) {
	worst := func(margin time.Duration) time.Duration {
		var worst time.Duration
		for at := lease.DefaultLength / 2; at <= lease.DefaultLength; at += 3 * pollInterval {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				s := newScene(t, ctx, sceneOptions{margin: margin, interval: 2 * pollInterval})
				s.old.link.orderDelay = lease.DefaultMargin - pollInterval
				s.old.link.setLogCut(true)
				go func() {
					time.Sleep(at)
					s.old.listEngine()
				}()
				worst = max(worst, s.timeAtOldVersion(t, 40*time.Second))
			})
		}
		return worst
	}
	with, without := worst(lease.DefaultMargin), worst(0)
	t.Logf("at the old version for %v with the margin, %v without", with, without)
	if with != 0 {
		t.Errorf("with the margin an engine was at the old version for %v", with)
	}
	if without == 0 {
		t.Error("without the margin nothing went wrong: the test proves nothing")
	}
}
