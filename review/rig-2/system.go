package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/standin/metastore"
)

// What a small deployment's sheet says.
const (
	entryCount = 4
	modelCount = 9
	appCount   = 4
	heartbeat  = 1200 * time.Millisecond
	host       = "ficu95.example"
	// models and application are the two services.
	models      = "huvo11a"
	application = "wuno96b"
	tenant      = "hule930"
	key         = "i9n73hh2b9wu3fexd9dn"
	streamPath  = "/lohu930/2f"
	bidPath     = "/puxa403/2f"
)

// system is the platform, the entry processes and the runners.
type system struct {
	began time.Time
	// pause is the time between two events of a runner's stream.
	pause  time.Duration
	self   string
	dir    string
	store  *metastore.Store
	done   chan struct{}
	ending sync.Once

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	entries []*entryProcess
	runners map[string]*runner
	// runs counts how often runners began to work on each request.
	runs    map[string]int
	started int
	seq     int
}

type entryProcess struct {
	name, callers, readiness string
	command                  *exec.Cmd
	log                      *os.File
}

// runner is a runner's process.
type runner struct {
	id, address, zone, service string
	command                    *exec.Cmd
	state                      string
	leavesMs                   int
	// said gets the lines that the runner prints.
	said chan string
	// ended is closed when the process has ended.
	ended chan struct{}
}

func startSystem(entry, record string, pause time.Duration) (*system, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &system{began: time.Now(), pause: pause, self: self, dir: dir, store: metastore.New(), done: make(chan struct{}), file: file, record: bufio.NewWriter(file), runners: make(map[string]*runner), runs: make(map[string]int)}
	if err := s.start(entry); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) start(entry string) error {
	storeAddress, err := s.serve(s.store)
	if err != nil {
		return err
	}
	cloudAddress, err := s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a caller that breaks off needs no answer
		w.WriteHeader(http.StatusOK)
	}))
	if err != nil {
		return err
	}
	s.store.Write("keyed.op", "config", configuration())
	for i := range modelCount + appCount {
		service := models
		if i >= modelCount {
			service = application
		}
		if _, err := s.startRunner(service, fmt.Sprintf("hall-%c", 'a'+(i+3*(i/modelCount))%entryCount)); err != nil {
			return err
		}
	}
	go s.beat()
	var seeds []string
	for i := range entryCount {
		e, peers, err := s.startEntry(entry, i, seeds, storeAddress, cloudAddress)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		seeds = append(seeds, peers)
	}
	return s.awaitReady()
}

// serve serves a stand-in on a free loopback port and returns its address.
func (s *system) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return listener.Addr().String(), nil
}

// freeAddress returns an address that nobody listens at. Its port is below those that the kernel gives to
// connections, so that none takes it before the entry process listens.
func freeAddress() (string, error) {
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000)))
		if err == nil {
			address := listener.Addr().String()
			return address, listener.Close()
		}
	}
	return "", errors.New("no port is free")
}

// startEntry starts an entry process with the settings that deploy/entry.toml.tmpl gives.
func (s *system) startEntry(program string, i int, seeds []string, store, cloud string) (*entryProcess, string, error) {
	var addresses [4]string
	for k := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, "", err
		}
		addresses[k] = address
	}
	e := &entryProcess{name: fmt.Sprintf("edge-hall-%c-1", 'a'+i), callers: addresses[0], readiness: addresses[1]}
	quoted, err := json.Marshal(append([]string{}, seeds...))
	if err != nil {
		return nil, "", err
	}
	text := fmt.Sprintf(`[instance]
id = %q
failure_domain = "hall-%c"
region = "tirol"
[listen]
callers = %q
readiness = %q
peers = %q
operators = %q
[peers]
seeds = %s
[store]
address = %q
[cloud]
address = %q
duties = ["metering","autoscale"]
[machine]
memory_mib = 284
descriptors = 4100
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
`, e.name, 'a'+i, e.callers, e.readiness, addresses[2], addresses[3], quoted, store, cloud)
	path := filepath.Join(s.dir, e.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	if e.log, err = os.Create(filepath.Join(s.dir, e.name+".log")); err != nil {
		return nil, "", err
	}
	e.command = exec.Command(program)
	e.command.Env = append(os.Environ(), "GOLDCRESTSPOOL_CONFIG="+path)
	e.command.Stdout, e.command.Stderr = e.log, e.log
	return e, addresses[2], e.command.Start()
}

// configuration is the operator's, as the protocol's pages write it.
func configuration() []byte {
	data, err := json.Marshal(map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name": "r-6tta828", "Host": host, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 15000, "GoalMs": 1000, "Priority": 1,
			"Service": models, "Attempts": 1, "Public": false, "Sticky": true, "Resumable": false, "GapGoalMs": 400,
		}, {
			"Name": "r-pu60fhh", "Host": host, "PathPrefix": "/puxa403/", "Kind": "non_idempotent", "TimeoutMs": 1000, "GoalMs": 150, "Priority": 2,
			"Service": application, "Attempts": 1, "Public": false, "Sticky": false, "Resumable": false,
		}},
		"Services": []map[string]any{{
			"Name": models, "HealthPath": "/healthz", "MaxConns": 370, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": 64, "KvCapacity": 610348, "KvBytes": 35136, "LinkMbps": 260000.0, "Stride": 6, "Models": []map[string]any{{"Name": "m"}}},
		}, {
			"Name": application, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false,
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": tenant, "ApiKeys": []string{key}, "Priority": 1, "Unit": "token_count", "UncachedTokens": 200, "RatePerS": 162128, "Burst": 162128}},
	})
	if err != nil {
		panic(err) // the value above always encodes
	}
	return data
}

// startRunner starts a process of a service's runner in a zone and registers it.
func (s *system) startRunner(service, zone string, flags ...string) (*runner, error) {
	s.mu.Lock()
	s.started++
	r := &runner{id: fmt.Sprintf("i-%08x", 0x7f3a0000+s.started), zone: zone, service: service, state: "ready", said: make(chan string, 1024), ended: make(chan struct{})}
	s.mu.Unlock()
	r.command = exec.Command(s.self, append([]string{"runner", "--id", r.id, "--pause", s.pause.String()}, flags...)...)
	r.command.Stderr = os.Stderr
	out, err := r.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errors.New("a runner did not start")
	}
	r.address = lines.Text()
	go func() {
		defer close(r.ended)
		for lines.Scan() {
			s.note("runner %s: %s", r.id, lines.Text())
			s.countRun(lines.Text())
			select {
			case r.said <- lines.Text():
			default:
			}
		}
		_ = r.command.Wait() // killed by this script, or ended as it was told
	}()
	s.mu.Lock()
	s.runners[r.id] = r
	s.mu.Unlock()
	s.register(r)
	s.note("runner %s started at %s", r.id, r.address)
	return r, nil
}

// register writes a runner's entry, as the runner does about every heartbeat.
func (s *system) register(r *runner) {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": 6, "State": r.state, "ColdLeftMs": 0, "Seq": s.seq}
	if r.service == models {
		entry["Slots"], entry["Stage"], entry["Preemptible"] = 64, "unified", true
		entry["Models"] = []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}
	}
	if r.leavesMs > 0 {
		entry["leaves_ms"] = r.leavesMs
	}
	s.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the value above always encodes
	}
	s.store.Write("keyed.servers", r.id, data)
}

// beat renews the entries of the runners that live, and removes those that have been silent for
// three heartbeats.
func (s *system) beat() {
	silent := make(map[string]int)
	for {
		select {
		case <-s.done:
			return
		case <-time.After(heartbeat):
		}
		s.mu.Lock()
		runners := make([]*runner, 0, len(s.runners))
		for _, r := range s.runners {
			runners = append(runners, r)
		}
		s.mu.Unlock()
		for _, r := range runners {
			select {
			case <-r.ended:
				if silent[r.id]++; silent[r.id] >= 3 {
					s.remove(r)
				}
			default:
				s.register(r)
			}
		}
	}
}

// remove removes a runner's entry.
func (s *system) remove(r *runner) {
	s.mu.Lock()
	delete(s.runners, r.id)
	s.mu.Unlock()
	s.store.Write("keyed.servers", r.id, nil)
	s.note("entry of runner %s removed", r.id)
}

// runsOf returns how often runners began to work on a request.
func (s *system) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// countRun counts a line of a runner that says that it begins to work on a request.
func (s *system) countRun(line string) {
	words := strings.Fields(line)
	if len(words) < 2 || words[0] != "runs" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[words[1]]++
}

// awaitReady waits until all entry processes say that they are ready.
func (s *system) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(15 * time.Second)
	for _, e := range s.entries {
		for {
			answer, err := client.Get("http://" + e.readiness + "/api/readyz")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("entry process %s does not become ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	return nil
}

// note writes a line into the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// stop ends all processes that were started.
func (s *system) stop() { s.ending.Do(s.endAll) }

func (s *system) endAll() {
	close(s.done)
	for _, e := range s.entries {
		_ = e.command.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = e.command.Wait()
		e.log.Close()
	}
	s.mu.Lock()
	runners := make([]*runner, 0, len(s.runners))
	for _, r := range s.runners {
		runners = append(runners, r)
	}
	s.mu.Unlock()
	for _, r := range runners {
		_ = r.command.Process.Signal(syscall.SIGKILL) // it may have ended
		<-r.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir) // a folder of its own under the temporary folder
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Flush()
}
