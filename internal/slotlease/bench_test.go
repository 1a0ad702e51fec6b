package slotlease

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// BenchmarkCall measures what a call costs the gateway that keeps the slots, without the network: an ask and a
// give-back, by the number of upstreams and of asks that wait. It also tells the bytes of the messages.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{1, 6, MaxUpstreams} {
		for _, waiting := range []int{0, 100} {
			b.Run(fmt.Sprintf("%d upstreams, %d waiting", n, waiting), func(b *testing.B) {
				k := NewKeeper(upstreams(n), none, 0, start)
				last := uint64(0)
				for held := 0; held < n*room(6)-1; held++ {
					last++
					k.Ask(longAsk(last), start)
				}
				oldest := uint64(1)
				for range waiting + 1 {
					last++
					k.Ask(longAsk(last), start)
				}
				b.ReportAllocs()
				for b.Loop() {
					last++
					k.Ask(longAsk(last), start)
					k.Return(longAsk(oldest).ID, start)
					oldest++
				}
				b.ReportMetric(float64(bytesPerCall(b)), "bytes/call")
			})
		}
	}
}

// longAsk returns an ask that waits for as long as need be.
func longAsk(number uint64) Ask {
	a := ask(number)
	a.Account = ident.ClientAccount(fmt.Sprint("account-", number%16))
	a.Wait, a.Hold = time.Hour, time.Hour
	return a
}

// bytesPerCall returns the bytes of the messages of one call, without the headers of HTTP.
func bytesPerCall(b *testing.B) int {
	a := ask(1_000_000)
	a.Account, a.Domain = "an-account-name", "a-domain"
	part, gateway := partID{"a-service", 0}, "gateway-0123456789/1764850000000000000"
	asked, err := message{part: part, gateway: gateway, ask: &a}.encode()
	if err != nil {
		b.Fatal(err)
	}
	returned, err := message{part: part, gateway: gateway, returned: []uint64{a.ID.Number}}.encode()
	if err != nil {
		b.Fatal(err)
	}
	answer, err := encodeAnswer(Answer{Upstream: "i-0123456789abcdef"}, false)
	if err != nil {
		b.Fatal(err)
	}
	return len(asked) + len(returned) + 2*len(answer)
}
