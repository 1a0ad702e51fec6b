// Package instances reads the platform's list of instances and the cloud's
// reclaim notices, and feeds both to the membership.
package instances

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestspool/goldcrestspool/internal/controllers/rounds"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Membership takes what the platform says.
type Membership interface {
	ApplyList(list []platform.Instance)
	NoteLeaving(id ident.Instance, incarnation ident.Incarnation)
}

// Notices is the part of the cloud API that this controller reads.
type Notices interface {
	Notices(ctx context.Context, after uint64) ([]platform.Notice, error)
}

// Config says whose notices matter and how often to read.
type Config struct {
	// Self and Incarnation are those of this process's own instance.
	Self        ident.Instance
	Incarnation ident.Incarnation
	// ListInterval and NoticeInterval are the times between two reads.
	ListInterval   time.Duration
	NoticeInterval time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
}

// DefaultConfig returns the settings in use. Notices are read more often than
// the list, since only seconds may remain.
func DefaultConfig(self ident.Instance, incarnation ident.Incarnation) Config {
	return Config{
		Self:           self,
		Incarnation:    incarnation,
		ListInterval:   2 * time.Second,
		NoticeInterval: 500 * time.Millisecond,
		Timeout:        2 * time.Second,
	}
}

// Deps is what the controller works with.
type Deps struct {
	List       platform.Instances
	Notices    Notices
	Membership Membership
	Log        hclog.Logger
	// OnOwnNotice is called for each notice of this process's own instance,
	// from the reading goroutine: it must not block. endsIn counts from when
	// the notice was read.
	OnOwnNotice func(endsIn time.Duration)
}

// Controller reads the platform. While the platform is down it changes
// nothing, so the last list stays in force.
type Controller struct {
	config Config
	deps   Deps
	// after is the sequence of the last notice; only Run's goroutine for
	// notices uses it.
	after uint64
}

// New returns a controller that has read nothing yet.
func New(config Config, deps Deps) *Controller {
	return &Controller{config: config, deps: deps}
}

// Run reads until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return rounds.Run(ctx, c.config.ListInterval, func() { c.readList(ctx) }) })
	group.Go(func() error { return rounds.Run(ctx, c.config.NoticeInterval, func() { c.readNotices(ctx) }) })
	return group.Wait()
}

func (c *Controller) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	list, err := c.deps.List.List(ctx)
	if err != nil {
		listFailures.Add(1)
		c.deps.Log.Debug("reading the instance list failed", "error", err)
		return
	}
	c.deps.Membership.ApplyList(list)
}

func (c *Controller) readNotices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	// EndsIn counts from when the notice was read; the answer may have
	// travelled, so the reading counts from the request.
	start := time.Now()
	notices, err := c.deps.Notices.Notices(ctx, c.after)
	if err != nil {
		noticeFailures.Add(1)
		c.deps.Log.Debug("reading the notices failed", "error", err)
		return
	}
	for _, n := range notices {
		c.apply(n, time.Since(start))
	}
}

func (c *Controller) apply(n platform.Notice, travelled time.Duration) {
	c.after = max(c.after, n.Sequence)
	c.deps.Membership.NoteLeaving(n.Instance, n.Incarnation)
	own := n.Instance == c.config.Self && n.Incarnation == c.config.Incarnation
	if own && c.deps.OnOwnNotice != nil {
		c.deps.OnOwnNotice(n.EndsIn - travelled)
	}
}
