package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// upstreamPool simulates upstreams that answer granted requests in the order of
// their priority.
type upstreamPool struct {
	gate *Gate
	now  time.Time
	// unanswered are the granted requests without an answer.
	unanswered []*Entry
	// late and served count answers by priority.
	late   map[int]int
	served map[int]int
}

// answer answers up to n requests, the most urgent first, and grants the slots
// that become free.
func (p *upstreamPool) answer(n int) {
	for range min(n, len(p.unanswered)) {
		next := 0
		for i, e := range p.unanswered {
			if e.Item.Priority > p.unanswered[next].Item.Priority {
				next = i
			}
		}
		e := p.unanswered[next]
		p.unanswered = append(p.unanswered[:next], p.unanswered[next+1:]...)
		p.gate.FirstToken(p.now, e)
		p.served[e.Item.Priority]++
		if p.now.Sub(e.grantedAt) > e.Request.Class.FirstToken {
			p.late[e.Item.Priority]++
		}
		p.gate.Done(p.now, e, 0)
	}
	for {
		e, expired := p.gate.Next(p.now)
		if e != nil {
			p.unanswered = append(p.unanswered, e)
		} else if expired == nil {
			return
		}
	}
}

func (p *upstreamPool) offer(id string, class document.Class) {
	e := &Entry{Request: Request{ID: ident.Request(id), Account: "a", Class: class}}
	if p.gate.Offer(p.now, e).Granted {
		p.unanswered = append(p.unanswered, e)
	}
}

// TestLateAnswersLimit checks that upstreams that can't answer all requests get
// no more than they answer in time although slots are free, and that the limit is
// gone after the load spike.
//
// It guards against a load spike in which nearly all first tokens come too late
// although nothing fails. That happens if admission looks at slots and not at
// answers: while slots are free, upstreams are sent more long requests than they
// can start.
func TestLateAnswersLimit(t *testing.T) {
	long := document.Class{Name: "long", FirstToken: 2 * time.Second, Priority: 1}
	p := &upstreamPool{gate: New(Config{Slots: 1000}), now: time.Unix(1000, 0), late: map[int]int{}, served: map[int]int{}}
	const step, perStep = 100 * time.Millisecond, 4
	run := func(steps, offeredPerStep int) {
		p.late, p.served = map[int]int{}, map[int]int{}
		for i := range steps {
			p.now = p.now.Add(step)
			for j := range offeredPerStep {
				p.offer(fmt.Sprint(p.now.UnixNano(), i, j), long)
			}
			p.answer(perStep)
		}
	}
	run(100, 3)
	if p.late[1] > 0 {
		t.Fatalf("%d answers late before the load spike, want none", p.late[1])
	}
	run(100, 12)
	run(300, 12)
	t.Logf("during the load spike %d of %d answers late, %d requests in flight", p.late[1], p.served[1], p.gate.InFlight())
	if p.late[1]*2 > p.served[1] {
		t.Errorf("%d of %d answers late from ten seconds into the load spike on, want at most half", p.late[1], p.served[1])
	}
	if p.served[1] < 300*perStep*9/10 {
		t.Errorf("%d requests served, want at least nine tenths of the possible %d", p.served[1], 300*perStep)
	}
	run(100, 3)
	run(100, 3)
	if p.served[1] < 290 || p.late[1] > 0 {
		t.Errorf("after the load spike %d of 300 requests served, %d late, want at least 290 and none", p.served[1], p.late[1])
	}
}

// TestSilence checks that upstreams that stop answering get fewer and fewer
// requests, although no late first token is ever reported.
func TestSilence(t *testing.T) {
	p := &upstreamPool{gate: New(Config{Slots: 1000}), now: time.Unix(1000, 0), late: map[int]int{}, served: map[int]int{}}
	class := document.Class{Name: "long", FirstToken: 2 * time.Second, Priority: 1}
	p.offer("answered", class)
	p.answer(1)
	for i := range 100 {
		p.now = p.now.Add(200 * time.Millisecond)
		p.offer(fmt.Sprint(i), class)
		p.answer(0)
	}
	if n := p.gate.InFlight(); n > 50 {
		t.Errorf("%d of 100 requests were sent to silent upstreams, want at most 50", n)
	}
}
