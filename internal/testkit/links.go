package testkit

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
)

// LinkFault is what is wrong with a link.
type LinkFault int

// The faults of a link.
const (
	// LinkUp: nothing is wrong.
	LinkUp LinkFault = iota
	// LinkHangs: nothing passes in either direction, and new connections are not made.
	LinkHangs
	// LinkLosesReplies: like LinkHangs, but what is sent on open connections arrives.
	LinkLosesReplies
	// LinkResets: open connections are reset, and new ones too.
	LinkResets
	// LinkRefuses: open connections are reset, and new ones are refused, as if the server's process
	// had ended.
	LinkRefuses
	// LinkRefusesNew: open connections live on, and new ones are refused.
	LinkRefusesNew
)

// String returns the fault's name.
func (f LinkFault) String() string {
	return [...]string{"up", "hangs", "loses replies", "resets", "refuses", "refuses new connections"}[f]
}

// Links are the links from one process to the servers that it reaches through them, one for each
// server, so that one process can lose a server that another one still reaches. It is safe for
// concurrent use.
type Links struct {
	t testing.TB

	mu     sync.Mutex
	relays map[string]*Relay
	faults map[string]LinkFault
}

// NewLinks returns the links of one process, without any server.
func NewLinks(t testing.TB) *Links {
	return &Links{t: t, relays: make(map[string]*Relay), faults: make(map[string]LinkFault)}
}

// Add adds the link to the server at an address.
func (l *Links) Add(address string) {
	relay := NewRelay(l.t, "http://"+address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relays[address] = relay
}

// Set sets the fault of the links to the servers at some addresses; to all if there is none.
func (l *Links) Set(fault LinkFault, addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(addresses) == 0 {
		for address := range l.relays {
			addresses = append(addresses, address)
		}
	}
	for _, address := range addresses {
		relay := l.relays[address]
		l.faults[address] = fault
		relay.Cut(fault == LinkHangs)
		relay.CutReplies(fault == LinkLosesReplies)
		if fault == LinkResets || fault == LinkRefuses {
			relay.Reset()
		}
	}
}

// Dial opens a connection. To a server without a link it connects directly.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	relay, fault := l.relays[address], l.faults[address]
	l.mu.Unlock()
	refused := func(err error) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Net: network, Err: err} }
	switch fault {
	case LinkHangs, LinkLosesReplies:
		<-ctx.Done()
		return refused(ctx.Err())
	case LinkResets:
		return refused(syscall.ECONNRESET)
	case LinkRefuses, LinkRefusesNew:
		return refused(syscall.ECONNREFUSED)
	}
	if relay != nil {
		// The relay accepts connections even where its server refuses them.
		probe, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		_ = probe.Close() // nothing was sent
		address = relay.Address()
	}
	return new(net.Dialer).DialContext(ctx, network, address)
}
