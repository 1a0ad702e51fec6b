//go:build e2e

package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit/crowd"
)

// The machine that a gateway is for whose settings name none, and the longest message that such a gateway
// takes.
const (
	crowdMemoryMiB   = 256
	crowdDescriptors = 1024
	crowdBodyLimit   = 1 << 20
)

// crowdHead returns the head of a request of HTTP/1.1 with a token.
func crowdHead(path, contentType, token string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: gateway\r\nX-Request-Id: " + crowd.IDPlaceholder + "\r\nContent-Type: " + contentType + "\r\nAuthorization: Bearer " + token + "\r\n"
}

// gatewayShapes are the clients that don't behave, of HTTP/1.1.
func gatewayShapes() []crowd.Shape {
	const (
		unary, streaming = "application/proto", "application/connect+proto"
		callPath         = callerv1connect.CallerServiceCallProcedure
	)
	return []crowd.Shape{
		{Name: "large chunks, stopped short of the end", Clients: 500, Head: crowdHead(callPath, unary, token), Framing: crowd.Chunked, BodyBytes: crowdBodyLimit, ChunkBytes: 64 << 10, Again: true},
		{Name: "very small chunks, stopped short of the end", Clients: 500, Head: crowdHead(callPath, unary, token), Framing: crowd.Chunked, BodyBytes: crowdBodyLimit, ChunkBytes: 16, Again: true},
		{Name: "a length, stopped one byte short", Clients: 500, Head: crowdHead(callPath, unary, token), Framing: crowd.ByLength(crowdBodyLimit), BodyBytes: crowdBodyLimit - 1, Again: true},
		{Name: "a message in an envelope, stopped short of the end", Clients: 500, Head: crowdHead(callerv1connect.CallerServiceGenerateProcedure, streaming, token), Framing: crowd.Chunked, BodyStart: "\x00\x00\x0f\xff\xff", BodyBytes: crowdBodyLimit - 2, ChunkBytes: 64 << 10, Again: true},
		{Name: "chunks without end", Clients: 100, Head: crowdHead(callPath, unary, token), Framing: crowd.Chunked, BodyBytes: crowd.Endless, ChunkBytes: 32 << 10, Again: true},
		{Name: "an unknown token, chunks without end", Clients: 500, Head: crowdHead(callPath, unary, "nobody's"), Framing: crowd.Chunked, BodyBytes: crowd.Endless, ChunkBytes: 32 << 10, Again: true},
		{Name: "no byte at all", Clients: 1500, HeadStops: true, Again: true},
	}
}

// Guards against clients that end a gateway's process: their bodies, heads or connections take more memory or
// descriptors than its machine has, or keep ordinary callers out.
func TestCrowdsLeaveTheGatewayAlive(t *testing.T) {
	for _, shape := range gatewayShapes() {
		t.Run(strings.ReplaceAll(shape.Name, " ", "_"), func(t *testing.T) {
			bear(t, func(address string) (leave func()) {
				c := crowd.Start(address, shape)
				return func() { t.Logf("answers by status %v", c.Leave()) }
			})
		})
	}
}

// Guards against the same as TestCrowdsLeaveTheGatewayAlive, by clients that send their bodies in many streams
// of a few connections of HTTP/2.
func TestCrowdsOfStreamsLeaveTheGatewayAlive(t *testing.T) {
	header := http.Header{"Authorization": {"Bearer " + token}, "Content-Type": {"application/proto"}}
	bear(t, func(address string) (leave func()) {
		return crowd.StartStreams(address, callerv1connect.CallerServiceCallProcedure, header, 4, 150, crowdBodyLimit-1).Leave
	})
}

// Guards against the same, by clients that each have an HTTP/2 connection of their own with few streams.
func TestCrowdsOfHTTP2ConnectionsLeaveTheGatewayAlive(t *testing.T) {
	header := http.Header{"Authorization": {"Bearer " + token}, "Content-Type": {"application/proto"}}
	bear(t, func(address string) (leave func()) {
		return crowd.StartStreams(address, callerv1connect.CallerServiceCallProcedure, header, 400, 3, crowdBodyLimit-1).Leave
	})
}

// bear lets a crowd come to a gateway, and checks that it lives, holds no more than its machine has, and serves
// an ordinary caller while the crowd stays and after it has left.
func bear(t *testing.T, come func(address string) (leave func())) {
	t.Helper()
	s := newSystem(t)
	s.plain("app-1", failureDomain(0))
	g := s.gateway("gateway-1", failureDomain(0))
	s.publish()
	askOrdinary(t, g, "before", crowd.StartTries)
	watch := crowd.NewWatch(t, g.cmd.Process.Pid, g.addresses.Callers)
	leave := come(g.addresses.Callers)
	time.Sleep(crowd.Stays)
	askOrdinary(t, g, "beside the crowd", crowd.OrdinaryTries)
	leave()
	askOrdinary(t, g, "after the crowd", crowd.OrdinaryTries)
	watch.Stop().Check(t, crowdMemoryMiB, crowdDescriptors)
	select {
	case <-g.exited:
		t.Error("the gateway's process ended")
	default:
	}
}

// askOrdinary lets an ordinary caller send short calls until one is completed.
func askOrdinary(t *testing.T, g *process, when string, tries int) {
	t.Helper()
	crowd.Ask(t, when, tries, func(int) (answered bool, heard string) {
		kind, err := callOnce(g)
		return err == nil && kind == callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED, fmt.Sprint(kind, " ", err)
	})
}

// callOnce sends a short call on a new connection and returns the kind of its outcome.
func callOnce(g *process) (callerv1.OutcomeKind, error) {
	ctx, call := connect.NewClientContext(context.Background())
	call.RequestHeader().Set("Authorization", "Bearer "+token)
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	client := callerv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, "http://"+g.addresses.Callers)
	answer, err := client.Call(ctx, &callerv1.CallRequest{Service: "auktion-app", Method: "lookup", Payload: []byte("x"), Attempt: 1})
	return answer.GetOutcome().GetKind(), err
}
