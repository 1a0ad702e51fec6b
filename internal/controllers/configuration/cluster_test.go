package configuration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// memoryLog is one stream of the platform's log, which can be made to fail.
type memoryLog struct {
	mu      sync.Mutex
	all     []platform.Record // also the expired ones, for the oracle
	first   ident.Offset
	down    bool
	changed chan struct{}
}

func newMemoryLog() *memoryLog { return &memoryLog{changed: make(chan struct{})} }

func (l *memoryLog) append(data []byte) ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := ident.Offset(len(l.all))
	l.all = append(l.all, platform.Record{Offset: offset, Data: data, AppendedAt: time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memoryLog) expire(first ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = max(l.first, min(first, ident.Offset(len(l.all))))
}

func (l *memoryLog) truncate(head ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = l.all[:head]
}

func (l *memoryLog) records() []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// get returns a batch, and a channel that is closed at the next append, to wait
// on when there is no record yet.
func (l *memoryLog) get(from ident.Offset, limit int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := platform.Batch{Head: ident.Offset(len(l.all)), First: l.first}
	if l.down {
		return platform.Batch{}, nil, platform.ErrUnavailable
	}
	if from < l.first {
		return batch, nil, platform.ErrExpired
	}
	if from < batch.Head {
		end := min(from+ident.Offset(limit), batch.Head)
		batch.Records = slices.Clone(l.all[from:end])
	}
	return batch, l.changed, nil
}

// link is one process's connection to the log.
type link struct {
	log *memoryLog
	mu  sync.Mutex
	cut bool
	// hang makes reads never return, as on a connection that went silent.
	hang bool
}

func (l *link) set(cut, hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.hang = cut, hang
}

func (l *link) state() (cut, hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.hang
}

func (l *link) Append(_ context.Context, _ string, records [][]byte) (ident.Offset, error) {
	if cut, hang := l.state(); cut || hang || l.log.isDown() {
		return 0, platform.ErrUnavailable
	}
	return l.log.append(records[0]), nil
}

func (l *memoryLog) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *link) Read(ctx context.Context, _ string, from ident.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		cut, hang := l.state()
		if hang {
			<-ctx.Done()
			return platform.Batch{}, ctx.Err()
		}
		if cut {
			return platform.Batch{}, platform.ErrUnavailable
		}
		batch, changed, err := l.log.get(from, limit)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
	}
}

// process is one instance with the real controller.
type process struct {
	name       string
	domain     int
	schema     int
	link       *link
	board      *blackboard.Board
	controller *Controller
	cluster    *cluster
	stop       func()
	// served is the newest revision used so far for each service.
	served map[ident.Service]ident.Revision
}

// cluster is a few processes in two failure domains, with the log and the
// connections between them.
type cluster struct {
	log       *memoryLog
	mu        sync.Mutex
	processes []*process
	// partitioned is whether the failure domains cannot reach each other.
	partitioned bool
	// documentsBlocked is whether GetDocuments fails, though heartbeats come
	// through.
	documentsBlocked bool
	faults           []string
	incarnations     int
}

const (
	domains            = 2
	processesPerDomain = 2
)

func newCluster() *cluster {
	c := &cluster{log: newMemoryLog()}
	for i := range domains * processesPerDomain {
		c.processes = append(c.processes, c.start(i))
	}
	return c
}

// start starts a new incarnation at a place, which is the index in processes.
func (c *cluster) start(place int) *process {
	l := &link{log: c.log}
	p := c.startWithLog(place, l)
	p.link = l
	return p
}

// startWithLog is start with another connection to the log. Odd places run an
// older program.
func (c *cluster) startWithLog(place int, log platform.Log) *process {
	c.incarnations++
	p := &process{
		name:    fmt.Sprintf("entry-%d-life-%d", place, c.incarnations),
		domain:  place / processesPerDomain,
		schema:  newSchema - place%2,
		board:   blackboard.NewBoard(),
		cluster: c,
		served:  map[ident.Service]ident.Revision{},
	}
	p.controller = New(Options{
		Instance:  ident.Instance(p.name),
		Log:       log,
		Peers:     NewPeers(p, p.highestPeer),
		Documents: p.board.Documents,
		Health:    p.board.Configuration,
		Schema:    p.schema,
		Random:    func() float64 { return 0.5 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = p.controller.Run(ctx) })
	running.Go(func() { _ = p.controller.WriteSnapshots(ctx) })
	running.Go(func() { p.watch(ctx) })
	p.stop = func() { cancel(); running.Wait() }
	return p
}

func (c *cluster) replace(place int) {
	old := c.processes[place]
	old.stop()
	next := c.start(place)
	cut, hang := old.link.state()
	next.link.set(cut, hang)
	c.mu.Lock()
	c.processes[place] = next
	c.mu.Unlock()
}

func (c *cluster) stopAll() {
	for _, p := range c.processes {
		p.stop()
	}
}

func (c *cluster) recordFault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *cluster) setPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

func (c *cluster) setDocumentsBlocked(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documentsBlocked = blocked
}

func (c *cluster) areDocumentsBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.documentsBlocked
}

// watch checks every set that the process publishes.
func (p *process) watch(ctx context.Context) {
	version := uint64(0)
	for {
		snap, err := p.board.Documents.Wait(ctx, version)
		if err != nil {
			return
		}
		version = snap.Version
		p.cluster.checkPublished(p, snap.Value)
	}
}

// reachable returns the other processes that p can talk to.
func (p *process) reachable() []*process {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	var out []*process
	for _, other := range p.cluster.processes {
		near := other.domain == p.domain || !p.cluster.partitioned
		if other != p && near {
			out = append(out, other)
		}
	}
	return out
}

// highestPeer returns what membership would know from the heartbeats.
func (p *process) highestPeer() (Peer, bool) {
	var best Peer
	found := false
	for _, other := range p.reachable() {
		revision := other.controller.Revision()
		if !found || revision > best.Revision {
			best, found = Peer{Address: other.name, Revision: revision}, true
		}
	}
	return best, found
}

// GetDocuments implements PeerClient.
func (p *process) GetDocuments(ctx context.Context, address string, req *peerv1.GetDocumentsRequest) (*peerv1.GetDocumentsResponse, error) {
	for _, other := range p.reachable() {
		if other.name == address && !p.cluster.areDocumentsBlocked() {
			return other.controller.GetDocuments(ctx, req)
		}
	}
	return nil, platform.ErrUnavailable
}
