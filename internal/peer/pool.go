package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
)

// The limits of a pool.
const (
	// defaultTimeout is the timeout of a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// clientPing is the time without traffic after which a client pings the
	// server; gRPC allows no shorter one.
	clientPing = 10 * time.Second
	// maxConsecutiveTimeouts is the number of calls in a row that run into their
	// deadline after which a connection is replaced.
	maxConsecutiveTimeouts = 2
	// maxReconnectDelay bounds the pause between two attempts to connect, so
	// that a peer that is back is reached within a heartbeat.
	maxReconnectDelay = time.Second
	// idleTimeout is the time without calls after which a connection is closed.
	idleTimeout = 5 * time.Minute
	// replacedConnGrace is how long a replaced connection stays open for the
	// calls in progress on it.
	replacedConnGrace = 10 * time.Second
)

// Pool holds one connection to each peer address. It is safe for concurrent
// use.
type Pool struct {
	reloader    *certificate.Reloader
	dialOptions []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*connection
	closed bool
}

// connection is the connection to one peer. Pool.mu guards its fields except conn.
type connection struct {
	conn *grpc.ClientConn
	// timeouts is the number of calls in a row that ran into their deadline.
	timeouts int
	lastUsed time.Time
}

// NewPool returns an empty pool. The zero value of tlsFiles means plaintext. options
// are appended to the dial options of each connection.
func NewPool(tlsFiles TLSFiles, options ...grpc.DialOption) (*Pool, error) {
	p := &Pool{conns: map[string]*connection{}, dialOptions: options}
	if !tlsFiles.IsSet() {
		return p, nil
	}
	reload, err := certificate.NewReloader(tlsFiles)
	if err != nil {
		return nil, err
	}
	p.reloader = reload
	return p, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.conns {
		_ = c.conn.Close()
		delete(p.conns, address)
	}
}

// Exchange sends a heartbeat to a peer.
func (p *Pool) Exchange(ctx context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return call(ctx, p, address, req, peerv1.PeerServiceClient.Exchange)
}

// GetDocuments requests from a peer the records above a revision.
func (p *Pool) GetDocuments(ctx context.Context, address string, req *peerv1.GetDocumentsRequest) (*peerv1.GetDocumentsResponse, error) {
	return call(ctx, p, address, req, peerv1.PeerServiceClient.GetDocuments)
}

// PutOutcomes stores outcomes with a peer.
func (p *Pool) PutOutcomes(ctx context.Context, address string, req *peerv1.PutOutcomesRequest) (*peerv1.PutOutcomesResponse, error) {
	return call(ctx, p, address, req, peerv1.PeerServiceClient.PutOutcomes)
}

// FindOutcome asks a peer for the outcome of the call with a key.
func (p *Pool) FindOutcome(ctx context.Context, address string, req *peerv1.FindOutcomeRequest) (*peerv1.FindOutcomeResponse, error) {
	return call(ctx, p, address, req, peerv1.PeerServiceClient.FindOutcome)
}

// HandOver hands calls and streams over to a peer. After any error the peer may
// still have taken them over.
func (p *Pool) HandOver(ctx context.Context, address string, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	return call(ctx, p, address, req, peerv1.PeerServiceClient.HandOver)
}

// method is a method of the generated client.
type method[Req, Resp any] func(peerv1.PeerServiceClient, context.Context, *Req, ...grpc.CallOption) (*Resp, error)

// call sends one request, without retries. Its errors have a code of errcode.
func call[Req, Resp any](ctx context.Context, p *Pool, address string, req *Req, invoke method[Req, Resp]) (*Resp, error) {
	c, err := p.connect(address)
	if err != nil {
		return nil, fromStatus(err, "peer "+address)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	resp, err := invoke(peerv1.NewPeerServiceClient(c.conn), ctx, req)
	p.recordResult(address, c, err)
	if err != nil {
		return nil, fromStatus(err, "peer "+address)
	}
	return resp, nil
}

// connect returns the connection to an address, which gRPC establishes on the first
// call. Errors are those of gRPC.
func (p *Pool) connect(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, status.Error(codes.Canceled, "pool closed")
	}
	now := time.Now()
	if c, ok := p.conns[address]; ok {
		c.lastUsed = now
		return c, nil
	}
	p.dropIdle(now)
	// The passthrough scheme keeps gRPC from resolving names: a peer's address is
	// an IP address and a port.
	conn, err := grpc.NewClient("passthrough:///"+address, p.options()...)
	if err != nil {
		return nil, err
	}
	c := &connection{conn: conn, lastUsed: now}
	p.conns[address] = c
	return c, nil
}

// dropIdle closes the connections without calls for idleTimeout. Otherwise they
// would accumulate, because instances come and go and each has its own address.
// The lock is held.
func (p *Pool) dropIdle(now time.Time) {
	for address, c := range p.conns {
		if now.Sub(c.lastUsed) > idleTimeout {
			_ = c.conn.Close()
			delete(p.conns, address)
		}
	}
}

// options returns the dial options of a connection. They disable what gRPC would
// decide by itself: service configuration, retries and proxies.
func (p *Pool) options() []grpc.DialOption {
	creds := insecure.NewCredentials()
	if p.reloader != nil {
		creds = newClientCredentials(p.reloader)
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithChainUnaryInterceptor(traceClient),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: clientPing, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: maxReconnectDelay,
		}),
	}
	return append(options, p.dialOptions...)
}

// recordResult counts the calls in a row that ran into their deadline, and replaces
// the connection after maxConsecutiveTimeouts of them.
//
// A device between the two peers can lose the state of a connection and silently
// drop its packets. Then no error occurs; calls run into their deadlines, while a
// new connection would work. The keepalive pings of gRPC need 13 seconds to detect
// that, which is longer than a departure may take to reach all processes.
func (p *Pool) recordResult(address string, c *connection, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status.Code(err) != codes.DeadlineExceeded {
		c.timeouts = 0
		return
	}
	c.timeouts++
	if c.timeouts < maxConsecutiveTimeouts || p.conns[address] != c {
		return
	}
	delete(p.conns, address)
	connectionsReplaced.Add(1)
	// The peer may only be slow, so calls in progress may still end.
	time.AfterFunc(replacedConnGrace, func() { _ = c.conn.Close() })
}
