// Package peer is the transport between the system's own processes, which are each
// other's peers: a gRPC server that calls small interfaces, and a pool of client
// connections by peer address.
//
// The interfaces use the message types of api/peer, because types of their own
// would be copies that need conversions.
//
// With mutual TLS, the server serves only processes with a certificate of the
// peers' certificate authority. Without it, which is meant for demonstrations on
// loopback and for networks that isolate the instances, the server serves everyone
// who can connect. There is no shared secret, because one sent in plaintext would
// not protect against anyone who can read the traffic.
package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// Heartbeats answers heartbeats. Package controllers/membership implements it.
type Heartbeats interface {
	Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// Documents returns the records above a revision. Package controllers/configuration
// implements it.
type Documents interface {
	GetDocuments(ctx context.Context, req *peerv1.GetDocumentsRequest) (*peerv1.GetDocumentsResponse, error)
}

// Calls stores and finds outcomes of calls, and takes over calls and streams.
type Calls interface {
	PutOutcomes(ctx context.Context, req *peerv1.PutOutcomesRequest) (*peerv1.PutOutcomesResponse, error)
	FindOutcome(ctx context.Context, req *peerv1.FindOutcomeRequest) (*peerv1.FindOutcomeResponse, error)
	HandOver(ctx context.Context, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error)
}

// Handlers handle the requests of peers. Requests for a nil one get the error
// Unimplemented.
type Handlers struct {
	Heartbeats Heartbeats
	Documents  Documents
	Calls      Calls
}

// The limits of a server.
const (
	// maxMessageBytes bounds a message in either direction.
	maxMessageBytes = 8 << 20
	// maxStreams bounds the calls in progress on one connection.
	maxStreams = 256
	// connectTimeout bounds the handshake of a connection.
	connectTimeout = 5 * time.Second
	// serverPing is the time without traffic after which a server pings the
	// client, and pingTimeout the time that either end waits for the answer
	// before it closes the connection.
	serverPing  = 10 * time.Second
	pingTimeout = 3 * time.Second
	// minClientPing is the shortest interval at which a server lets a client ping.
	minClientPing = 5 * time.Second
)

// Server serves the requests of peers.
type Server struct {
	server *grpc.Server
}

// NewServer returns a server. The zero value of tlsFiles means plaintext.
func NewServer(handlers Handlers, tlsFiles TLSFiles) (*Server, error) {
	creds := insecure.NewCredentials()
	if tlsFiles.IsSet() {
		reload, err := certificate.NewReloader(tlsFiles)
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(reload.ServerConfig(alpnProtocol))
	}
	server := grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPing, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
		grpc.ChainUnaryInterceptor(traceServer, translateErrors),
	)
	peerv1.RegisterPeerServiceServer(server, &service{handlers: handlers})
	return &Server{server: server}, nil
}

// Serve serves the connections of a listener until ctx ends, and then waits for at
// most grace until the calls in progress have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener, grace time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	force := time.AfterFunc(grace, s.server.Stop)
	defer force.Stop()
	s.server.GracefulStop()
	if err := <-served; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return ctx.Err()
}

// translateErrors sends the errcode of a handler's error to the peer as a gRPC
// code.
func translateErrors(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	resp, err := handler(ctx, req)
	if err == nil {
		return resp, nil
	}
	if _, ok := status.FromError(err); ok {
		return nil, err
	}
	return nil, status.Error(grpcCode(err), err.Error())
}

// service implements the generated server interface by calling the handlers. The
// protocol's method ExplainRequest has no handler, because operators ask the
// gateway itself (package operatorapi).
type service struct {
	peerv1.UnimplementedPeerServiceServer
	handlers Handlers
}

var errNotServed = status.Error(codes.Unimplemented, "this process does not serve the method")

func (s *service) Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	if s.handlers.Heartbeats == nil {
		return nil, errNotServed
	}
	return s.handlers.Heartbeats.Exchange(ctx, req)
}

func (s *service) GetDocuments(ctx context.Context, req *peerv1.GetDocumentsRequest) (*peerv1.GetDocumentsResponse, error) {
	if s.handlers.Documents == nil {
		return nil, errNotServed
	}
	return s.handlers.Documents.GetDocuments(ctx, req)
}

func (s *service) PutOutcomes(ctx context.Context, req *peerv1.PutOutcomesRequest) (*peerv1.PutOutcomesResponse, error) {
	if s.handlers.Calls == nil {
		return nil, errNotServed
	}
	return s.handlers.Calls.PutOutcomes(ctx, req)
}

func (s *service) FindOutcome(ctx context.Context, req *peerv1.FindOutcomeRequest) (*peerv1.FindOutcomeResponse, error) {
	if s.handlers.Calls == nil {
		return nil, errNotServed
	}
	return s.handlers.Calls.FindOutcome(ctx, req)
}

func (s *service) HandOver(ctx context.Context, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	if s.handlers.Calls == nil {
		return nil, errNotServed
	}
	return s.handlers.Calls.HandOver(ctx, req)
}

// codeTable maps the codes of errcode to those of gRPC.
var codeTable = map[errcode.Code]codes.Code{
	errcode.Cancelled:          codes.Canceled,
	errcode.InvalidArgument:    codes.InvalidArgument,
	errcode.DeadlineExceeded:   codes.DeadlineExceeded,
	errcode.NotFound:           codes.NotFound,
	errcode.AlreadyExists:      codes.AlreadyExists,
	errcode.PermissionDenied:   codes.PermissionDenied,
	errcode.ResourceExhausted:  codes.ResourceExhausted,
	errcode.FailedPrecondition: codes.FailedPrecondition,
	errcode.Aborted:            codes.Aborted,
	errcode.OutOfRange:         codes.OutOfRange,
	errcode.Unavailable:        codes.Unavailable,
	errcode.Internal:           codes.Internal,
	errcode.Unauthenticated:    codes.Unauthenticated,
}

// grpcCode returns the gRPC code for an error.
func grpcCode(err error) codes.Code {
	if code, ok := codeTable[errcode.Of(err)]; ok {
		return code
	}
	return codes.Unknown
}

// fromStatus wraps a gRPC error into one with the corresponding code of errcode.
func fromStatus(err error, message string) error {
	got := status.Code(err)
	for code, grpcCode := range codeTable {
		if grpcCode == got {
			return errcode.Wrap(code, err, message)
		}
	}
	return errcode.Wrap(errcode.Unknown, err, message)
}
