package instances

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.OneProcessor() }

// fakePlatform implements the list and the notices. While it is down, reads
// fail.
type fakePlatform struct {
	mu      sync.Mutex
	down    bool
	list    []platform.Instance
	notices []platform.Notice
	asked   []uint64
}

func (p *fakePlatform) List(context.Context) ([]platform.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, platform.ErrUnavailable
	}
	return p.list, nil
}

func (p *fakePlatform) Notices(_ context.Context, after uint64) ([]platform.Notice, error) {
	time.Sleep(100 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, after)
	if p.down {
		return nil, platform.ErrUnavailable
	}
	var out []platform.Notice
	for _, n := range p.notices {
		if n.Sequence > after {
			out = append(out, n)
		}
	}
	return out, nil
}

// recorder is a membership that records the calls.
type recorder struct {
	lists   int
	leaving []ident.Instance
}

func (r *recorder) ApplyList([]platform.Instance) { r.lists++ }
func (r *recorder) NoteLeaving(id ident.Instance, _ ident.Incarnation) {
	r.leaving = append(r.leaving, id)
}

// A lost, repeated or wrongly attributed notice would make an instance stop too
// late, or for a notice that was not its own. The platform is down at the
// start; then notices arrive for another instance, for an earlier incarnation
// of this one, and for this one.
func TestNoticesAreAttributedToTheirInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{down: true}
		members := &recorder{}
		var ends []time.Duration
		c := New(DefaultConfig("g", 2), Deps{
			List: p, Notices: p, Membership: members, Log: hclog.NewNullLogger(),
			OnOwnNotice: func(endsIn time.Duration) { ends = append(ends, endsIn) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = c.Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if members.lists != 0 {
			t.Errorf("%d lists applied while the platform was down", members.lists)
		}
		p.mu.Lock()
		p.notices = []platform.Notice{
			{Sequence: 1, Instance: "u", Incarnation: 1, EndsIn: 30 * time.Second},
			{Sequence: 2, Instance: "g", Incarnation: 1, EndsIn: 30 * time.Second},
			{Sequence: 3, Instance: "g", Incarnation: 2, EndsIn: 30 * time.Second},
		}
		p.down = false
		p.mu.Unlock()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		// The 100 ms that the request took are subtracted.
		if len(ends) != 1 || ends[0] != 29900*time.Millisecond {
			t.Errorf("own notices end in %v, want once 29.9s", ends)
		}
		if len(members.leaving) != 3 || members.lists == 0 || p.asked[len(p.asked)-1] != 3 {
			t.Errorf("leaving %v, %d lists, notices read after %v", members.leaving, members.lists, p.asked)
		}
	})
}
