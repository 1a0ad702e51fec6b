// Package process runs the stand-ins as servers.
package process

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// shutdownTimeout is the time limit for the wait until connections are idle.
const shutdownTimeout = 5 * time.Second

// event is a JSON line on stdout for the script that started the process.
type event struct {
	Event       string            `json:"event"`
	Role        string            `json:"role"`
	ID          ident.Instance    `json:"id,omitempty"`
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
	Address     string            `json:"address,omitempty"`
}

func (e event) print(out io.Writer) error { return json.NewEncoder(out).Encode(e) }

// server is a listening HTTP server.
type server struct {
	http     *http.Server
	address  string
	serveErr chan error
}

// serve listens on an address and serves in the background until the server is
// shut down or closed.
func serve(listen string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.WithMessage(err, "listen on "+listen)
	}
	s := &server{
		http:     transport.NewServer(handler),
		address:  listener.Addr().String(),
		serveErr: make(chan error, 1),
	}
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.serveErr <- err
		}
	}()
	return s, nil
}

// shutdown stops the server once its connections are idle.
func (s *server) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return s.http.Shutdown(ctx)
}

// closeNow stops the server and closes all its connections at once.
func (s *server) closeNow() error { return s.http.Close() }
