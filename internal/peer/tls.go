package peer

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"

	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
)

// TLSFiles names the files for mutual TLS between peers.
type TLSFiles = certificate.Files

// alpnProtocol is what gRPC speaks over TLS.
const alpnProtocol = "h2"

// clientCredentials make each new connection with the files as they are then.
type clientCredentials struct {
	credentials.TransportCredentials
	reloader *certificate.Reloader
}

func newClientCredentials(r *certificate.Reloader) credentials.TransportCredentials {
	return &clientCredentials{TransportCredentials: credentials.NewTLS(r.Client()), reloader: r}
}

// ClientHandshake is called for each connection.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.reloader.Client()).ClientHandshake(ctx, authority, conn)
}

// Clone is called by gRPC for each client.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return newClientCredentials(c.reloader)
}
