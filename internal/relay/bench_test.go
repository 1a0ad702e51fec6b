package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/worker"
)

// BenchmarkSend measures a call to an upstream, directly and through another gateway; both gateways and
// the upstream are in this process.
func BenchmarkSend(b *testing.B) {
	for _, through := range []bool{false, true} {
		name := "direct"
		if through {
			name = "through another gateway"
		}
		b.Run(name, func(b *testing.B) {
			r := newRelaying(b)
			send := func() (*httpconn.Answer, *httpconn.Failure) {
				if through {
					return r.send(b.Context(), "r", time.Minute)
				}
				return r.Pool.Send(b.Context(), r.target, &httpconn.Request{
					Method: http.MethodPost, URI: "/x", Host: "app", Header: http.Header{worker.RequestID: {"r"}}, Body: []byte("prompt"),
				})
			}
			for b.Loop() {
				answer, failure := send()
				if failure != nil {
					b.Fatal(failure)
				}
				if _, err := io.Copy(io.Discard, answer); err != nil {
					b.Fatal(err)
				}
				answer.Close()
			}
		})
	}
}
