//go:build e2e

package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit/crowd"
)

// The machine that a gateway is for whose settings name none, and the longest message that such a gateway
// takes.
const (
	crowdMemoryMiB   = 256
	crowdDescriptors = 1024
	crowdBodyLimit   = 1 << 20
	// crowdStays is how long a crowd presses before the ordinary caller comes.
	crowdStays = 2 * time.Second
	// ordinaryTries is how often the ordinary caller sends its request, as callers do that are told to come
	// back, and startTries how often until the gateway has heard of the upstream.
	ordinaryTries = 5
	startTries    = 40
	callPath      = "/goldcrestspool.caller.v1.CallerService/Call"
	generatePath  = "/goldcrestspool.caller.v1.CallerService/Generate"
)

// crowdHead returns the head of a request of HTTP/1.1 with a token.
func crowdHead(path, contentType, token string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: gateway\r\nX-Request-Id: " + crowd.IDPlaceholder + "\r\nContent-Type: " + contentType + "\r\nAuthorization: Bearer " + token + "\r\n"
}

// gatewayShapes are the clients that don't behave, of HTTP/1.1.
func gatewayShapes() []crowd.Shape {
	const chunked, unary, streaming = "Transfer-Encoding: chunked", "application/proto", "application/connect+proto"
	length := func(n int) string { return "Content-Length: " + strconv.Itoa(n) }
	return []crowd.Shape{
		{Name: "large chunks, stopped short of the end", Clients: 500, Head: crowdHead(callPath, unary, token), Framing: chunked, BodyBytes: crowdBodyLimit, ChunkBytes: 64 << 10, Again: true},
		{Name: "very small chunks, stopped short of the end", Clients: 500, Head: crowdHead(callPath, unary, token), Framing: chunked, BodyBytes: crowdBodyLimit, ChunkBytes: 16, Again: true},
		{Name: "a length, stopped one byte short", Clients: 500, Head: crowdHead(callPath, unary, token), Framing: length(crowdBodyLimit), BodyBytes: crowdBodyLimit - 1, Again: true},
		{Name: "a message in an envelope, stopped short of the end", Clients: 500, Head: crowdHead(generatePath, streaming, token), Framing: chunked, BodyStart: "\x00\x00\x0f\xff\xff", BodyBytes: crowdBodyLimit - 2, ChunkBytes: 64 << 10, Again: true},
		{Name: "chunks without end", Clients: 100, Head: crowdHead(callPath, unary, token), Framing: chunked, BodyBytes: crowd.Endless, ChunkBytes: 32 << 10, Again: true},
		{Name: "an unknown token, chunks without end", Clients: 500, Head: crowdHead(callPath, unary, "nobody's"), Framing: chunked, BodyBytes: crowd.Endless, ChunkBytes: 32 << 10, Again: true},
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
		return crowd.StartStreams(address, callPath, header, 4, 150, crowdBodyLimit-1).Leave
	})
}

// Guards against the same, by clients that each have an HTTP/2 connection of their own with few streams.
func TestCrowdsOfHTTP2ConnectionsLeaveTheGatewayAlive(t *testing.T) {
	header := http.Header{"Authorization": {"Bearer " + token}, "Content-Type": {"application/proto"}}
	bear(t, func(address string) (leave func()) {
		return crowd.StartStreams(address, callPath, header, 400, 3, crowdBodyLimit-1).Leave
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
	askOrdinary(t, g, "before", startTries)
	watch := crowd.NewWatch(t, g.cmd.Process.Pid, g.addresses.Callers)
	leave := come(g.addresses.Callers)
	time.Sleep(crowdStays)
	askOrdinary(t, g, "beside the crowd", ordinaryTries)
	leave()
	askOrdinary(t, g, "after the crowd", ordinaryTries)
	most := watch.Stop()
	t.Logf("most: resident and unread %.1f MiB, of it unread %.1f; %d descriptors", float64(most.Resident+most.Unread)/(1<<20), float64(most.Unread)/(1<<20), most.Descriptors)
	if most.Resident+most.Unread > crowdMemoryMiB<<20 {
		t.Errorf("the gateway held %d MiB, its machine has %d", (most.Resident+most.Unread)>>20, crowdMemoryMiB)
	}
	if most.Descriptors > crowdDescriptors {
		t.Errorf("the gateway held %d descriptors, its machine has %d", most.Descriptors, crowdDescriptors)
	}
	select {
	case <-g.exited:
		t.Error("the gateway's process ended")
	default:
	}
}

// askOrdinary sends one ordinary call until it is completed, as a caller does that is refused or not heard.
func askOrdinary(t *testing.T, g *process, when string, tries int) {
	t.Helper()
	var last string
	for n := range tries {
		kind, err := callOnce(g)
		if err == nil && kind == "OUTCOME_KIND_COMPLETED" {
			t.Logf("%s: completed at try %d", when, n+1)
			return
		}
		last = fmt.Sprint(kind, " ", err)
		time.Sleep(250 * time.Millisecond)
	}
	t.Errorf("%s: an ordinary call was not completed in %d tries, at last %s", when, tries, last)
}

// callOnce sends a short call on a new connection and returns the kind of its outcome.
func callOnce(g *process) (kind string, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	body := []byte(`{"service":"auktion-app","method":"lookup","payload":"eA==","attempt":1}`)
	request, err := http.NewRequest(http.MethodPost, "http://"+g.addresses.Callers+callPath, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	var answer struct {
		Outcome struct{ Kind string }
	}
	if err := json.Unmarshal(text, &answer); err != nil || answer.Outcome.Kind == "" {
		return "", fmt.Errorf("%d %s: %v", response.StatusCode, text, err)
	}
	return answer.Outcome.Kind, nil
}
