package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// answerAll starts a server that answers each request with the same pieces, one write for each, and
// closes the connection after each answer if closes is set. It returns the address.
func answerAll(b *testing.B, pieces []string, closes bool) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		for {
			for {
				line, err := reader.ReadSlice('\n')
				if err != nil {
					return
				}
				if len(line) == len("\r\n") {
					break
				}
			}
			for _, piece := range pieces {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
			}
			if closes {
				return
			}
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}

// discardingCaller is a caller that drops what it is given.
type discardingCaller struct{ plainCaller }

func (*discardingCaller) Part([]byte) error { return nil }
func (c *discardingCaller) End()            { c.complete = true }

// cpuTime returns the processor time that this process has used, which a busy machine changes less
// than the time that passes.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAnswer measures the path of an answer through Forwarder: a stream of 64 events of 80
// bytes, and another answer of 1 KiB, framed in different ways. It reports the connections made for
// a request.
func BenchmarkAnswer(b *testing.B) {
	event := func(id int) string {
		text := fmt.Sprintf("id: %d\ndata: ", id)
		return text + strings.Repeat("x", 80-len(text)-2) + "\n\n"
	}
	const head, chunks = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	one, chunked, plain := []string{head + streamHeader + chunks + "\r\n"}, "", ""
	for id := range 64 {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event(id)), event(id))
		one, chunked, plain = append(one, chunk), chunked+chunk, plain+event(id)
	}
	body := strings.Repeat("x", 1024)
	for _, c := range []struct {
		name   string
		pieces []string
		closes bool
		route  *routetable.Route
	}{
		{"stream/events one by one", append(one, "0\r\n\r\n"), false, streamRoute},
		{"stream/at once", []string{head + streamHeader + chunks + "\r\n" + chunked + "0\r\n\r\n"}, false, streamRoute},
		{"stream/no length", []string{head + streamHeader + "\r\n" + plain}, true, streamRoute},
		{"other/length", []string{head + "Content-Length: 1024\r\n\r\n" + body}, false, onceRoute},
		{"other/no length", []string{head + "\r\n" + body}, true, onceRoute},
	} {
		b.Run(c.name, func(b *testing.B) {
			g := newGatewayUnderTest(boottime.Now)
			g.placement.process = answerAll(b, c.pieces, c.closes)
			b.ReportAllocs()
			before := cpuTime(b)
			b.ResetTimer()
			for range b.N {
				caller := &discardingCaller{}
				if g.serveTo(b, "r", c.route, caller); !caller.complete {
					b.Fatal("an answer is not complete")
				}
				g.placement.results = g.placement.results[:0]
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(g.pool.Counters().Dials)/float64(b.N), "dials/op")
		})
	}
}
