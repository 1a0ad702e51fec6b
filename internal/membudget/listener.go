package membudget

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

// refusalOfConnection is what a caller gets for whom there is no room: all is taken by requests that are being
// answered. No request of it has been used.
const refusalOfConnection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 33\r\n\r\nthere is no room for this caller\n"

// refusalTime bounds the writing of refusalOfConnection.
const refusalTime = 10 * time.Millisecond

// Listen listens for callers. The kernel holds little unread at each of their connections.
func Listen(address string, log hclog.Logger) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer); err != nil {
				log.Warn("cannot bound what the kernel holds unread of callers", "error", err)
			}
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Listener admits the connections of a listener to the budget. Its connections are of type *Conn. It never
// leaves a connection waiting: where all places are taken, somebody yields, or the caller is refused.
func (b *Budget) Listener(l net.Listener) net.Listener { return &listener{Listener: l, budget: b} }

type listener struct {
	net.Listener
	budget *Budget
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.budget.admit(accepted); c != nil {
			return c, nil
		}
		refuse(accepted)
	}
}

// refuse tells a caller to come back, and closes its connection.
func refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = io.WriteString(c, refusalOfConnection) // the caller may have gone
	_ = c.Close()
}
