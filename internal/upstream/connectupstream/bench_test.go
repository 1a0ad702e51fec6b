package connectupstream_test

import (
	"net/http"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// BenchmarkInvoke compares a kept connection with one dialled for each call,
// over loopback.
func BenchmarkInvoke(b *testing.B) {
	for _, c := range []struct{ name, key string }{{"kept", ""}, {"fresh", key}} {
		b.Run(c.name, func(b *testing.B) {
			mux := http.NewServeMux()
			connectupstream.MountPlain(mux, plain.New(plain.Options{}))
			clients := connectupstream.NewClients(nil)
			b.Cleanup(clients.Close)
			subject := connectupstream.NewPlain(clients, testkit.Serve(b, mux))
			req := bid
			req.Key = c.key
			b.ReportAllocs()
			for b.Loop() {
				if _, err := subject.Invoke(b.Context(), req); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
