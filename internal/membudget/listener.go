package membudget

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

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

// refusalTime bounds the writing of a refusal that no handler writes.
const refusalTime = 10 * time.Millisecond

// refuse tells a caller for whom there is no room to come back, and closes its connection. No request of it has
// been used.
func refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Write(refusal) // the caller may have gone
	_ = c.Close()
}

// refusal is the answer that refuse writes.
var refusal = renderRefusal()

func renderRefusal() []byte {
	const reason = "there is no room for this caller\n"
	answer := http.Response{
		StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header:        http.Header{"Retry-After": {fmt.Sprintf("%.2f", RetryAfter.Seconds())}, "Content-Type": {"text/plain; charset=utf-8"}},
		ContentLength: int64(len(reason)), Body: io.NopCloser(strings.NewReader(reason)),
	}
	var text bytes.Buffer
	if err := answer.Write(&text); err != nil {
		panic("membudget: " + err.Error()) // neither the body nor the buffer can fail
	}
	return text.Bytes()
}
