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
	stop chan struct{}
	work sync.WaitGroup

	mu sync.Mutex
	// most holds the largest sum of resident and unread bytes with its parts, and the most descriptors.
	most Held
}

// sampleInterval is how often a Watch samples.
const sampleInterval = 10 * time.Millisecond

// NewWatch watches the process with an ID that listens on an address.
func NewWatch(t testing.TB, pid int, address string) *Watch {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	w := &Watch{pid: pid, port: number, stop: make(chan struct{})}
	w.work.Go(w.run)
	return w
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
		held, err := Sample(w.pid, w.port)
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

// Sample returns what a process holds now. Callers connect to its port.
func Sample(pid, port int) (Held, error) {
	resident, err := residentBytes(pid)
	if err != nil {
		return Held{}, err
	}
	unread, err := unreadBytes(port)
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

// listening is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
const listening = "0A"

// unreadBytes returns how many bytes the kernel holds for the reader at all connections whose local port
// is the given one.
func unreadBytes(port int) (int64, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // only read
	suffix := fmt.Sprintf(":%04X", port)
	var sum int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == listening {
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
