package command

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// program is a stand-in that runs in this process.
type program struct {
	Address string
	lines   *bufio.Scanner
	// terminate has the effect of SIGTERM.
	terminate context.CancelFunc
	exited    chan int
}

// launch starts a stand-in with a command line and waits until it listens.
func launch(t *testing.T, args ...string) *program {
	t.Helper()
	ctx, terminate := context.WithCancel(context.Background())
	stdout, writer := io.Pipe()
	p := &program{lines: bufio.NewScanner(stdout), terminate: terminate, exited: make(chan int, 1)}
	var stderr bytes.Buffer
	go func() {
		status := Run(ctx, args, writer, &stderr)
		_ = writer.Close()
		p.exited <- status
	}()
	t.Cleanup(terminate)
	p.Address = p.expect(t, "listening")
	return p
}

// expect reads the next event and returns its address.
func (p *program) expect(t *testing.T, name string) string {
	t.Helper()
	var line struct{ Event, Address string }
	if !p.lines.Scan() || json.Unmarshal(p.lines.Bytes(), &line) != nil || line.Event != name {
		t.Fatalf("got %q, want event %s", p.lines.Text(), name)
	}
	return line.Address
}

func launchPlatform(t *testing.T) (*program, *connectplatform.Client) {
	t.Helper()
	p := launch(t, "platform", "--list-lag", "0s")
	client := transport.NewClient(transport.Options{})
	t.Cleanup(client.CloseIdleConnections)
	return p, connectplatform.NewClient(client, baseURL(p.Address))
}

func upstreamArgs(role string, p *program, more ...string) []string {
	args := []string{role, "--platform", p.Address, "--id", role + "-1", "--service", "s", "--failure-domain", "hall-a"}
	return append(args, more...)
}

// runAdmin runs an administrative command and returns its exit status and output.
func runAdmin(p *program, line string) (int, string) {
	var out bytes.Buffer
	args := append([]string{"admin", "--platform", p.Address}, strings.Fields(line)...)
	return Run(context.Background(), args, &out, io.Discard), out.String()
}

func instanceStates(t *testing.T, client *connectplatform.Client) map[ident.Instance]platform.InstanceState {
	t.Helper()
	list, err := client.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[ident.Instance]platform.InstanceState)
	for _, instance := range list {
		got[instance.ID] = instance.State
	}
	return got
}

// Guards against a server that closes its connections before its requests have
// ended: on SIGTERM it would cut off the stream and lose the answer of the call that
// are in flight.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	p, client := launchPlatform(t)
	engineProgram := launch(t, upstreamArgs("engine", p, "--step", "5ms")...)
	plainProgram := launch(t, upstreamArgs("plain", p, "--before", "1s")...)
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	engine := connectupstream.NewEngine(clients, baseURL(engineProgram.Address))
	plain := connectupstream.NewPlain(clients, baseURL(plainProgram.Address))

	const tokens = 200
	stream, err := engine.Generate(t.Context(), upstream.GenerateRequest{Request: "r-1", Prompt: "p", MaxTokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	called := make(chan error, 1)
	go func() {
		_, err := plain.Invoke(t.Context(), upstream.InvokeRequest{Method: "bid", Key: "k"})
		called <- err
	}()
	for running := 0; running == 0; {
		health, err := plain.Health(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		running = health.Running
	}

	engineProgram.terminate()
	plainProgram.terminate()
	for !isLeaving(t, engine) {
	}
	_, err = engine.Generate(t.Context(), upstream.GenerateRequest{Request: "r-2", Prompt: "p", MaxTokens: 1})
	if !errors.Is(err, upstream.ErrLeaving) {
		t.Errorf("new work while stopping: got %v, want ErrLeaving", err)
	}
	var got []string
	for err = nil; err == nil; {
		var frame upstream.Frame
		frame, err = stream.Next()
		got = append(got, frame.Tokens...)
	}
	if !errors.Is(err, io.EOF) || !cmp.Equal(got, answer.Tokens("p", tokens)) {
		t.Errorf("the stream ended after %d tokens: %v", len(got), err)
	}
	if err := <-called; err != nil {
		t.Errorf("the call was cut off: %v", err)
	}
	for _, program := range []*program{engineProgram, plainProgram} {
		program.expect(t, "stopped")
		if status := <-program.exited; status != ExitGood {
			t.Errorf("exit status %d", status)
		}
	}
	want := map[ident.Instance]platform.InstanceState{"engine-1": platform.Ended, "plain-1": platform.Ended}
	if got := instanceStates(t, client); !cmp.Equal(got, want) {
		t.Errorf("states %v, want %v", got, want)
	}
}

func isLeaving(t *testing.T, engine upstream.Engine) bool {
	t.Helper()
	report, err := engine.Report(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return report.Leaving
}

func TestReclaimEndsAnUpstream(t *testing.T) {
	p, client := launchPlatform(t)
	plainProgram := launch(t, upstreamArgs("plain", p)...)
	if status, out := runAdmin(p, "notice --id plain-1 --seconds 0.3"); status != ExitGood {
		t.Fatal(out)
	}
	if got := instanceStates(t, client)["plain-1"]; got != platform.Leaving {
		t.Errorf("state %v after the notice, want leaving", got)
	}
	plainProgram.expect(t, "reclaimed")
	if status := <-plainProgram.exited; status != ExitGood {
		t.Errorf("exit status %d", status)
	}
}

func TestAdminMakesThePlatformFail(t *testing.T) {
	p, client := launchPlatform(t)
	steps := []struct {
		command string
		status  int
		// want is the error of the next append.
		want error
	}{
		{"outage on", ExitGood, platform.ErrUnavailable},
		{"outage off", ExitGood, nil},
		{"lose-next-answer --mode after", ExitGood, platform.ErrAnswerLost},
		{"lose-next-answer --mode before", ExitGood, platform.ErrAnswerLost},
		{"slow 1ms", ExitGood, nil},
		{"outage sideways", ExitUsage, nil},
		{"outage on --part moon", ExitUsage, nil},
		{"set-state --id nobody --state ended", ExitFailed, nil},
		{"register --id gw-1 --failure-domain hall-a --address 127.0.0.1:1 --peer-address 127.0.0.1:2", ExitGood, nil},
	}
	for _, step := range steps {
		if status, _ := runAdmin(p, step.command); status != step.status {
			t.Errorf("%s: exit status %d, want %d", step.command, status, step.status)
		}
		if _, err := client.Append(t.Context(), "s", [][]byte{{1}}); !errors.Is(err, step.want) {
			t.Errorf("%s: append got %v, want %v", step.command, err, step.want)
		}
	}
	if got := instanceStates(t, client); got["gw-1"] != platform.Live {
		t.Errorf("states %v, want gw-1 live", got)
	}
	if _, out := runAdmin(p, "stats"); !strings.Contains(out, `"appends":"7"`) {
		t.Errorf("stats %s, want 7 appends", out)
	}
}
