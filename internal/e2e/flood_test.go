//go:build e2e

package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/api/upstream/v1/upstreamv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit/crowd"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

const (
	// floodCallers is how many callers want a flood at a time, and floodStays how long they do.
	floodCallers = 100
	floodStays   = 2 * time.Second
)

// healthy is a plain service that says that it is healthy. It serves nothing else.
type healthy struct {
	upstream.Plain
	id ident.Instance
}

func (h healthy) Health(context.Context) (upstream.Health, error) {
	return upstream.Health{Instance: h.id, Incarnation: 1}, nil
}

// gatewayFlood is what a faulty upstream sends: a beginning, and then a part so many times, or without end. What stops
// short of its end stays open and silent.
type gatewayFlood struct {
	name, procedure, beginning, part string
	times                            int
}

// endless is a flood's number of times that has no end.
const endless = -1

func gatewayFloods() []gatewayFlood {
	const (
		invoke, generate = upstreamv1connect.PlainServiceInvokeProcedure, upstreamv1connect.EngineServiceGenerateProcedure
		head             = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
		failure          = "HTTP/1.1 503 X\r\nContent-Type: application/json\r\n"
		frames           = "HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\n"
	)
	kib := strings.Repeat("x", 1<<10)
	var fields strings.Builder
	for i := 0; fields.Len() < 4<<20; i++ {
		fmt.Fprintf(&fields, "x%x:\r\n", i)
	}
	return []gatewayFlood{
		{name: "a message without end", procedure: invoke, beginning: head + "Connection: close\r\n\r\n\n\xff\xff\xff\x7f", part: kib, times: endless},
		{name: "a message that stops short", procedure: invoke, beginning: head + "Content-Length: 16777216\r\n\r\n\n\xff\xff\xff\x07", part: kib, times: 8 << 10},
		{name: "an error without end", procedure: invoke, beginning: failure + "Connection: close\r\n\r\n{\"code\":\"", part: kib, times: endless},
		{name: "a head of many fields, not ended", procedure: invoke, beginning: head + fields.String()},
		{name: "a frame without end", procedure: generate, beginning: frames + "Connection: close\r\n\r\n\x00\x7f\xff\xff\xff", part: kib, times: endless},
		{name: "a frame that stops short", procedure: generate, beginning: frames + "Connection: close\r\n\r\n\x00\x7f\xff\xff\xff", part: kib, times: 8 << 10},
	}
}

// serve answers a request with the flood.
func (f gatewayFlood) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, f.beginning); err != nil {
		return
	}
	part := []byte(strings.Repeat(f.part, 16))
	for sent := 0; f.times == endless || sent < f.times; sent += 16 {
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, conn) // until the gateway closes it
}

// flooding starts an upstream of a service that is healthy and sends a flood.
func (s *system) flooding(id string, f gatewayFlood) {
	s.t.Helper()
	instance := ident.Instance(id)
	mux := http.NewServeMux()
	role, service, class := "plain", "auktion-app", "cpu-small"
	if f.procedure == upstreamv1connect.EngineServiceGenerateProcedure {
		role, service, class = "engine", "spool-llm", "gpu-small"
		fake := engine.New(engine.Config{Instance: instance, Incarnation: 1, Parameters: engine.DefaultParameters(), Model: "spool-llm", Version: "2026-11"})
		s.t.Cleanup(fake.Close)
		connectupstream.MountEngine(mux, fake)
	} else {
		connectupstream.MountPlain(mux, healthy{id: instance})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == f.procedure {
			f.serve(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.admin("register", "--id", id, "--role", role, "--service", service, "--incarnation", "1", "--class", class, "--region", "tirol",
		"--failure-domain", failureDomain(0), "--address", strings.TrimPrefix(server.URL, "http://"))
}

// wantFlood lets callers send requests until ctx ends, and returns how many they sent.
func wantFlood(ctx context.Context, g *process, f gatewayFlood) int {
	var mu sync.Mutex
	sent := 0
	var callers sync.WaitGroup
	client := callerv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 2 * floodCallers}}, "http://"+g.addresses.Callers)
	for range floodCallers {
		callers.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				sent++
				mu.Unlock()
				wantOnce(ctx, client, f)
				select {
				case <-ctx.Done():
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	callers.Wait()
	return sent
}

// wantOnce sends one request for the flood.
func wantOnce(ctx context.Context, client callerv1connect.CallerServiceClient, f gatewayFlood) {
	if f.procedure == upstreamv1connect.EngineServiceGenerateProcedure {
		_, _ = streamOnce(ctx, client) // most fail
		return
	}
	ctx, call := connect.NewClientContext(ctx)
	call.RequestHeader().Set("Authorization", "Bearer "+token)
	_, _ = client.Call(ctx, &callerv1.CallRequest{Service: "auktion-app", Method: "lookup", Payload: []byte("x"), Attempt: 1}) // most fail
}

// streamOnce asks for a stream of a few tokens and returns how many came.
func streamOnce(ctx context.Context, client callerv1connect.CallerServiceClient) (tokens int, err error) {
	const wanted = 4
	ctx, call := connect.NewClientContext(ctx)
	call.RequestHeader().Set("Authorization", "Bearer "+token)
	stream, err := client.Generate(ctx, &callerv1.GenerateRequest{Service: "spool-llm", Class: "short", Prompt: "x", MaxTokens: wanted, RequestId: uuid.NewString(), Attempt: 1})
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }() // read to its end
	for stream.Receive() {
		tokens += len(stream.Msg().GetTokens().GetTokens())
	}
	return tokens, stream.Err()
}

// askBeside lets an ordinary caller ask a sound service beside the one that floods.
func askBeside(t *testing.T, g *process, f gatewayFlood) {
	t.Helper()
	if f.procedure == upstreamv1connect.EngineServiceGenerateProcedure {
		askOrdinary(t, g, "beside the flood", crowd.OrdinaryTries)
		return
	}
	client := callerv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, "http://"+g.addresses.Callers)
	crowd.Ask(t, "beside the flood", crowd.OrdinaryTries, func(int) (answered bool, heard string) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		tokens, err := streamOnce(ctx, client)
		return err == nil && tokens > 0, fmt.Sprint(tokens, " tokens, ", err)
	})
}

// Guards against faulty upstreams that end a gateway's process: what they send, without end or stopped short of it, is
// held for many callers at one time and takes more memory than the machine has, or keeps ordinary callers out.
func TestFloodsOfAnswersLeaveTheGatewayAlive(t *testing.T) {
	s := newSystem(t)
	g := s.gateway("gateway-1", failureDomain(0))
	s.plain("app-1", failureDomain(0))
	s.engine("engine-1", failureDomain(0))
	s.publish()
	askOrdinary(t, g, "before", crowd.StartTries)
	for i, f := range gatewayFloods() {
		t.Run(strings.ReplaceAll(f.name, " ", "_"), func(t *testing.T) {
			id := fmt.Sprint("flood-", i)
			s.flooding(id, f)
			time.Sleep(time.Second) // the gateway learns of the upstream
			watch := crowd.NewWatch(t, g.cmd.Process.Pid, g.addresses.Callers)
			ctx, cancel := context.WithTimeout(t.Context(), floodStays)
			defer cancel()
			sent := make(chan int, 1)
			go func() { sent <- wantFlood(ctx, g, f) }()
			time.Sleep(floodStays / 2)
			askBeside(t, g, f)
			t.Logf("callers sent %d requests", <-sent)
			s.admin("set-state", "--id", id, "--state", "ended")
			askOrdinary(t, g, "after the flood", crowd.StartTries)
			watch.Stop().Check(t, crowdMemoryMiB, crowdDescriptors)
		})
		select {
		case <-g.exited:
			t.Fatal("the gateway's process ended")
		default:
		}
	}
}
