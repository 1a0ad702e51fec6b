package lending

import (
	"fmt"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
)

// BenchmarkLoan measures a request for a loan with its answer, at both gateways together and without the
// network, and the choice of an account's keepers. docs/CAPACITY.md is computed from it.
func BenchmarkLoan(b *testing.B) {
	for _, n := range []int{8, 82, 330} {
		var contacts []gossip.Contact
		for i := range n {
			contacts = append(contacts, gossip.Contact{Node: ident.Instance(fmt.Sprint("gw", i))})
		}
		keepers := NewKeepers(contacts)
		b.Run(fmt.Sprintf("keepers/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				keepers.Of("acct")
			}
		})
	}
	f, _ := newFleet(b, 8)
	asker := f.bystander()
	b.Run("loan", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.requests = f.requests[:0]
			if _, err := asker.Borrow(quota.LoanRequest{Account: "acct", Cost: 0.001}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
