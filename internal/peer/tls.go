package peer

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"

	"github.com/goldcrestspool/goldcrestspool/internal/certificate"
)

// TLSFiles names the files for mutual TLS between peers.
type TLSFiles = certificate.Files

// alpnProtocol is the application protocol that gRPC negotiates over TLS.
const alpnProtocol = "h2"

// clientCredentials reads the certificate files for each new connection, so that
// renewed files are used without a restart.
type clientCredentials struct {
	credentials.TransportCredentials
	reloader *certificate.Reloader
}

func newClientCredentials(r *certificate.Reloader) credentials.TransportCredentials {
	return &clientCredentials{TransportCredentials: credentials.NewTLS(r.ClientConfig()), reloader: r}
}

// ClientHandshake implements credentials.TransportCredentials. gRPC calls it for
// each new connection.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.reloader.ClientConfig()).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return newClientCredentials(c.reloader)
}
