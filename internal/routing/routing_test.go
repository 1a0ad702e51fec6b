package routing

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// cached is a cache view that reports the same number of cached blocks for every
// prompt.
type cached float64

func (c cached) Cached([]uint64, time.Time) float64 { return float64(c) }

// runner returns an upstream in failure domain hall-a with queued prefill tokens.
func runner(id ident.Instance, state blackboard.MemberState, queued int) blackboard.Upstream {
	return blackboard.Upstream{
		Instance: platform.Instance{ID: id, Address: string(id) + ":1", FailureDomain: "hall-a", Class: "gpu", Reclaimable: true},
		State:    state,
		Report:   upstream.Report{QueuedPrefillTokens: queued, PrefillRate: 8000, Step: 20 * time.Millisecond},
		AsOf:     time.Unix(100, 0),
	}
}

func TestDecide(t *testing.T) {
	now := time.Unix(100, int64(100*time.Millisecond))
	model := &document.Document{Kind: document.Model}
	plain := &document.Document{Kind: document.Plain}
	request := Request{PromptTokens: 4000, MaxTokens: 100, Blocks: make([]uint64, 62)}
	warm := runner("warm", blackboard.Alive, 2000)
	warm.Cache = cached(60)
	busy := runner("busy", blackboard.Alive, 0)
	busy.Report.Running = 3
	leavingByReport := runner("noticed", blackboard.Alive, 0)
	leavingByReport.Report.Leaving = true
	cases := []struct {
		name    string
		doc     *document.Document
		view    []blackboard.Upstream
		exclude []ident.Instance
		want    ident.Instance
	}{
		{"an empty view gives none", model, nil, nil, ""},
		{"the shorter queue wins", model, []blackboard.Upstream{runner("a", blackboard.Alive, 60000), runner("b", blackboard.Alive, 10)}, nil, "b"},
		{"a cached prefix outweighs a queue", model, []blackboard.Upstream{warm, runner("cold", blackboard.Alive, 0)}, nil, "warm"},
		{"a leaving upstream gets nothing, even as the last", model, []blackboard.Upstream{runner("a", blackboard.Leaving, 0)}, nil, ""},
		{"a gone upstream gets nothing", model, []blackboard.Upstream{runner("a", blackboard.Gone, 0)}, nil, ""},
		{"an upstream that reports its own notice gets nothing", model, []blackboard.Upstream{leavingByReport}, nil, ""},
		{"a suspect serves when there is no other", model, []blackboard.Upstream{runner("a", blackboard.Suspect, 0), runner("b", blackboard.Leaving, 0)}, nil, "a"},
		{"a suspect serves only then", model, []blackboard.Upstream{runner("a", blackboard.Suspect, 0), runner("b", blackboard.Alive, 9000)}, nil, "b"},
		{"an upstream that failed the request is not tried again", model, []blackboard.Upstream{runner("a", blackboard.Alive, 0), runner("b", blackboard.Alive, 9000)}, []ident.Instance{"a"}, "b"},
		{"a plain service is chosen by fewest in flight", plain, []blackboard.Upstream{busy, runner("idle", blackboard.Alive, 0)}, nil, "idle"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(DefaultParams(), time.Unix(90, 0))
			req := request
			req.Exclude = c.exclude
			if got := r.Decide(c.doc, c.view, req, now); got.Upstream != c.want {
				t.Errorf("chose %q, want %q", got.Upstream, c.want)
			}
		})
	}
}

// Guards against one upstream getting a burst of requests while another idles:
// the gateway decides several times on one report, which does not contain what
// was sent after it.
func TestOwnWorkCountsUntilItsFirstToken(t *testing.T) {
	now := time.Unix(101, 0)
	view := []blackboard.Upstream{runner("a", blackboard.Alive, 0), runner("b", blackboard.Alive, 30000)}
	r := New(DefaultParams(), time.Unix(90, 0))
	req := Request{PromptTokens: 4000, MaxTokens: 10}
	var tickets []Ticket
	for len(tickets) < 20 {
		d := r.Decide(nil, view, req, now)
		if d.Upstream != "a" {
			break
		}
		tickets = append(tickets, r.Started(d, req, now))
	}
	if n := len(tickets); n < 2 || n == 20 {
		t.Fatalf("sent %d requests to a before b, want some but not all", n)
	}
	for i := range tickets {
		r.FirstToken(&tickets[i], now)
	}
	if d := r.Decide(nil, view, req, now); d.Upstream != "a" {
		t.Errorf("after the first tokens chose %q, want a", d.Upstream)
	}
	for i := range tickets {
		r.Finished(&tickets[i], ResultDone, now)
		r.Finished(&tickets[i], ResultDone, now)
	}
	if n := r.Outstanding("a"); n != 0 {
		t.Errorf("%d attempts outstanding after the end, want 0", n)
	}
}

// A report that was made after an attempt was sent already contains the attempt.
func TestOwnWorkIsNotCountedTwice(t *testing.T) {
	r := New(DefaultParams(), time.Unix(90, 0))
	view := []blackboard.Upstream{runner("a", blackboard.Alive, 0)}
	req := Request{PromptTokens: 4000, MaxTokens: 10}
	now := time.Unix(101, 0)
	alone := r.Decide(nil, view, req, now)
	r.Started(alone, req, now)
	view = []blackboard.Upstream{runner("a", blackboard.Alive, 0)}
	view[0].AsOf = now.Add(bucketWidth)
	again := r.Decide(nil, view, req, now.Add(2*bucketWidth))
	if again.FirstToken != alone.FirstToken {
		t.Errorf("predicted %v, want %v as before", again.FirstToken, alone.FirstToken)
	}
}
