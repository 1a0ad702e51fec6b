// Package peer is the transport between the system's own processes: a gRPC
// server around small interfaces, and a pool of clients by peer address.
//
// The interfaces use the message types of api/peer: these are the protocol's
// own typed messages, and a second set would be a copy with conversions.
//
// With mutual TLS set, only a process with a certificate of the peers'
// authority is served. Without (a demonstration on loopback, or a network that
// separates the instances itself) anyone who can connect is; there is no shared
// secret, since one sent in plaintext would protect against nobody who can
// listen.
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

// Heartbeats answers heartbeats; controllers/membership does.
type Heartbeats interface {
	Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// Documents gives the records behind a revision; controllers/configuration
// does.
type Documents interface {
	GetDocuments(ctx context.Context, req *peerv1.GetDocumentsRequest) (*peerv1.GetDocumentsResponse, error)
}

// Calls keeps outcomes and takes over calls and streams.
type Calls interface {
	PutOutcomes(ctx context.Context, req *peerv1.PutOutcomesRequest) (*peerv1.PutOutcomesResponse, error)
	FindOutcome(ctx context.Context, req *peerv1.FindOutcomeRequest) (*peerv1.FindOutcomeResponse, error)
	HandOver(ctx context.Context, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error)
}

// Handlers answer the peers. A nil one is answered with Unimplemented.
type Handlers struct {
	Heartbeats Heartbeats
	Documents  Documents
	Calls      Calls
}

// The limits of a server.
const (
	// maxMessageBytes bounds a message in either direction.
	maxMessageBytes = 8 << 20
	// maxStreams bounds the calls that one connection has open.
	maxStreams = 256
	// connectTimeout bounds the handshake of a connection.
	connectTimeout = 5 * time.Second
	// serverPing is after how much silence a server checks a connection, and
	// pingTimeout how long it waits for the answer.
	serverPing  = 10 * time.Second
	pingTimeout = 3 * time.Second
	// minClientPing is the least interval of pings that a server allows.
	minClientPing = 5 * time.Second
)

// Server serves the peers.
type Server struct {
	server *grpc.Server
}

// NewServer returns a server. tlsFiles may be the zero value for plaintext.
func NewServer(handlers Handlers, tlsFiles TLSFiles) (*Server, error) {
	creds := insecure.NewCredentials()
	if tlsFiles.Set() {
		reload, err := certificate.NewReloader(tlsFiles)
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(reload.Server(alpnProtocol))
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

// Serve answers on a listener until ctx ends, then finishes the calls in
// progress for at most grace.
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

// translateErrors gives the code of an error to the peer.
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

// service is the generated interface around the handlers. ExplainRequest of the
// protocol has none: operators ask the gateway itself (package report).
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

func grpcCode(err error) codes.Code {
	if code, ok := codeTable[errcode.Of(err)]; ok {
		return code
	}
	return codes.Unknown
}

// fromStatus turns an error of gRPC into one with a code of errcode.
func fromStatus(err error, message string) error {
	got := status.Code(err)
	for code, wire := range codeTable {
		if wire == got {
			return errcode.Wrap(code, err, message)
		}
	}
	return errcode.Wrap(errcode.Unknown, err, message)
}
