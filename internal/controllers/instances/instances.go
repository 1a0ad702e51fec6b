// Package instances reads the platform's list of instances and the cloud's
// reclaim notices, and passes both to the membership.
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

// Membership receives the lists and notices.
type Membership interface {
	ApplyList(list []platform.Instance)
	NoteLeaving(id ident.Instance, incarnation ident.Incarnation)
}

// Notices is the part of the cloud API that this controller reads.
type Notices interface {
	Notices(ctx context.Context, after uint64) ([]platform.Notice, error)
}

// Config identifies this process's own instance and sets how often to read.
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
// the list, since an instance may end seconds after its notice.
func DefaultConfig(self ident.Instance, incarnation ident.Incarnation) Config {
	return Config{
		Self:           self,
		Incarnation:    incarnation,
		ListInterval:   2 * time.Second,
		NoticeInterval: 500 * time.Millisecond,
		Timeout:        2 * time.Second,
	}
}

// Deps holds the controller's dependencies.
type Deps struct {
	List       platform.Instances
	Notices    Notices
	Membership Membership
	Log        hclog.Logger
	// OnOwnNotice is called for each notice of this process's own instance, in
	// the goroutine that reads notices, so it must not block. endsIn is the
	// time until the instance ends, counted from the call. It may be nil.
	OnOwnNotice func(endsIn time.Duration)
}

// Controller reads the platform's list and notices. While the platform is down
// it changes nothing, so the last list stays in force.
type Controller struct {
	config Config
	deps   Deps
	// lastNotice is the sequence number of the last notice. Only the goroutine
	// that reads notices uses it.
	lastNotice uint64
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
		c.deps.Log.Debug("cannot read the instance list", "error", err)
		return
	}
	c.deps.Membership.ApplyList(list)
}

func (c *Controller) readNotices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	// EndsIn counts from when the platform answered. It isn't known how long
	// the answer took to arrive, so the whole time since the request is
	// subtracted.
	start := time.Now()
	notices, err := c.deps.Notices.Notices(ctx, c.lastNotice)
	if err != nil {
		noticeFailures.Add(1)
		c.deps.Log.Debug("cannot read the reclaim notices", "error", err)
		return
	}
	for _, n := range notices {
		c.applyNotice(n, time.Since(start))
	}
}

// applyNotice records a notice. sinceRequest is the time since it was
// requested.
func (c *Controller) applyNotice(n platform.Notice, sinceRequest time.Duration) {
	c.lastNotice = max(c.lastNotice, n.Sequence)
	c.deps.Membership.NoteLeaving(n.Instance, n.Incarnation)
	own := n.Instance == c.config.Self && n.Incarnation == c.config.Incarnation
	if own && c.deps.OnOwnNotice != nil {
		c.deps.OnOwnNotice(n.EndsIn - sinceRequest)
	}
}
