package capacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/cacheview"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// promptTokens is the length of the prompt for which routing is measured.
const promptTokens = 4096

// runnerSizes are numbers of runners. The first is today's, the last the target's.
var runnerSizes = []int{9, 100, 330, 690}

// upstreamView returns routing's view of a number of runners whose cache views contain none,
// some or all of the given blocks.
func upstreamView(runners int, now time.Time, blocks []uint64) []blackboard.Upstream {
	out := make([]blackboard.Upstream, runners)
	for i := range out {
		cache := cacheview.New(cacheview.DefaultParams(), now)
		// Runners hold none, a third, two thirds or all of the prompt, so that
		// look-ups search many blocks.
		cache.Placed(blocks[:len(blocks)*(i%4)/3], now)
		out[i] = blackboard.Upstream{
			Instance: runnerAt(i, 10),
			State:    blackboard.Alive,
			Report: upstream.Report{
				Running: i % 20, Queued: i % 3, QueuedPrefillTokens: i % 5 * 400,
				PrefillRate: 20000, Step: 20 * time.Millisecond,
			},
			AsOf:  now.Add(-time.Second),
			Cache: cache,
		}
	}
	return out
}

// routingFixture is the router of one service, two equal views of its upstreams, and a
// request.
type routingFixture struct {
	router *routing.Router
	doc    *document.Document
	views  [2][]blackboard.Upstream
	req    routing.Request
	now    time.Time
}

func newRoutingFixture(runners int) *routingFixture {
	now := time.Now()
	text := strings.Repeat("dossier ", promptTokens*prompt.BytesPerToken/len("dossier "))
	w := &routingFixture{
		router: routing.New(routing.DefaultParams(), now.Add(-time.Minute)),
		doc:    &document.Document{Service: modelService, Kind: document.Model},
		now:    now,
		req: routing.Request{
			Service: modelService, Account: "registrar", FailureDomain: domainOf(0, 10), MaxTokens: 357,
			Class:  document.Class{Name: "short", FirstToken: 460 * time.Millisecond, Priority: 20},
			Blocks: prompt.Blocks(text), PromptTokens: prompt.Tokens(text),
		},
	}
	w.views[0] = upstreamView(runners, now, w.req.Blocks)
	w.views[1] = slices.Clone(w.views[0])
	return w
}

// decisionCost returns the cost of one decision among a number of runners.
func decisionCost(runners int) (float64, error) {
	w := newRoutingFixture(runners)
	return microsPerCall(func() { w.router.Decide(w.doc, w.views[0], w.req, w.now) }), nil
}

// preparationCost returns how much more the first decision on a new view costs than later
// ones.
func preparationCost(runners int) (float64, error) {
	w := newRoutingFixture(runners)
	calls := 0
	withNewView := microsPerCall(func() {
		calls++
		w.router.Decide(w.doc, w.views[calls%2], w.req, w.now)
	})
	withSameView, err := decisionCost(runners)
	return max(0, withNewView-withSameView), err
}

// routingMemory returns the memory that a gateway needs to route to a number of runners.
func routingMemory(runners int) (float64, error) {
	return memoryHeldBy(func() any {
		w := newRoutingFixture(runners)
		w.router.Decide(w.doc, w.views[0], w.req, w.now)
		return w
	}), nil
}

// cacheMemory returns the memory of the cache views of a number of runners.
func cacheMemory(runners int) (float64, error) {
	return memoryHeldBy(func() any {
		views := make([]*cacheview.View, runners)
		for i := range views {
			views[i] = cacheview.New(cacheview.DefaultParams(), time.Now())
		}
		return views
	}), nil
}

// upstreamsCost returns the cost of admission's work for each published list of upstreams.
func upstreamsCost(runners int) (float64, error) {
	c := admission.New(admission.Config{})
	var ids []ident.Instance
	for i := range runners {
		ids = append(ids, runnerAt(i, 10).ID)
	}
	c.SetUpstreams(modelService, ids)
	return microsPerCall(func() { c.SetUpstreams(modelService, ids) }), nil
}

// accountSizes are numbers of client accounts.
var accountSizes = []int{1, 10, 100, 1000}

// admissionRequests returns a request of each of a number of client accounts.
func admissionRequests(n int) []admission.Request {
	requests := make([]admission.Request, n)
	for i := range requests {
		name := ident.ClientAccount(fmt.Sprintf("client-account-%d", i))
		requests[i] = admission.Request{
			Service: modelService, Account: name,
			Limit: document.AccountLimit{Account: name, RequestsPerSecond: 1e9, Burst: 1 << 30, MaxInFlight: 1 << 20, Share: 1},
			Class: document.Class{Name: "short", FirstToken: time.Second}, Cost: 400, PredictedAfterFirstToken: time.Second,
		}
	}
	return requests
}

// admitAll admits and ends the requests one after the other.
func admitAll(c *admission.Controller, requests []admission.Request) error {
	for _, r := range requests {
		r.ID = "7e2f"
		ticket, refusal := c.Admit(context.Background(), r)
		if refusal != nil {
			return fmt.Errorf("refused: %s", refusal.Message)
		}
		ticket.Done(admission.Result{})
	}
	return nil
}

func newAdmission() *admission.Controller {
	c := admission.New(admission.Config{})
	c.SetUpstreams(modelService, []ident.Instance{"i-1", "i-2", "i-3", "i-4"})
	return c
}

// admissionCost returns the cost of admitting and ending one request, with a number of client
// accounts.
func admissionCost(n int) (float64, error) {
	c, requests := newAdmission(), admissionRequests(n)
	var failed error
	used := microsPerCall(func() {
		if err := admitAll(c, requests); err != nil {
			failed = err
		}
	})
	return used / float64(n), failed
}

// admissionMemory returns the memory of admission with a number of client accounts.
func admissionMemory(n int) (float64, error) {
	requests := admissionRequests(n)
	var failed error
	used := memoryHeldBy(func() any {
		c := newAdmission()
		failed = admitAll(c, requests)
		return c
	})
	// The requests must be in use both before and after the measurement.
	runtime.KeepAlive(requests)
	return used, failed
}

// blackboardCost returns the cost of one publication and one load of a section.
func blackboardCost(runners int) (float64, error) {
	section := blackboard.NewSection(&blackboard.Upstreams{})
	value := &blackboard.Upstreams{ByService: map[ident.Service][]blackboard.Upstream{modelService: make([]blackboard.Upstream, runners)}}
	return microsPerCall(func() {
		section.Publish(value)
		_ = section.Value()
	}), nil
}

// The series of routing and admission.
const (
	Decision        ID = "routing.decision"
	Preparation     ID = "routing.view"
	RoutingMemory   ID = "routing.memory"
	CacheMemory     ID = "cacheview.memory"
	SetUpstreams    ID = "admission.upstreams"
	Admission       ID = "admission.cpu"
	AdmissionMemory ID = "admission.memory"
	Blackboard      ID = "blackboard.publish"
)

func routingSeries() []Series {
	return []Series{
		{ID: Decision, Description: "one decision, prompt of 4096 tokens", Package: "routing", SizeUnit: "runners", Unit: Microseconds,
			Sizes: runnerSizes, Measure: decisionCost},
		{ID: Preparation, Description: "one new view of the runners", Package: "routing", SizeUnit: "runners", Unit: Microseconds,
			Sizes: runnerSizes, Measure: preparationCost},
		{ID: RoutingMemory, Description: "views, cache views and slots of one service", Package: "routing, cacheview", SizeUnit: "runners", Unit: Bytes,
			Sizes: runnerSizes, Measure: routingMemory},
		{ID: CacheMemory, Description: "cache views", Package: "cacheview", SizeUnit: "runners", Unit: Bytes,
			Sizes: runnerSizes, Measure: cacheMemory},
		{ID: SetUpstreams, Description: "one new list of live upstreams", Package: "admission", SizeUnit: "runners", Unit: Microseconds,
			Sizes: runnerSizes, Measure: upstreamsCost},
		{ID: Admission, Description: "one request admitted and ended", Package: "admission", SizeUnit: "client accounts", Unit: Microseconds,
			Sizes: accountSizes, Measure: admissionCost},
		{ID: AdmissionMemory, Description: "client accounts that were seen", Package: "admission", SizeUnit: "client accounts", Unit: Bytes,
			Sizes: accountSizes, Measure: admissionMemory},
		{ID: Blackboard, Description: "one publication and one load of a section", Package: "blackboard", SizeUnit: "runners", Unit: Microseconds,
			Sizes: runnerSizes, Measure: blackboardCost},
	}
}
