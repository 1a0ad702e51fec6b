//go:build e2e

package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/loadgen"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

const (
	rootDir = "../.."
	// waitLimit is the time limit of every wait of the tests. It is far longer
	// than needed, so that the tests check no durations.
	waitLimit = 60 * time.Second
	token     = "test-token"
	account   = "registrar"
	services  = "spool-llm auktion-app"
)

// binDir is the directory into which TestMain builds the programs.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", raceFlag, "-o", dir+"/", "./cmd/gateway", "./cmd/controller", "./cmd/standin", "./cmd/spoolctl")
	build.Dir = rootDir
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// addresses are those that a process prints when it listens. Stand-ins have
// Address, controllers Operators, and gateways all but Address.
type addresses struct{ Address, Callers, Peers, Operators string }

// process is a program that a test started.
type process struct {
	t         *testing.T
	name      string
	cmd       *exec.Cmd
	stderr    bytes.Buffer
	addresses addresses
	exited    chan struct{}
	err       error
}

// logDirs holds the directory for the output of each test's processes.
var logDirs sync.Map

// failureLogs returns the directory for the output of a test's processes.
func failureLogs(t *testing.T) string {
	t.Helper()
	if dir, made := logDirs.Load(t.Name()); made {
		return dir.(string)
	}
	dir := testkit.FailureLogs(t)
	logDirs.Store(t.Name(), dir)
	t.Cleanup(func() { logDirs.Delete(t.Name()) })
	return dir
}

// launch starts a program and waits until it prints where it listens. If the
// program still runs at the end of the test, it is killed.
func launch(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binDir, program), args...), exited: make(chan struct{})}
	output := testkit.NewProcessOutput(t, failureLogs(t), name)
	p.cmd.Stderr = io.MultiWriter(&p.stderr, output.Stderr())
	p.cmd.Stdout = output
	firstLine := output.FirstLine()
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = output.Close() // the test reads nothing of it
		close(p.exited)
	}()
	t.Cleanup(p.kill)
	var line []byte
	select {
	case line = <-firstLine:
	case <-p.exited:
	}
	if err := json.Unmarshal(line, &p.addresses); err != nil {
		p.kill()
		t.Fatalf("%s does not listen: %v\n%s", name, err, p.stderr.String())
	}
	return p
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		// The process may have ended meanwhile, and then the signal fails.
		_ = p.cmd.Process.Signal(s)
	}
}

// stop sends SIGTERM, waits until the process has ended and expects exit status 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	<-p.exited
	if p.err != nil {
		p.t.Errorf("%s: planned stop ended with %v\n%s", p.name, p.err, p.stderr.String())
	}
}

// system is a platform stand-in with the processes that use it.
type system struct {
	t        *testing.T
	platform *process
	gateways []*process
	plains   []*process
	engines  []*process
}

func newSystem(t *testing.T) *system {
	t.Helper()
	return &system{t: t, platform: launch(t, "platform", "standin", "platform")}
}

func (s *system) address() string { return s.platform.addresses.Address }

// run runs a program to its end, expects exit status 0 and returns what it printed.
func (s *system) run(program string, args ...string) string {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitLimit)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(binDir, program), args...).CombinedOutput()
	if err != nil {
		s.t.Fatalf("%s %s: %v\n%s", program, strings.Join(args, " "), err, out)
	}
	return string(out)
}

func (s *system) admin(args ...string) {
	s.t.Helper()
	s.run("standin", append([]string{"admin", "--platform", s.address()}, args...)...)
}

// engine starts a model engine with further options.
func (s *system) engine(id, domain string, options ...string) *process {
	s.t.Helper()
	args := []string{"engine", "--platform", s.address(), "--id", id, "--service", "spool-llm",
		"--failure-domain", domain, "--class", "gpu-small", "--model", "spool-llm", "--model-version", "2026-11"}
	p := launch(s.t, id, "standin", append(args, options...)...)
	s.engines = append(s.engines, p)
	return p
}

func (s *system) plain(id, domain string) *process {
	s.t.Helper()
	p := launch(s.t, id, "standin", "plain", "--platform", s.address(), "--id", id, "--service", "auktion-app",
		"--failure-domain", domain, "--class", "cpu-small", "--checks-fencing", "--finds-outcomes",
		// Long enough that a killed gateway leaves calls that were executed but
		// not answered.
		"--before", "50ms", "--after", "400ms")
	s.plains = append(s.plains, p)
	return p
}

// settings writes a settings file with the sections that all programs have and
// further ones, and returns its path.
func (s *system) settings(id, domain, sections string) string {
	s.t.Helper()
	common := fmt.Sprintf(`
[instance]
id = %q
region = "tirol"
failure_domain = %q
incarnation = 1
[platform]
address = "http://%s"
`, id, domain, s.address())
	return s.file(id+".toml", common+sections)
}

// file writes a file that is removed after the test and returns its path.
func (s *system) file(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *system) gateway(id, domain string) *process {
	s.t.Helper()
	file := s.settings(id, domain, fmt.Sprintf(`
[[client_accounts]]
name = %q
token_sha256 = "%x"
`, account, sha256.Sum256([]byte(token))))
	p := launch(s.t, id, "gateway", "--settings", file)
	s.admin("register", "--id", id, "--incarnation", "1", "--failure-domain", domain,
		"--address", p.addresses.Callers, "--peer-address", p.addresses.Peers)
	s.gateways = append(s.gateways, p)
	return p
}

// publish publishes the example documents and waits until every gateway is
// ready.
func (s *system) publish() {
	s.t.Helper()
	for _, service := range strings.Fields(services) {
		s.run("spoolctl", "publish", filepath.Join(rootDir, "examples", service+".toml"), "--platform", s.address())
	}
	for _, g := range s.gateways {
		s.awaitReady(g)
	}
}

func (s *system) awaitReady(p *process) {
	s.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		resp, err := http.Get("http://" + p.addresses.Operators + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%s is not ready: %v\n%s", p.name, err, p.stderr.String())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// load sends a load to all gateways, calls during meanwhile, and returns the
// result of the load.
func (s *system) load(rate float64, duration time.Duration, during func()) *loadgen.Result {
	s.t.Helper()
	workload := &loadgen.Workload{
		ModelService:  "spool-llm",
		PlainService:  "auktion-app",
		BookingMethod: "place_bid",
		Accounts:      []loadgen.Account{{Name: account, Token: token, Weight: 1}},
		Shapes: map[loadgen.Kind]loadgen.Shape{
			loadgen.Short: {Class: "short", PromptTokens: 64, MaxTokens: 16},
			loadgen.Long:  {Class: "long", PromptTokens: 512, SharedTokens: 256, MaxTokens: 128},
		},
		Weights: map[loadgen.Kind]float64{loadgen.Short: 0.4, loadgen.Long: 0.1, loadgen.Booking: 0.5},
	}
	options := loadgen.Options{CallerTimeout: waitLimit, SilenceTimeout: 5 * time.Second, MaxRefusals: 20, FreshConnections: true}
	for _, g := range s.gateways {
		options.Gateways = append(options.Gateways, g.addresses.Callers)
	}
	for _, p := range s.plains {
		options.PlainStandins = append(options.PlainStandins, p.addresses.Address)
	}
	run := loadgen.NewRun(options, workload)
	done := make(chan *loadgen.Result, 1)
	go func() { done <- run.Do(s.t.Context(), workload.Poisson(rate, duration, 1)) }()
	during()
	result := <-done
	for _, kind := range loadgen.Kinds {
		s.t.Logf("%s: %d sent, %v, reasons %v", kind, result.Kinds[kind].Sent, result.Kinds[kind].Verdicts, result.Kinds[kind].Reasons)
	}
	return result
}

// expectNoBrokenPromise fails the test if an answer broke a promise: if it was wrong,
// incomplete, doubled or lost.
func expectNoBrokenPromise(t *testing.T, r *loadgen.Result) {
	t.Helper()
	if r.Broken > 0 {
		t.Errorf("%d answers broke a promise: %+v", r.Broken, r.Problems)
	}
}

// expectNoCuts fails the test if a connection broke during a request, or a stream
// had to be resumed.
func expectNoCuts(t *testing.T, r *loadgen.Result) {
	t.Helper()
	if r.Cuts > 0 || r.Resumes > 0 {
		t.Errorf("%d connections cut, %d streams resumed; want none", r.Cuts, r.Resumes)
	}
}

// expectWhole fails the test if any request did not get its whole answer.
func expectWhole(t *testing.T, r *loadgen.Result) {
	t.Helper()
	expectNoBrokenPromise(t, r)
	for kind, result := range r.Kinds {
		if whole := result.Verdicts[loadgen.Whole]; whole != result.Sent {
			t.Errorf("%s: %d of %d whole: %v %v", kind, whole, result.Sent, result.Verdicts, result.Reasons)
		}
	}
}
