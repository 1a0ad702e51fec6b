package crowd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Held is what a process holds.
type Held struct {
	// Resident is the resident memory, and Unread what the kernel holds at connections to the process that
	// it has not read, in bytes.
	Resident, Unread int64
	Descriptors      int
}

// Watch samples what a process holds until it is stopped. Create it with NewWatch.
type Watch struct {
	pid  int
	port int
	// upstreams are the ports of the upstreams to whose connections is looked too.
	upstreams []int
	stop      chan struct{}
	work      sync.WaitGroup

	mu sync.Mutex
	// most holds the largest sum of resident and unread bytes with its parts, and the most descriptors.
	most Held
}

// sampleInterval is how often a Watch samples.
const sampleInterval = 10 * time.Millisecond

// NewWatch watches the process with an ID that listens on an address, and its connections to upstreams at other
// addresses.
func NewWatch(t testing.TB, pid int, address string, upstreams ...string) *Watch {
	t.Helper()
	w := &Watch{pid: pid, port: portOf(t, address), stop: make(chan struct{})}
	for _, upstream := range upstreams {
		w.upstreams = append(w.upstreams, portOf(t, upstream))
	}
	w.work.Go(w.run)
	return w
}

// portOf returns the port of an address.
func portOf(t testing.TB, address string) int {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

func (w *Watch) run() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		held, err := Sample(w.pid, w.port, w.upstreams...)
		if err != nil {
			return // the process has ended, which the test notices
		}
		w.mu.Lock()
		if held.Resident+held.Unread > w.most.Resident+w.most.Unread {
			w.most.Resident, w.most.Unread = held.Resident, held.Unread
		}
		w.most.Descriptors = max(w.most.Descriptors, held.Descriptors)
		w.mu.Unlock()
	}
}

// Stop ends the watch and returns the most that the process held.
func (w *Watch) Stop() Held {
	close(w.stop)
	w.work.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

// Sample returns what a process holds now. Callers connect to its port, and it connects to those of upstreams.
func Sample(pid, port int, upstreams ...int) (Held, error) {
	resident, err := residentBytes(pid)
	if err != nil {
		return Held{}, err
	}
	unread, err := unreadBytes(port, upstreams)
	if err != nil {
		return Held{}, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Held{}, err
	}
	return Held{Resident: resident, Unread: unread, Descriptors: len(descriptors)}, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// portSuffix returns how the addresses with a port end in /proc/net/tcp.
func portSuffix(port int) string { return fmt.Sprintf(":%04X", port) }

// States in /proc/net/tcp of sockets whose queue counts no bytes: listening ones have connections in it, and of connecting
// ones, which have received nothing, it tells nothing.
const (
	connecting = "02"
	listening  = "0A"
)

// unreadBytes returns how many bytes the kernel holds for the reader at all connections whose local port is the given
// one, or whose other end has the port of an upstream.
func unreadBytes(port int, upstreams []int) (int64, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // only read
	suffix := portSuffix(port)
	remote := make(map[string]bool)
	for _, upstream := range upstreams {
		remote[portSuffix(upstream)] = true
	}
	var sum int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening || fields[3] == connecting || len(fields[2]) < len(suffix) {
			continue
		}
		if !strings.HasSuffix(fields[1], suffix) && !remote[fields[2][len(fields[2])-len(suffix):]] {
			continue
		}
		_, queue, found := strings.Cut(fields[4], ":")
		if !found {
			continue
		}
		unread, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += unread
	}
	return sum, lines.Err()
}
