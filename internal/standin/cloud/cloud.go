// Package cloud is an in-memory stand-in for the platform's cloud API.
package cloud

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
)

// Options configure a Cloud and connect it to other stand-ins.
type Options struct {
	// ChecksFencing makes Start and Stop refuse a fencing number below the
	// highest that the cloud has seen for the service.
	ChecksFencing bool
	// ServiceOf, if set, returns the service of an instance that this cloud did
	// not start.
	ServiceOf func(ident.Instance) ident.Service
	// OnStarted, if set, is called when a new instance is started.
	OnStarted func(ident.Instance, platform.StartRequest)
	// OnStopped, if set, is called when an instance is ordered to stop.
	OnStopped func(ident.Instance)
	// OnAnnounced, if set, is called when a reclaim notice is announced.
	OnAnnounced func(platform.Notice)
}

// Cloud is a platform.Cloud in memory. Its embedded Injector makes it fail.
type Cloud struct {
	fault.Injector

	options Options

	mu sync.Mutex
	// fences are the highest fencing numbers seen, by service. Numbers of
	// different services are not compared, since their leases change hands
	// independently.
	fences map[ident.Service]ident.Fence
	// instanceByStartID recognizes repeated start requests.
	instanceByStartID map[string]ident.Instance
	// serviceByInstance holds the instances that were started here.
	serviceByInstance map[ident.Instance]ident.Service
	// noCapacity holds where instances cannot be started.
	noCapacity map[capacityKey]bool
	notices    []notice
}

// capacityKey is a machine class in a failure domain.
type capacityKey struct {
	domain ident.FailureDomain
	class  ident.MachineClass
}

// notice is a reclaim notice with the time at which its instance ends.
type notice struct {
	platform.Notice
	endsAt time.Time
}

var _ platform.Cloud = (*Cloud)(nil)

// New returns a cloud with capacity for every machine class in every failure
// domain.
func New(options Options) *Cloud {
	return &Cloud{
		options:           options,
		fences:            make(map[ident.Service]ident.Fence),
		instanceByStartID: make(map[string]ident.Instance),
		serviceByInstance: make(map[ident.Instance]ident.Service),
		noCapacity:        make(map[capacityKey]bool),
	}
}

// SetCapacity sets whether instances of a class can be started in a failure
// domain.
func (c *Cloud) SetCapacity(domain ident.FailureDomain, class ident.MachineClass, available bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noCapacity[capacityKey{domain, class}] = !available
}

// Announce issues a notice that one incarnation of an instance ends after endsIn.
func (c *Cloud) Announce(id ident.Instance, incarnation ident.Incarnation, endsIn time.Duration) platform.Notice {
	c.mu.Lock()
	n := notice{
		Notice: platform.Notice{
			Sequence:    uint64(len(c.notices)) + 1,
			Instance:    id,
			Incarnation: incarnation,
			EndsIn:      endsIn,
		},
		endsAt: time.Now().Add(endsIn),
	}
	c.notices = append(c.notices, n)
	c.mu.Unlock()
	if c.options.OnAnnounced != nil {
		c.options.OnAnnounced(n.Notice)
	}
	return n.Notice
}

// Start implements platform.Cloud.
func (c *Cloud) Start(ctx context.Context, req platform.StartRequest) (ident.Instance, error) {
	if err := c.Begin(ctx); err != nil {
		return "", err
	}
	var id ident.Instance
	err := c.Run(func() error {
		started, err := c.start(req)
		id = started
		return err
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// Stop implements platform.Cloud.
func (c *Cloud) Stop(ctx context.Context, id ident.Instance, fence ident.Fence) error {
	if err := c.Begin(ctx); err != nil {
		return err
	}
	return c.Run(func() error { return c.stop(id, fence) })
}

// Notices implements platform.Cloud.
func (c *Cloud) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	if err := c.Begin(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if after >= uint64(len(c.notices)) {
		return nil, nil
	}
	var notices []platform.Notice
	for _, n := range c.notices[after:] {
		n.EndsIn = time.Until(n.endsAt)
		notices = append(notices, n.Notice)
	}
	return notices, nil
}

func (c *Cloud) start(req platform.StartRequest) (ident.Instance, error) {
	id, created, err := c.createOnce(req)
	if err != nil {
		return "", err
	}
	if created && c.options.OnStarted != nil {
		c.options.OnStarted(id, req)
	}
	return id, nil
}

// createOnce returns the instance of a start request, and whether this call
// created it.
func (c *Cloud) createOnce(req platform.StartRequest) (id ident.Instance, created bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkFence(req.Service, req.Fence); err != nil {
		return "", false, err
	}
	if id, ok := c.instanceByStartID[req.StartID]; ok {
		return id, false, nil
	}
	if c.noCapacity[capacityKey{req.FailureDomain, req.Class}] {
		return "", false, platform.ErrNoCapacity
	}
	id = ident.Instance(fmt.Sprintf("%s-%s-%d", req.Service, req.FailureDomain, len(c.instanceByStartID)+1))
	c.instanceByStartID[req.StartID] = id
	c.serviceByInstance[id] = req.Service
	return id, true, nil
}

func (c *Cloud) stop(id ident.Instance, fence ident.Fence) error {
	c.mu.Lock()
	err := c.checkFence(c.serviceOf(id), fence)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if c.options.OnStopped != nil {
		c.options.OnStopped(id)
	}
	return nil
}

// serviceOf returns the service of an instance. The caller holds c.mu.
func (c *Cloud) serviceOf(id ident.Instance) ident.Service {
	if service, known := c.serviceByInstance[id]; known || c.options.ServiceOf == nil {
		return service
	}
	return c.options.ServiceOf(id)
}

// checkFence refuses a fencing number below the highest that was seen for the
// service, else records it. The caller holds c.mu.
func (c *Cloud) checkFence(service ident.Service, fence ident.Fence) error {
	if !c.options.ChecksFencing {
		return nil
	}
	if fence < c.fences[service] {
		return platform.ErrOldFence
	}
	c.fences[service] = fence
	return nil
}
