package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cannot ends the case with status 2: it couldn't run.
func cannot(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", a...)
	endAll()
	os.Exit(2)
}

var (
	childrenMu sync.Mutex
	children   []*exec.Cmd
	ending     bool
)

// startProcess starts a process that endAll ends.
func startProcess(c *exec.Cmd) error {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	if ending {
		return errors.New("the case ends")
	}
	err := c.Start()
	if err == nil {
		children = append(children, c)
	}
	return err
}

// endAll ends all processes that this one started.
func endAll() {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	ending = true
	for _, c := range children {
		c.Process.Kill()
	}
}

// Record is the record.txt of a case.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	begun time.Time
}

func newRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		cannot("%v", err)
	}
	return &Record{f: f, begun: time.Now()}
}

// Line writes a line with the seconds since the start.
func (r *Record) Line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, a...)...)
}

// Entry is an entry process on a machine of its own: a loopback address.
type Entry struct {
	Name, IP, Callers, Ready string
	settings                 string
	dir                      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	stop   bool
	Starts int
	// OnEnd is called when the process ended.
	OnEnd func()
}

// Sheet is what the platform fills into the settings template.
type Sheet struct {
	MemoryMb, MaxFds int
	Zones            []string
	FenceOff         bool
}

var usedPorts = map[int]bool{}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			cannot("%v", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if !usedPorts[port] {
			usedPorts[port] = true
			return port
		}
	}
}

// startEntries starts n entry processes with the command of deploy/system.toml, and the settings that its
// template gives for a small deployment.
func startEntries(repo, dir string, n int, p *Platform, sheet Sheet) []*Entry {
	// As in the project's own tests, all are at one loopback address: a gateway knows the others by the address
	// that their connections come from.
	const ip = "127.0.0.1"
	controls := make([]int, n)
	var seeds []string
	for i := range controls {
		controls[i] = freePort(ip)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", ip, controls[i]))
		}
	}
	var entries []*Entry
	for i, control := range controls {
		callers, ready, metrics := freePort(ip), freePort(ip), freePort(ip)
		zone := sheet.Zones[i%len(sheet.Zones)]
		e := &Entry{Name: fmt.Sprintf("edge-%s-%d", zone, i/len(sheet.Zones)+1), IP: ip, dir: dir,
			Callers: fmt.Sprintf("%s:%d", ip, callers), Ready: fmt.Sprintf("%s:%d", ip, ready)}
		e.settings = filepath.Join(dir, e.Name+".toml")
		text := fmt.Sprintf(`[instance]
id = %q
failure_domain = %q
region = "region-1"
[listen]
callers = %q
readiness = %q
peers = "%s:%d"
operators = "%s:%d"
[peers]
seeds = [%s]
[store]
address = %q
[cloud]
address = %q
duties = ["metering","autoscale"]
[machine]
memory_mib = %d
descriptors = %d
cores = 0.4
[stop]
grace = "8s"
[configuration]
change_due = "2000ms"
[upstreams]
departure_due = "2000ms"
renewal = "1200ms"
[retries]
ratio = 0.2
window = "10s"
slack = 56
[quota]
window = "8s"
overage = 0.1
slack = 140000
[lease]
length = "3000ms"
[usage]
window = "5s"
due_after = "10s"
`, e.Name, zone, e.Callers, e.Ready, ip, control, ip, metrics, strings.Join(seeds, ","), p.Store, p.Cloud, sheet.MemoryMb, sheet.MaxFds)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			cannot("%v", err)
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		e.start(repo)
	}
	return entries
}

// start runs the process, and again a moment after each end, as the platform does.
func (e *Entry) start(repo string) {
	log, err := os.OpenFile(filepath.Join(e.dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("%v", err)
	}
	cmd := exec.Command(filepath.Join(repo, "target/entry"))
	cmd.Dir = repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.dir, "LANG=C", "GOLDCRESTSPOOL_CONFIG=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := startProcess(cmd); err != nil {
		if !ending {
			cannot("start the entry process: %v", err)
		}
		return
	}
	e.mu.Lock()
	e.cmd, e.done = cmd, make(chan struct{})
	e.Starts++
	done := e.done
	e.mu.Unlock()
	go func() {
		cmd.Wait()
		log.Close()
		close(done)
		e.mu.Lock()
		stop, onEnd := e.stop, e.OnEnd
		e.mu.Unlock()
		if onEnd != nil {
			onEnd()
		}
		if !stop {
			time.Sleep(500 * time.Millisecond)
			e.start(repo)
		}
	}()
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd.Process.Signal(s)
}

// Memory returns the resident memory of the process in MiB.
func (e *Entry) Memory() float64 {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// IsReady asks for the readiness, as the platform does.
func (e *Entry) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	r, err := c.Get("http://" + e.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func waitReady(entries []*Entry, within time.Duration) {
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, e := range entries {
			all = all && e.IsReady()
		}
		if all {
			return
		}
		if time.Now().After(end) {
			cannot("the entry processes did not get ready")
		}
	}
}

// RunnerProcess is a runner in a process of its own.
type RunnerProcess struct {
	ID, Service, Address string
	cmd                  *exec.Cmd
	done                 chan struct{}
}

// RunnerSpec says how a runner behaves.
type RunnerSpec struct {
	ID, Service, Zone, Version, Store, IP string
	Slots                                 int
	// Unframed: its streams have neither a length nor chunks, and end with their connection.
	Unframed bool
	// FirstMs and GapMs are the times to the first event and between events; WorkMs is that of other requests.
	FirstMs, GapMs, WorkMs int
}

// RunnerEvent is a line that a runner prints.
type RunnerEvent struct {
	Runner, What, ID string
	N                int
}

// startRunner starts a runner as a process of its own. onEvent gets what it prints.
func startRunner(spec RunnerSpec, onEvent func(RunnerEvent)) *RunnerProcess {
	data, _ := json.Marshal(spec)
	cmd := exec.Command(os.Args[0], "runner", string(data))
	out, err := cmd.StdoutPipe()
	if err != nil {
		cannot("%v", err)
	}
	cmd.Stderr = os.Stderr
	if err := startProcess(cmd); err != nil {
		if !ending {
			cannot("start a runner: %v", err)
		}
		select {}
	}
	r := &RunnerProcess{ID: spec.ID, Service: spec.Service, cmd: cmd, done: make(chan struct{})}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		cannot("a runner did not start")
	}
	r.Address = lines.Text()
	go func() {
		for lines.Scan() {
			var e RunnerEvent
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				onEvent(e)
			}
		}
		cmd.Wait()
		close(r.done)
	}()
	return r
}

// Kill ends the runner's process by SIGKILL.
func (r *RunnerProcess) Kill() { r.cmd.Process.Kill(); <-r.done }
